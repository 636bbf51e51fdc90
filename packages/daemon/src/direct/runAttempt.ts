import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {ATTEMPT_RESULTS, type AttemptResult, type SendServingAttempt} from '@damaskspool/core';
import {type ResponseHead, type DeploymentPorts} from '@damaskspool/runtime';
import {type CallHandle} from './callHandle.js';
import {createEventSplitter} from './createEventSplitter.js';

/** Result of an attempt, as the reducer receives it. */
export type AttemptEnd = {
	readonly result: AttemptResult;
	/** Whether part of a response was forwarded to the caller. */
	readonly isResponseStarted: boolean;
	/** Whether the target ran the request, as far as its response shows. */
	readonly hasRun: boolean;
	readonly detail: string;
};

/** Options of {@link runAttempt}. */
export type RunAttemptOptions = {
	readonly attempt: SendServingAttempt;
	readonly handle: CallHandle;
	readonly pool: Dispatcher;
	readonly ports: DeploymentPorts;
	/** Whether the current event loop iteration handles the reset of a connection. */
	readonly isHandlingReset: () => boolean;
	readonly onResponseBegan: () => void;
	/** Called instead of `onEnded` for a prefill; `handleId` identifies the KV cache of the prompt, or is undefined after a failure. */
	readonly onPrefillEnded: (handleId: string | undefined, result: AttemptResult) => void;
	readonly onEnded: (end: AttemptEnd) => void;
};

type Headers = Record<string, string | string[] | undefined>;

/** Receives the body of a response. The head of the response determines which sink is used. */
type BodySink = {
	/** Returns false if the target's response must pause until the caller's connection drains. */
	readonly write: (chunk: Buffer) => boolean;
	readonly end: () => void;
};

/** Lowest status that stands for a failure of the target. */
const MIN_FAILURE_STATUS = 500;
/** Statuses below {@link MIN_FAILURE_STATUS} with which a target refuses a request. */
const REFUSING_STATUSES: ReadonlySet<number> = new Set([408, 429]);
/** Statuses that promise the caller that the request did not run. A response of a target with such a status is never forwarded. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([...REFUSING_STATUSES, 503]);
const EVENT_STREAM = 'text/event-stream';
/** Responses up to this size are forwarded only when complete, so that the request can be retried if the connection breaks before the end. */
const MAX_BUFFERED_BYTES = 262_144;

/**
 * Sends a request to a target and forwards the response to the caller.
 * A failure response is stored in `handle.bufferedResponse` instead.
 *
 * @returns a function that cancels the attempt; no callback of `options` is called after that
 */
