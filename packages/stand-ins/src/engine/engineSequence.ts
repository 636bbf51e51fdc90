import {type ServerResponse} from 'node:http';
import {
	BYTES_PER_TOKEN, hashPrefixes, HEADERS, TOKENS_PER_KV_BLOCK,
} from '@damaskspool/shared';
import {sendJson, type StandInRequest} from '../serveJson.js';
import {computeToken, hashPrompt} from './engineText.js';

/** A completion request in the batch of an engine, with its progress. */
export type EngineSequence = {
	readonly promptDigest: string;
	readonly promptTokens: number;
	/** Hashes of the prompt prefixes that fill complete KV cache blocks. */
	readonly hashes: readonly string[];
	/** KV cache blocks that are not shared with other sequences. */
	readonly privateBlocks: number;
	readonly isBatchPriority: boolean;
	readonly maxTokens: number;
	readonly isStream: boolean;
	readonly requestId: string;
	readonly model: string;
	readonly response: ServerResponse;
	remainingPrefillTokens: number;
	/** Prompt tokens found in the prefix cache. */
	cachedTokens: number;
	/** Index of the next token to write. */
	nextIndex: number;
	text: string;
};

type CompletionBody = {
	readonly model: string;
	readonly messages: ReadonlyArray<{readonly content: string}>;
	readonly max_tokens?: number;
	readonly stream?: boolean;
};

/**
 * Creates the sequence of a completion request, before any prefill. With a
 * `last-event-id` header the sequence continues after that token.
 *
 * @param response - receives the generated tokens
 */
export function createSequence(request: StandInRequest, response: ServerResponse): EngineSequence {
	const body = JSON.parse(request.body) as CompletionBody;
	const prompt = body.messages.map(message => message.content).join('\n');
	const lastEventId = request.headers[HEADERS.lastEventId];
	const promptTokens = Math.ceil(prompt.length / BYTES_PER_TOKEN);
	const maxTokens = body.max_tokens ?? 16;
	const hashes = hashPrefixes(body.model, prompt);
	return {
		promptDigest: hashPrompt(prompt),
		promptTokens,
		hashes,
		privateBlocks: Math.ceil((promptTokens + maxTokens) / TOKENS_PER_KV_BLOCK) - hashes.length,
		isBatchPriority: request.headers[HEADERS.priority] === 'batch',
		maxTokens,
		isStream: body.stream === true,
		requestId: String(request.headers[HEADERS.requestId] ?? ''),
		model: body.model,
		response,
		remainingPrefillTokens: promptTokens,
		cachedTokens: 0,
		nextIndex: typeof lastEventId === 'string' ? Number(lastEventId) + 1 : 0,
		text: '',
	};
}

/**
 * Writes the next token of a sequence to its response and advances the sequence.
 * Ends the response after the last token.
 *
 * @param sequence - sequence whose prefill is complete; modified
 * @returns whether more tokens follow
 */
export function writeToken(sequence: EngineSequence): boolean {
	const {response, requestId, model} = sequence;
	const isFirst = !response.headersSent;
	if (sequence.isStream && isFirst) {
		response.writeHead(200, {'content-type': 'text/event-stream', [HEADERS.requestId]: requestId});
	}

	// A stream that was interrupted after its last token resumes with only its end marker.
	if (sequence.nextIndex >= sequence.maxTokens) {
		endResponse(sequence);
		return false;
	}

	const content = computeToken(sequence.promptDigest, sequence.nextIndex);
	if (sequence.isStream) {
		const chunk = JSON.stringify({
			id: requestId, model, choices: [{index: 0, delta: {content}}], ...(isFirst && {usage: createUsage(sequence, 1)}),
		});
		response.write(`id: ${sequence.nextIndex}\ndata: ${chunk}\n\n`);
	}

	sequence.text += content;
	sequence.nextIndex += 1;
	if (sequence.nextIndex < sequence.maxTokens) {
		return true;
	}

	endResponse(sequence);
	return false;
}

function endResponse(sequence: EngineSequence): void {
	const {
		response, isStream, requestId, model, text, maxTokens,
	} = sequence;
	if (isStream) {
		response.end('data: [DONE]\n\n');
		return;
	}

	sendJson(response, 200, {
		id: requestId,
		model,
		choices: [{index: 0, message: {role: 'assistant', content: text}, finish_reason: 'stop'}],
		usage: createUsage(sequence, maxTokens),
	}, {[HEADERS.requestId]: requestId});
}

/** Creates the usage object. As in real engines, it is part of the first event of a stream or of a complete response. */
function createUsage({promptTokens, cachedTokens}: EngineSequence, generatedTokens: number) {
	return {
		prompt_tokens: promptTokens,
		completion_tokens: generatedTokens,
		prompt_tokens_details: {cached_tokens: cachedTokens},
	};
}
