import {type Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {parseEventNumber, type SendAttempt} from '@damaskspool/core';
import {
	discardBody, MalformedStreamError, readBody, type ServerSentEvent, splitServerSentEvents,
} from '@damaskspool/runtime';
import {
	computeFingerprint, createFailure, ERROR_CODES, type ErrorCode, type Failure, HEADERS, type LoadReport,
	loadReportSchema, MEBIBYTE_BYTES, type Outcome, OUTCOMES,
} from '@damaskspool/shared';
import {type Dispatcher} from 'undici';
import {type UsageMeter} from '../createUsageMeter.js';
import {type CallerResponseWriter} from './createCallerResponseWriter.js';
import {type CallerRequest} from './readCallerRequest.js';

/** Maximum size of a non-streamed response. It is buffered completely, so that a truncated one never reaches a caller. */
const MAX_BUFFERED_RESPONSE_BYTES = 4 * MEBIBYTE_BYTES;
const STATUS_OK = 200;
/** Data of the last event of a complete stream. */
const STREAM_END_DATA = '[DONE]';
/** Maximum wait for the end of a body after its last event. It is short, so that it does not delay a complete response. */
const MAX_BODY_END_WAIT_MS = 20;
/** Errors that prove that no connection was opened, so that no part of the request was sent. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Error codes with which a sidecar reports a fault of its target, as opposed to a full queue or a bad request. */
const TARGET_FAULT_CODES: ReadonlySet<string> = new Set([
	ERROR_CODES.targetFailed, ERROR_CODES.targetUnreachable, ERROR_CODES.answerCrossed, ERROR_CODES.answerMalformed,
]);

/** How much of a stream was passed to the caller. It is shared by all attempts of a request, so that the next attempt resumes there. */
export type StreamProgress = {
	lastEventId: string | undefined;
	generatedTokens: number;
};

/** Result of an attempt. `isTargetFault` says whether the failure counts against the target. */
export type SendAttemptResult
	= | {readonly type: 'finished'; readonly generatedTokens: number}
		| {readonly type: 'failed'; readonly failure: Failure; readonly load: LoadReport | undefined; readonly isTargetFault: boolean};

/** Options of {@link sendAttempt}. */
export type SendAttemptOptions = {
	readonly effect: SendAttempt;
	readonly entryId: string;
	readonly request: CallerRequest;
	readonly responseWriter: CallerResponseWriter;
	readonly progress: StreamProgress;
	readonly meter: UsageMeter;
	/** Value of the usage header: the identity under which the entry and the sidecar meter the attempt. */
	readonly usageHeader: string;
	readonly dispatcher: Dispatcher;
	readonly signal: AbortSignal;
	/** Called when the headers of an accepted attempt's response have arrived. */
	readonly onAnswered: (load: LoadReport | undefined) => void;
};

/**
 * Sends one attempt to a sidecar and forwards the response to the caller.
 *
 * @returns the result; the outcome of a failure is `refused-not-run` only if it is proven that the target did not run it
 */
export async function sendAttempt(options: SendAttemptOptions): Promise<SendAttemptResult> {
	const {effect, request, dispatcher, signal} = options;
	let response: Dispatcher.ResponseData;
	try {
		response = await dispatcher.request({
			origin: `http://${effect.address}`,
			method: request.attributes.method,
			path: request.pathAndQuery,
			headers: createAttemptHeaders(options),
			body: request.body.length === 0 ? null : request.body,
			signal,
			headersTimeout: effect.remainingMs,
			bodyTimeout: effect.remainingMs,
		});
	} catch (error) {
		const code = (error as {code?: string}).code ?? '';
		const outcome = CONNECT_ERROR_CODES.has(code) ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown;
		return createFailedResult(ERROR_CODES.targetUnreachable, {outcome, detail: (error as Error).message});
	}

	const result = await forwardResponse(options, response);
	if (result.type === 'failed') {
		discardBody(response.body);
	}

	return result;
}

function createAttemptHeaders({effect, entryId, request, progress, usageHeader}: SendAttemptOptions): Record<string, string> {
	const {attributes} = request;
	return {
		...request.headers,
		[HEADERS.requestId]: effect.requestId,
		[HEADERS.attemptId]: effect.attemptId,
		[HEADERS.entryId]: entryId,
		[HEADERS.usage]: usageHeader,
		[HEADERS.customerId]: effect.customerId,
		[HEADERS.weight]: String(effect.weight),
		[HEADERS.serviceId]: effect.serviceId,
		[HEADERS.priority]: attributes.priority,
		[HEADERS.remainingMs]: String(Math.floor(effect.remainingMs)),
		[HEADERS.promptTokens]: String(attributes.promptTokens),
		[HEADERS.prefillTokens]: String(effect.prefillTokens),
		[HEADERS.maxTokens]: String(attributes.maxTokens),
		[HEADERS.fingerprint]: computeFingerprint(effect.customerId, effect.serviceId, request.body),
		...(progress.lastEventId !== undefined && {[HEADERS.lastEventId]: progress.lastEventId}),
	};
}

async function forwardResponse(options: SendAttemptOptions, response: Dispatcher.ResponseData): Promise<SendAttemptResult> {
	const {
		effect, onAnswered, responseWriter, meter,
	} = options;
	const {headers, statusCode, body} = response;
	const load = parseLoad(headers[HEADERS.load]);
	if (headers[HEADERS.requestId] !== effect.requestId) {
		return createFailedResult(ERROR_CODES.answerCrossed, {load});
	}

	const refusalCode = headers[HEADERS.errorCode];
	if (typeof refusalCode === 'string') {
		const outcome = headers[HEADERS.outcome] === OUTCOMES.refusedNotRun ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown;
		await body.dump();
		return createFailedResult(toErrorCode(refusalCode), {outcome, load, isTargetFault: TARGET_FAULT_CODES.has(refusalCode)});
	}

	onAnswered(load);
	const contentType = String(headers['content-type'] ?? 'application/octet-stream');
	const isStream = statusCode === STATUS_OK && contentType.startsWith('text/event-stream');
	meter.begin(isStream);
	if (isStream) {
		return forwardStream(options, body);
	}

	if (responseWriter.isStreamStarted()) {
		return createFailedResult(ERROR_CODES.answerMalformed, {load, detail: 'the resumed stream was answered without a stream'});
	}

	const completeBody = await readBody(body, MAX_BUFFERED_RESPONSE_BYTES);
	if (completeBody.err) {
		return createFailedResult(ERROR_CODES.answerMalformed, {load, detail: completeBody.val.message});
	}

	meter.add(completeBody.val);
	responseWriter.setBufferedResponse(statusCode, contentType, completeBody.val);
	return {type: 'finished', generatedTokens: parseGeneratedTokens(completeBody.val)};
}

async function forwardStream({responseWriter, progress, meter, signal}: SendAttemptOptions, body: Readable): Promise<SendAttemptResult> {
	const events = splitServerSentEvents(body);
	try {
		for (;;) {
			const next = await events.next();
			if (next.done) {
				return createFailedResult(ERROR_CODES.targetFailed, {detail: 'the stream ended before its last event'});
			}

			const event = next.value;
			if (!isNextEvent(progress.lastEventId, event)) {
				return createFailedResult(ERROR_CODES.answerMalformed, {detail: 'an event of the stream is missing or duplicated'});
			}

			if (signal.aborted) {
				return createFailedResult(ERROR_CODES.targetUnreachable, {detail: 'the attempt was cancelled'});
			}

			meter.add(event.bytes);
			// Recorded before any await, so that a following attempt does not send the event again.
			if (event.id !== undefined) {
				progress.lastEventId = event.id;
				progress.generatedTokens += 1;
			}

			await responseWriter.sendEvent(event.bytes);
			if (event.data === STREAM_END_DATA) {
				await readBodyEnd(events, body);
				return {type: 'finished', generatedTokens: progress.generatedTokens};
			}
		}
	} catch (error) {
		const code = error instanceof MalformedStreamError ? ERROR_CODES.answerMalformed : ERROR_CODES.targetFailed;
		return createFailedResult(code, {detail: (error as Error).message});
	}
}

/**
 * Returns whether an event directly follows the last one that the caller has. Once events have identifiers, only comments
 * and the end of the stream have none. Identifiers that are no numbers must only differ.
 */
function isNextEvent(lastId: string | undefined, {id, data}: ServerSentEvent): boolean {
	if (id === undefined) {
		return lastId === undefined || data === undefined || data === STREAM_END_DATA;
	}

	const lastNumber = lastId === undefined ? undefined : parseEventNumber(lastId);
	return lastNumber === undefined ? id !== '' && id !== lastId : parseEventNumber(id) === lastNumber + 1;
}

/**
 * Reads a body to its end after the last event, so that its connection can be reused. Discards a body that does not end in
 * time.
 */
async function readBodyEnd(events: AsyncGenerator, body: Readable): Promise<void> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<void>(resolve => {
		timer = setTimeout(resolve, MAX_BODY_END_WAIT_MS);
	});
	try {
		await Promise.race([events.next(), timeout]);
	} catch {
		// The response is complete after its last event, so a later error does not matter.
	} finally {
		clearTimeout(timer);
		discardBody(body);
	}
}

function createFailedResult(
	code: ErrorCode,
	options: {outcome?: Outcome; detail?: string; load?: LoadReport | undefined; isTargetFault?: boolean} = {},
): SendAttemptResult {
	const {outcome = OUTCOMES.refusedUnknown, detail, load, isTargetFault = true} = options;
	const failure = createFailure(code, {outcome, ...(detail !== undefined && {detail})});
	return {
		type: 'failed', failure, load, isTargetFault,
	};
}

function toErrorCode(text: string): ErrorCode {
	return Object.values(ERROR_CODES).find(code => code === text) ?? ERROR_CODES.internal;
}

function parseLoad(header: string | string[] | undefined): LoadReport | undefined {
	if (typeof header !== 'string') {
		return undefined;
	}

	try {
		return loadReportSchema.safeParse(JSON.parse(header)).data;
	} catch {
		return undefined;
	}
}

/** Returns the number of generated tokens that a model's non-streamed response states; zero for a plain service. */
function parseGeneratedTokens(body: Buffer): number {
	try {
		const parsed = JSON.parse(body.toString('utf8')) as {usage?: {completion_tokens?: number}};
		return parsed.usage?.completion_tokens ?? 0;
	} catch {
		return 0;
	}
}
