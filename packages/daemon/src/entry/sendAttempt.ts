import {type Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {type SendAttempt} from '@damaskspool/core';
import {
	discardBody, MalformedStreamError, readBody, splitServerSentEvents,
} from '@damaskspool/runtime';
import {
	computeFingerprint, createFailure, ERROR_CODES, type ErrorCode, type Failure, HEADERS, type LoadReport,
	loadReportSchema, MEBIBYTE_BYTES, type Outcome, OUTCOMES,
} from '@damaskspool/shared';
import {type Dispatcher} from 'undici';
import {type UsageMeter} from '../createUsageMeter.js';
import {type CallerAnswer} from './callerAnswer.js';
import {type CallerRequest} from './readCallerRequest.js';

/** Largest answer that is no stream; it is held whole, so that a broken one never reaches a caller. */
const WHOLE_ANSWER_LIMIT_BYTES = 4 * MEBIBYTE_BYTES;
/** Data of the last event of a whole stream. */
const STREAM_END = '[DONE]';
/** Longest wait for the end of a body after its last event; a whole answer is not held back by it. */
const BODY_END_WAIT_MS = 20;
/** Errors of a connection that was never made: nothing of the request can have left this process. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Refusals of a sidecar that speak of its target, and not of the queue or the request. */
const TARGET_FAULT_CODES: ReadonlySet<string> = new Set([
	ERROR_CODES.targetFailed, ERROR_CODES.targetUnreachable, ERROR_CODES.answerCrossed, ERROR_CODES.answerMalformed,
]);

/** How much of a request's stream its caller has. It outlives attempts, so that the next one resumes there. */
export type StreamProgress = {
	lastEventId: string | undefined;
	generatedTokens: number;
};

/** How an attempt ended. */
export type AttemptEnd
	= | {readonly type: 'finished'; readonly generatedTokens: number}
		| {readonly type: 'failed'; readonly failure: Failure; readonly load: LoadReport | undefined; readonly isTargetFault: boolean};

/** Options of {@link sendAttempt}. */
export type SendAttemptOptions = {
	readonly effect: SendAttempt;
	readonly entryId: string;
	readonly request: CallerRequest;
	readonly answer: CallerAnswer;
	readonly progress: StreamProgress;
	readonly meter: UsageMeter;
	/** Number under which both sides meter the attempt. */
	readonly usageHeader: string;
	readonly dispatcher: Dispatcher;
	readonly signal: AbortSignal;
	readonly onAnswered: (load: LoadReport | undefined) => void;
};

/**
 * Sends one attempt to a sidecar and passes its answer on.
 *
 * @param options - the attempt, where its answer goes, and how to end it early
 * @returns how it ended; the outcome of a failure is `refused-not-run` only where that is proven
 */
export async function sendAttempt(options: SendAttemptOptions): Promise<AttemptEnd> {
	const {effect, request, dispatcher, signal} = options;
	let response: Dispatcher.ResponseData;
	try {
		response = await dispatcher.request({
			origin: `http://${effect.address}`,
			method: request.facts.method,
			path: request.target,
			headers: createAttemptHeaders(options),
			body: request.body.length === 0 ? null : request.body,
			signal,
			headersTimeout: effect.remainingMs,
			bodyTimeout: effect.remainingMs,
		});
	} catch (error) {
		const code = (error as {code?: string}).code ?? '';
		const outcome = NOT_SENT_CODES.has(code) ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown;
		return createFailedEnd(ERROR_CODES.targetUnreachable, {outcome, detail: (error as Error).message});
	}

	const end = await passAnswerOn(options, response);
	if (end.type === 'failed') {
		discardBody(response.body);
	}

	return end;
}

function createAttemptHeaders({effect, entryId, request, progress, usageHeader}: SendAttemptOptions): Record<string, string> {
	const {facts} = request;
	return {
		...request.headers,
		[HEADERS.requestId]: effect.requestId,
		[HEADERS.attemptId]: effect.attemptId,
		[HEADERS.entryId]: entryId,
		[HEADERS.usage]: usageHeader,
		[HEADERS.customerId]: effect.customerId,
		[HEADERS.weight]: String(effect.weight),
		[HEADERS.serviceId]: effect.serviceId,
		[HEADERS.priority]: facts.priority,
		[HEADERS.remainingMs]: String(Math.floor(effect.remainingMs)),
		[HEADERS.promptTokens]: String(facts.promptTokens),
		[HEADERS.prefillTokens]: String(effect.prefillTokens),
		[HEADERS.maxTokens]: String(facts.maxTokens),
		[HEADERS.fingerprint]: computeFingerprint(effect.customerId, effect.serviceId, request.body),
		...(progress.lastEventId !== undefined && {[HEADERS.lastEventId]: progress.lastEventId}),
	};
}

async function passAnswerOn(options: SendAttemptOptions, response: Dispatcher.ResponseData): Promise<AttemptEnd> {
	const {
		effect, onAnswered, answer, meter,
	} = options;
	const {headers, statusCode, body} = response;
	const load = parseLoad(headers[HEADERS.load]);
	if (headers[HEADERS.requestId] !== effect.requestId) {
		return createFailedEnd(ERROR_CODES.answerCrossed, {load});
	}

	const refusal = headers[HEADERS.errorCode];
	if (typeof refusal === 'string') {
		const outcome = headers[HEADERS.outcome] === OUTCOMES.refusedNotRun ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown;
		await body.dump();
		return createFailedEnd(toErrorCode(refusal), {outcome, load, isTargetFault: TARGET_FAULT_CODES.has(refusal)});
	}

	onAnswered(load);
	const contentType = String(headers['content-type'] ?? 'application/octet-stream');
	const isStream = contentType.startsWith('text/event-stream');
	meter.begin(isStream);
	if (isStream) {
		return passStreamOn(options, body);
	}

	if (answer.isStarted()) {
		return createFailedEnd(ERROR_CODES.answerMalformed, {load, detail: 'a stream was not resumed as one'});
	}

	const whole = await readBody(body, WHOLE_ANSWER_LIMIT_BYTES);
	if (whole.err) {
		return createFailedEnd(ERROR_CODES.answerMalformed, {load, detail: whole.val.message});
	}

	meter.add(whole.val);
	answer.holdWhole(statusCode, contentType, whole.val);
	return {type: 'finished', generatedTokens: parseGeneratedTokens(whole.val)};
}

async function passStreamOn({answer, progress, meter, signal}: SendAttemptOptions, body: Readable): Promise<AttemptEnd> {
	const events = splitServerSentEvents(body);
	try {
		for (;;) {
			const next = await events.next();
			if (next.done) {
				return createFailedEnd(ERROR_CODES.targetFailed, {detail: 'the stream ended early'});
			}

			const event = next.value;
			if (event.id !== undefined && !isNextEvent(progress.lastEventId, event.id)) {
				return createFailedEnd(ERROR_CODES.answerMalformed, {detail: 'an event of the stream is missing or doubled'});
			}

			if (signal.aborted) {
				return createFailedEnd(ERROR_CODES.targetUnreachable, {detail: 'given up'});
			}

			meter.add(event.bytes);
			// Counted before any wait: an attempt that follows meanwhile must not send the event again.
			if (event.id !== undefined) {
				progress.lastEventId = event.id;
				progress.generatedTokens += 1;
			}

			await answer.sendEvent(event.bytes);
			if (event.data === STREAM_END) {
				await endBody(events, body);
				return {type: 'finished', generatedTokens: progress.generatedTokens};
			}
		}
	} catch (error) {
		const code = error instanceof MalformedStreamError ? ERROR_CODES.answerMalformed : ERROR_CODES.targetFailed;
		return createFailedEnd(code, {detail: (error as Error).message});
	}
}

/** Whether an event follows the last one that the caller has; identifiers that are no numbers only must differ. */
function isNextEvent(lastId: string | undefined, id: string): boolean {
	if (lastId === undefined) {
		return true;
	}

	const isNumbered = /^\d{1,15}$/v.test(lastId) && /^\d{1,15}$/v.test(id);
	return isNumbered ? Number(id) === Number(lastId) + 1 : id !== lastId;
}

/** Reads the end of a body whose last event came, so that its connection serves again; one that does not end is closed. */
async function endBody(events: AsyncGenerator, body: Readable): Promise<void> {
	let timer: NodeJS.Timeout | undefined;
	const waited = new Promise<void>(resolve => {
		timer = setTimeout(resolve, BODY_END_WAIT_MS);
	});
	try {
		await Promise.race([events.next(), waited]);
	} catch {
		// The answer is whole whatever follows its last event.
	} finally {
		clearTimeout(timer);
		discardBody(body);
	}
}

function createFailedEnd(
	code: ErrorCode,
	options: {outcome?: Outcome; detail?: string; load?: LoadReport | undefined; isTargetFault?: boolean} = {},
): AttemptEnd {
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

/** Reads the usage that a model's whole answer states; zero for a plain service. */
function parseGeneratedTokens(body: Buffer): number {
	try {
		const parsed = JSON.parse(body.toString('utf8')) as {usage?: {completion_tokens?: number}};
		return parsed.usage?.completion_tokens ?? 0;
	} catch {
		return 0;
	}
}