export function runAttempt(options: RunAttemptOptions): () => void {
	const {attempt, handle, pool, ports, isHandlingReset, onResponseBegan, onPrefillEnded, onEnded} = options;
	const {response} = handle;
	let controller: Dispatcher.DispatchController | undefined;
	let isFinished = false;
	let isSent = false;
	let hasBegun = false;
	let isDelimited = true;
	let sink: BodySink | undefined;

	const finish = (result: AttemptResult, detail: string, hasRun = hasBegun) => {
		if (isFinished) {
			return;
		}

		isFinished = true;
		response.off('drain', resume);
		if (attempt.isPrefillOnly) {
			onPrefillEnded(undefined, result);
			return;
		}

		onEnded({
			result, isResponseStarted: response.headersSent, hasRun, detail,
		});
	};

	const resume = () => {
		controller?.resume();
	};

	const fail = (detail: string) => {
		finish(ATTEMPT_RESULTS.unknown, detail);
		controller?.abort(new Error(detail));
	};

	const begin = () => {
		if (!hasBegun) {
			hasBegun = true;
			onResponseBegan();
		}
	};

	const createPrefillSink = (status: number, {isNotRun}: ResponseHead): BodySink => {
		const chunks: Buffer[] = [];
		return {
			write: chunk => chunks.push(chunk) > 0,
			end() {
				const handleId = status === 200 ? ports.parsePrefillResponse(Buffer.concat(chunks).toString('utf8')) : undefined;
				if (handleId === undefined || isFinished) {
					finish(isNotRun ? ATTEMPT_RESULTS.notRun : ATTEMPT_RESULTS.unknown, `status ${status} of a prefill`);
					return;
				}

				isFinished = true;
				onPrefillEnded(handleId, ATTEMPT_RESULTS.answered);
			},
		};
	};

	const createRefusalSink = (status: number): BodySink => ({
		write: () => true,
		end() {
			finish(ATTEMPT_RESULTS.notRun, `status ${status}`, false);
		},
	});

	const createFailureSink = (status: number, head: ResponseHead): BodySink => {
		const chunks: Buffer[] = [];
		return {
			write: chunk => chunks.push(chunk) > 0,
			end() {
				handle.bufferedResponse = {
					attemptId: attempt.attemptId, status, headers: head.headers, body: Buffer.concat(chunks), isSigned: head.isSigned && !NOT_RUN_STATUSES.has(status),
				};
				finish(ATTEMPT_RESULTS.failed, `status ${status}`, true);
			},
		};
	};

	const writeHead = (status: number, {headers}: ResponseHead, length?: number) => {
		if (!response.headersSent) {
			response.writeHead(status, [...headers, ...(length === undefined ? [] : ['content-length', String(length)])]);
		}
	};

	const createStreamSink = (status: number, head: ResponseHead): BodySink => {
		const splitter = createEventSplitter();
		return {
			write(chunk) {
				const completeEvents = splitter.push(chunk);
				if (completeEvents === undefined) {
					return true;
				}

				begin();
				writeHead(status, head);
				handle.lastEventId = splitter.getLastEventId() ?? handle.lastEventId;
				return response.write(completeEvents);
			},
			end() {
				if (splitter.hasIncompleteEvent()) {
					finish(ATTEMPT_RESULTS.unknown, 'the stream ended within an event');
					return;
				}

				begin();
				writeHead(status, head);
				response.end();
				finish(ATTEMPT_RESULTS.answered, `status ${status}`);
			},
		};
	};

	const createBufferingSink = (status: number, head: ResponseHead): BodySink => {
		const chunks: Buffer[] = [];
		let bytes = 0;
		return {
			write(chunk) {
				begin();
				if (response.headersSent) {
					return response.write(chunk);
				}

				chunks.push(chunk);
				bytes += chunk.length;
				if (bytes <= MAX_BUFFERED_BYTES) {
					return true;
				}

				writeHead(status, head);
				return response.write(Buffer.concat(chunks));
			},
			end() {
				begin();
				if (response.headersSent) {
					response.end();
				} else {
					writeHead(status, head, bytes);
					response.end(Buffer.concat(chunks));
				}

				finish(ATTEMPT_RESULTS.answered, `status ${status}`);
			},
		};
	};

	const pickSink = (status: number, headers: Headers): BodySink | undefined => {
		const head = ports.parseResponseHead(status, headers);
		if (head.isNotRun) {
			return attempt.isPrefillOnly ? createPrefillSink(status, head) : createRefusalSink(status);
		}

		if (head.requestId !== undefined && head.requestId !== handle.request.call.requestId) {
			return undefined;
		}

		if (attempt.isPrefillOnly) {
			return createPrefillSink(status, head);
		}

		if (status >= MIN_FAILURE_STATUS || REFUSING_STATUSES.has(status)) {
			return createFailureSink(status, head);
		}

		if (!head.isSigned) {
			return undefined;
		}

		return String(headers['content-type']).startsWith(EVENT_STREAM) ? createStreamSink(status, head) : createBufferingSink(status, head);
	};

	response.on('drain', resume);
	pool.dispatch({
		path: handle.request.call.path,
		method: handle.request.method,
		headers: ports.formatAttemptHeaders(attempt, handle.request, handle.lastEventId),
		body: handle.body.length === 0 ? null : handle.body,
		headersTimeout: 0,
		bodyTimeout: 0,
	}, {
		onRequestStart(startedController) {
			controller = startedController;
			isSent = true;
			if (isFinished) {
				startedController.abort(new Error('the attempt was cancelled before the request was sent'));
			}
		},
		onResponseStart(_started, status, headers) {
			if (isFinished || status < 200) {
				return;
			}

			isDelimited = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
			sink = pickSink(status, headers);
			if (sink === undefined) {
				fail('the response is not signed or belongs to another request');
			}
		},
		onResponseData(started, chunk) {
			if (!isFinished && sink?.write(chunk) === false) {
				started.pause();
			}
		},
		onResponseEnd() {
			if (isFinished) {
				return;
			}

			if (!isDelimited && isHandlingReset()) {
				finish(ATTEMPT_RESULTS.unknown, 'the connection was reset before the response completed');
				return;
			}

			sink?.end();
		},
		onResponseError(_started, error) {
			finish(isSent ? ATTEMPT_RESULTS.unknown : ATTEMPT_RESULTS.unreached, (error as NodeJS.ErrnoException).code ?? error.message);
		},
	});
	return () => {
		isFinished = true;
		response.off('drain', resume);
		controller?.abort(new Error('the attempt was cancelled'));
	};
}
