import {type Readable} from 'node:stream';
import {splitServerSentEvents} from '@damaskspool/runtime';
import {HEADERS, OUTCOMES} from '@damaskspool/shared';
import {computeAnswer} from '@damaskspool/stand-ins';
import {type Dispatcher} from 'undici';
import {createPrompt, type PlannedRequest} from './createTraffic.js';

/** How a request ended, as its caller saw it. `lost` is no outcome at all; `crossed` another request's answer. */
export type SeenOutcome = 'answered' | 'refusedNotRun' | 'refusedUnknown' | 'lost' | 'crossed';

/** What a caller saw of its request. */
export type RequestResult = {
	readonly request: PlannedRequest;
	readonly outcome: SeenOutcome;
	readonly errorCode: string | undefined;
	/** From sending to the first byte of the answer's body. */
	readonly firstByteMs: number;
	readonly wholeMs: number;
	/** Mean time between tokens of a stream; zero for others. */
	readonly betweenTokensMs: number;
};

/** Options of {@link sendPlanned}. */
export type SendPlannedOptions = {
	readonly request: PlannedRequest;
	/** `ip:port` of an entry, or of a target itself. */
	readonly address: string;
	readonly key: string | undefined;
	readonly dispatcher: Dispatcher;
	readonly signal?: AbortSignal;
};

const SEEN_OUTCOMES: Readonly<Record<string, SeenOutcome>> = {
	[OUTCOMES.answered]: 'answered',
	[OUTCOMES.refusedNotRun]: 'refusedNotRun',
	[OUTCOMES.refusedUnknown]: 'refusedUnknown',
};

/**
 * Sends one request as a caller would, and checks that the answer is whole and its own.
 *
 * @param options - request, where to, and the caller's key
 * @returns what the caller saw
 */
export async function sendPlanned(options: SendPlannedOptions): Promise<RequestResult> {
	const {request, address, key, dispatcher, signal} = options;
	const {traffic, reference} = request;
	const sentAt = performance.now();
	let firstByteMs = 0;
	let tokens = 0;
	const end = (outcome: SeenOutcome, errorCode?: string): RequestResult => {
		const wholeMs = performance.now() - sentAt;
		return {
			request,
			outcome,
			errorCode,
			firstByteMs,
			wholeMs,
			betweenTokensMs: tokens > 1 ? (wholeMs - firstByteMs) / (tokens - 1) : 0,
		};
	};

	try {
		const response = await dispatcher.request({
			origin: `http://${address}`,
			method: traffic.method,
			path: traffic.method === 'GET' ? `${traffic.path}/${reference}` : traffic.path,
			headers: {
				...(traffic.method === 'POST' && {'content-type': 'application/json'}),
				...(key !== undefined && {authorization: `Bearer ${key}`}),
			},
			body: traffic.method === 'POST' ? createBody(request) : null,
			signal: signal ?? null,
		});
		const stated = SEEN_OUTCOMES[String(response.headers[HEADERS.outcome] ?? '')];
		if (stated !== undefined && stated !== 'answered') {
			await response.body.dump();
			return end(stated, String(response.headers[HEADERS.errorCode]));
		}

		if (traffic.model === undefined) {
			const text = await response.body.text();
			firstByteMs = performance.now() - sentAt;
			return end((JSON.parse(text) as {reference: string}).reference === reference ? 'answered' : 'crossed');
		}

		const stream = await readStream(request, response.body, () => {
			firstByteMs ||= performance.now() - sentAt;
		});
		tokens = stream.tokens;
		return end(stream.outcome, stream.errorCode);
	} catch (error) {
		return end('lost', (error as Error).message);
	}
}

type StreamEnd = {
	readonly outcome: SeenOutcome;
	readonly errorCode: string | undefined;
	readonly tokens: number;
};

async function readStream(request: PlannedRequest, body: Readable, onEvent: () => void): Promise<StreamEnd> {
	let content = '';
	let tokens = 0;
	for await (const event of splitServerSentEvents(body)) {
		onEvent();
		if (event.data === '[DONE]') {
			const isOwn = content === computeAnswer(createPrompt(request), request.maxTokens);
			return {outcome: isOwn ? 'answered' : 'crossed', errorCode: undefined, tokens};
		}

		const parsed = JSON.parse(event.data ?? '{}') as StreamChunk;
		if (parsed.error !== undefined) {
			return {outcome: SEEN_OUTCOMES[parsed.error.outcome] ?? 'lost', errorCode: parsed.error.code, tokens};
		}

		tokens += 1;
		content += parsed.choices?.[0]?.delta.content ?? '';
	}

	return {outcome: 'lost', errorCode: 'the stream ended early', tokens};
}

type StreamChunk = {
	readonly choices?: ReadonlyArray<{readonly delta: {readonly content: string}}>;
	readonly error?: {readonly code: string; readonly outcome: string};
};

function createBody(request: PlannedRequest): string {
	const {traffic, maxTokens, reference} = request;
	return JSON.stringify(traffic.model === undefined
		? {reference}
		: {
			model: traffic.model, messages: [{role: 'user', content: createPrompt(request)}], max_tokens: maxTokens, stream: true,
		});
}
