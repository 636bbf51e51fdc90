import {type ServerResponse} from 'node:http';
import {BYTES_PER_TOKEN, HEADERS, type TargetRole} from '@damaskspool/shared';
import {
	sendJson, serveJson, type StandIn, type StandInRequest,
} from '../serveJson.js';
import {computeToken} from './engineText.js';

/** Options of {@link createEngine}. */
export type EngineOptions = {
	readonly port?: number;
	readonly models: readonly string[];
	readonly role?: TargetRole;
	/** Prompt tokens that one step works through. */
	readonly prefillTokensPerMs?: number;
	/** Time of a step with an empty batch. */
	readonly stepMs?: number;
	/** Added time of a step for each sequence that decodes. */
	readonly stepPerSequenceMs?: number;
	/** Sequences in the batch at most. */
	readonly batchLimit?: number;
	/** Text by which an API key is known wherever it turns up. */
	readonly keyMarker?: string;
};

/** What an engine counted. */
export type EngineStats = {
	readonly prefilledTokens: number;
	readonly generatedTokens: number;
	readonly keysSeen: number;
	readonly running: number;
	readonly cancelled: number;
};

/** A running engine. */
export type Engine = StandIn & {readonly readStats: () => EngineStats};

/** One request in the batch. */
type Sequence = {
	readonly prompt: string;
	readonly maxTokens: number;
	readonly isStream: boolean;
	readonly requestId: string;
	readonly model: string;
	readonly response: ServerResponse;
	prefillLeft: number;
	nextIndex: number;
	text: string;
};

/** Prompt tokens that one step takes at most, as in chunked prefill. */
const PREFILL_CHUNK_TOKENS = 2000;

/**
 * Starts a stand-in of a model engine: a batch of bounded size in which prefill
 * in chunks and decode share each step.
 *
 * @param options - speeds, batch, models
 * @returns the running engine
 */
export async function createEngine(options: EngineOptions): Promise<Engine> {
	const {
		models, role = 'mixed', prefillTokensPerMs = 40, stepMs = 4, stepPerSequenceMs = 0.2, batchLimit = 16, keyMarker = 'dmsk_',
	} = options;
	const waiting: Sequence[] = [];
	const batch = new Set<Sequence>();
	const stats = {
		prefilledTokens: 0, generatedTokens: 0, keysSeen: 0, cancelled: 0,
	};
	let isStepping = false;

	const startStep = () => {
		while (batch.size < batchLimit && waiting.length > 0) {
			batch.add(waiting.shift()!);
		}

		if (isStepping || batch.size === 0) {
			return;
		}

		isStepping = true;
		const {decoding, chunk, prefilling} = planStep(batch);
		const durationMs = stepMs + (decoding.length * stepPerSequenceMs) + (chunk / prefillTokensPerMs);
		setTimeout(() => {
			isStepping = false;
			if (prefilling !== undefined) {
				prefilling.prefillLeft -= chunk;
				stats.prefilledTokens += chunk;
			}

			for (const sequence of decoding) {
				if (batch.has(sequence)) {
					stats.generatedTokens += 1;
					if (!writeToken(sequence)) {
						batch.delete(sequence);
					}
				}
			}

			startStep();
		}, durationMs);
	};

	const complete = (request: StandInRequest, response: ServerResponse) => {
		const body = JSON.parse(request.body) as {
			model: string; messages: Array<{content: string}>; max_tokens?: number; stream?: boolean;
		};
		const prompt = body.messages.map(message => message.content).join('\n');
		const lastEventId = request.headers[HEADERS.lastEventId];
		const sequence: Sequence = {
			prompt,
			maxTokens: body.max_tokens ?? 16,
			isStream: body.stream === true,
			requestId: String(request.headers[HEADERS.requestId] ?? ''),
			model: body.model,
			response,
			prefillLeft: Math.ceil(prompt.length / BYTES_PER_TOKEN),
			nextIndex: typeof lastEventId === 'string' ? Number(lastEventId) + 1 : 0,
			text: '',
		};
		response.on('close', () => {
			if (!response.writableFinished) {
				stats.cancelled += 1;
			}

			batch.delete(sequence);
			const at = waiting.indexOf(sequence);
			if (at !== -1) {
				waiting.splice(at, 1);
			}
		});
		waiting.push(sequence);
		startStep();
	};

	const handlers: Readonly<Record<string, (request: StandInRequest, response: ServerResponse) => void>> = {
		'POST /v1/chat/completions': complete,
		'GET /report'(_request, response) {
			sendJson(response, 200, {role, models, isReady: true});
		},
	};

	const server = await serveJson((request, response) => {
		if (request.everything.includes(keyMarker)) {
			stats.keysSeen += 1;
		}

		const handle = handlers[`${request.method} ${request.path}`];
		if (handle === undefined) {
			sendJson(response, 404, {});
			return;
		}

		handle(request, response);
	}, options.port);
	return {...server, readStats: () => ({...stats, running: batch.size + waiting.length})};
}

/** Decides what one step does: every decoding sequence advances, and one prefill takes a chunk. */
function planStep(batch: ReadonlySet<Sequence>): {decoding: Sequence[]; chunk: number; prefilling: Sequence | undefined} {
	const sequences = [...batch];
	const prefilling = sequences.find(sequence => sequence.prefillLeft > 0);
	return {
		decoding: sequences.filter(sequence => sequence.prefillLeft <= 0),
		chunk: Math.min(prefilling?.prefillLeft ?? 0, PREFILL_CHUNK_TOKENS),
		prefilling,
	};
}

/** Writes the next token of a sequence; returns whether more follow. */
function writeToken(sequence: Sequence): boolean {
	const {response, requestId, model} = sequence;
	const content = computeToken(sequence.prompt, sequence.nextIndex);
	if (sequence.isStream) {
		if (!response.headersSent) {
			response.writeHead(200, {'content-type': 'text/event-stream', [HEADERS.requestId]: requestId});
		}

		const chunk = JSON.stringify({id: requestId, model, choices: [{index: 0, delta: {content}}]});
		response.write(`id: ${sequence.nextIndex}\ndata: ${chunk}\n\n`);
	}

	sequence.text += content;
	sequence.nextIndex += 1;
	if (sequence.nextIndex < sequence.maxTokens) {
		return true;
	}

	if (sequence.isStream) {
		response.end('data: [DONE]\n\n');
	} else {
		sendJson(response, 200, {
			id: requestId,
			model,
			choices: [{index: 0, message: {role: 'assistant', content: sequence.text}, finish_reason: 'stop'}],
			usage: {prompt_tokens: Math.ceil(sequence.prompt.length / BYTES_PER_TOKEN), completion_tokens: sequence.maxTokens},
		}, {[HEADERS.requestId]: requestId});
	}

	return false;
}
