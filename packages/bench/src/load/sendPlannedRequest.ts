import {type Readable} from 'node:stream';
import {splitServerSentEvents} from '@damaskspool/runtime';
import {HEADERS, OUTCOMES} from '@damaskspool/shared';
import {computeAnswer} from '@damaskspool/stand-ins';
import {type Dispatcher} from 'undici';
import {createPrompt, type PlannedRequest} from './createTraffic.js';

/** Outcome of a request as its caller observed it. `lost`: the caller received no outcome. `crossed`: it received the answer to another request. */
export type ObservedOutcome = 'answered' | 'refusedNotRun' | 'refusedUnknown' | 'lost' | 'crossed';

/** Result of a request as its caller observed it. */
export type RequestResult = {
	readonly request: PlannedRequest;
	readonly outcome: ObservedOutcome;
	readonly errorCode: string | undefined;
	/** Time from sending the request to the first byte of the response body. */
	readonly firstByteMs: number;
	/** Time from sending the request to the end of the response. */
	readonly totalMs: number;
	/** Mean time between tokens of a stream; zero for other responses. */
	readonly betweenTokensMs: number;
};

/** Options of {@link sendPlannedRequest}. */
export type SendPlannedRequestOptions = {
	readonly request: PlannedRequest;
	/** `ip:port` of an entry, or of a target when the request bypasses the entries. */
	readonly address: string;
	readonly key: string | undefined;
	readonly dispatcher: Dispatcher;
	readonly signal?: AbortSignal;
};

const OBSERVED_OUTCOMES: Readonly<Record<string, ObservedOutcome>> = {
	[OUTCOMES.answered]: 'answered',
	[OUTCOMES.refusedNotRun]: 'refusedNotRun',
	[OUTCOMES.refusedUnknown]: 'refusedUnknown',
};

/**
 * Sends one request as a caller would and checks that the response is complete and
 * belongs to the request. Never rejects: errors count as the outcome `lost`.
 */
export async function sendPlannedRequest(options: SendPlannedRequestOptions): Promise<RequestResult> {
	const {request, address, key, dispatcher, signal} = options;
	const {trafficClass, reference} = request;
	const sentAt = performance.now();
	let firstByteMs = 0;
	let tokens = 0;
	const createResult = (outcome: ObservedOutcome, errorCode?: string): RequestResult => {
		const totalMs = performance.now() - sentAt;
		return {
			request,
			outcome,
			errorCode,
			firstByteMs,
			totalMs,
			betweenTokensMs: tokens > 1 ? (totalMs - firstByteMs) / (tokens - 1) : 0,
		};
	};

	try {
		const response = await dispatcher.request({
			origin: `http://${address}`,
			method: trafficClass.method,
			path: trafficClass.method === 'GET' ? `${trafficClass.path}/${reference}` : trafficClass.path,
			headers: {
				...(trafficClass.method === 'POST' && {'content-type': 'application/json'}),
				...(key !== undefined && {authorization: `Bearer ${key}`}),
			},
			body: trafficClass.method === 'POST' ? createBody(request) : null,
			signal: signal ?? null,
		});
		const reportedOutcome = OBSERVED_OUTCOMES[String(response.headers[HEADERS.outcome] ?? '')];
		if (reportedOutcome !== undefined && reportedOutcome !== 'answered') {
			await response.body.dump();
			return createResult(reportedOutcome, String(response.headers[HEADERS.errorCode]));
		}

		if (trafficClass.model === undefined) {
			const text = await response.body.text();
			firstByteMs = performance.now() - sentAt;
			return createResult((JSON.parse(text) as {reference: string}).reference === reference ? 'answered' : 'crossed');
		}

		const stream = await readStream(request, response.body, () => {
			firstByteMs ||= performance.now() - sentAt;
		});
		tokens = stream.tokens;
		return createResult(stream.outcome, stream.errorCode);
	} catch (error) {
		return createResult('lost', (error as Error).message);
	}
}

type StreamResult = {
	readonly outcome: ObservedOutcome;
	readonly errorCode: string | undefined;
	readonly tokens: number;
};

async function readStream(request: PlannedRequest, body: Readable, onEvent: () => void): Promise<StreamResult> {
	let content = '';
	let tokens = 0;
	for await (const event of splitServerSentEvents(body)) {
		onEvent();
		if (event.data === '[DONE]') {
			const isExpected = content === computeAnswer(createPrompt(request), request.maxTokens);
			return {outcome: isExpected ? 'answered' : 'crossed', errorCode: undefined, tokens};
		}

		const parsed = JSON.parse(event.data ?? '{}') as StreamChunk;
		if (parsed.error !== undefined) {
			return {outcome: OBSERVED_OUTCOMES[parsed.error.outcome] ?? 'lost', errorCode: parsed.error.code, tokens};
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
	const {trafficClass, maxTokens, reference} = request;
	return JSON.stringify(trafficClass.model === undefined
		? {reference}
		: {
			model: trafficClass.model, messages: [{role: 'user', content: createPrompt(request)}], max_tokens: maxTokens, stream: true,
		});
}
