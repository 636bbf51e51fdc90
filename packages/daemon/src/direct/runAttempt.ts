import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {ATTEMPT_RESULTS, type AttemptResult, type SendServingAttempt} from '@damaskspool/core';
import {type ResponseHead, type DeploymentPorts} from '@damaskspool/runtime';
import {type CallHandle} from './callHandle.js';
import {createEventSplitter} from './createEventSplitter.js';

/** How an attempt ended, for the reducer. */
export type AttemptEnd = {
	readonly result: AttemptResult;
	readonly isStarted: boolean;
	readonly hasRun: boolean;
	readonly detail: string;
};

/** Options of {@link runAttempt}. */
export type RunAttemptOptions = {
	readonly send: SendServingAttempt;
	readonly handle: CallHandle;
	readonly pool: Dispatcher;
	readonly ports: DeploymentPorts;
	/** Whether what is told now follows from the reset of a connection. */
	readonly isResetUnderWay: () => boolean;
	readonly onBegan: () => void;
	readonly onReadEnded: (handleId: string | undefined, result: AttemptResult) => void;
	readonly onEnded: (end: AttemptEnd) => void;
};

type Headers = Record<string, string | string[] | undefined>;

/** Takes the body of an answer, by what its head says. */
type BodyTaker = {
	/** Returns whether more may come at once. */
	readonly take: (chunk: Buffer) => boolean;
	readonly end: () => void;
};

/** First status of a failure of the target's own making. */
const FIRST_FAILURE_STATUS = 500;
/** Statuses below those of failures by which a target refuses a request. */
const REFUSING_STATUSES: ReadonlySet<number> = new Set([408, 429]);
/** Statuses that callers read as a promise that nothing ran: never passed on from a target in its own name. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([...REFUSING_STATUSES, 503]);
const EVENT_STREAM = 'text/event-stream';
/** Answers up to this size are passed on only once they are whole, so that a broken one may still be repeated. */
const HELD_BYTES = 262_144;

/**
 * Sends a request to a target and passes the answer on.
 *
 * @param options - attempt, call, connections, adapter, and who is told
 * @returns a function that ends the attempt; nothing is told after it was called
 */
export function runAttempt(options: RunAttemptOptions): () => void {
	const {send, handle, pool, ports, isResetUnderWay, onBegan, onReadEnded, onEnded} = options;
	const {response} = handle;
	let controller: Dispatcher.DispatchController | undefined;
	let isOver = false;
	let isSent = false;
	let hasBegun = false;
	let isFramed = true;
	let taker: BodyTaker | undefined;

	const finish = (result: AttemptResult, detail: string, hasRun = hasBegun) => {
		if (isOver) {
			return;
		}

		isOver = true;
		response.off('drain', resume);
		if (send.isRead) {
			onReadEnded(undefined, result);
			return;
		}

		onEnded({
			result, isStarted: response.headersSent, hasRun, detail,
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
			onBegan();
		}
	};

	const createReadTaker = (status: number, {isNotRun}: ResponseHead): BodyTaker => {
		const chunks: Buffer[] = [];
		return {
			take: chunk => chunks.push(chunk) > 0,
			end() {
				const handleId = status === 200 ? ports.parsePrefillResponse(Buffer.concat(chunks).toString('utf8')) : undefined;
				if (handleId === undefined || isOver) {
					finish(isNotRun ? ATTEMPT_RESULTS.notRun : ATTEMPT_RESULTS.unknown, `status ${status} of a read`);
					return;
				}

				isOver = true;
				onReadEnded(handleId, ATTEMPT_RESULTS.answered);
			},
		};
	};

	const createRefusalTaker = (status: number): BodyTaker => ({
		take: () => true,
		end() {
			finish(ATTEMPT_RESULTS.notRun, `status ${status}`, false);
		},
	});

	const createFailureTaker = (status: number, head: ResponseHead): BodyTaker => {
		const chunks: Buffer[] = [];
		return {
			take: chunk => chunks.push(chunk) > 0,
			end() {
				handle.heldAnswer = {
					attemptId: send.attemptId, status, headers: head.headers, body: Buffer.concat(chunks), isSigned: head.isSigned && !PROMISING_STATUSES.has(status),
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

	const createStreamTaker = (status: number, head: ResponseHead): BodyTaker => {
		const splitter = createEventSplitter();
		return {
			take(chunk) {
				const whole = splitter.push(chunk);
				if (whole === undefined) {
					return true;
				}

				begin();
				writeHead(status, head);
				handle.lastEventId = splitter.readLastId() ?? handle.lastEventId;
				return response.write(whole);
			},
			end() {
				if (splitter.hasRest()) {
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

	const createWholeTaker = (status: number, head: ResponseHead): BodyTaker => {
		const chunks: Buffer[] = [];
		let bytes = 0;
		return {
			take(chunk) {
				begin();
				if (response.headersSent) {
					return response.write(chunk);
				}

				chunks.push(chunk);
				bytes += chunk.length;
				if (bytes <= HELD_BYTES) {
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

	const pickTaker = (status: number, headers: Headers): BodyTaker | undefined => {
		const head = ports.parseResponseHead(status, headers);
		if (head.isNotRun) {
			return send.isRead ? createReadTaker(status, head) : createRefusalTaker(status);
		}

		if (head.requestId !== undefined && head.requestId !== handle.request.call.requestId) {
			return undefined;
		}

		if (send.isRead) {
			return createReadTaker(status, head);
		}

		if (status >= FIRST_FAILURE_STATUS || REFUSING_STATUSES.has(status)) {
			return createFailureTaker(status, head);
		}

		if (!head.isSigned) {
			return undefined;
		}

		return String(headers['content-type']).startsWith(EVENT_STREAM) ? createStreamTaker(status, head) : createWholeTaker(status, head);
	};

	response.on('drain', resume);
	pool.dispatch({
		path: handle.request.call.path,
		method: handle.request.method,
		headers: ports.formatAttemptHeaders(send, handle.request, handle.lastEventId),
		body: handle.body.length === 0 ? null : handle.body,
		headersTimeout: 0,
		bodyTimeout: 0,
	}, {
		onRequestStart(started) {
			controller = started;
			isSent = true;
			if (isOver) {
				started.abort(new Error('the attempt was ended before it was sent'));
			}
		},
		onResponseStart(_started, status, headers) {
			if (isOver || status < 200) {
				return;
			}

			isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
			taker = pickTaker(status, headers);
			if (taker === undefined) {
				fail('the answer is not signed or belongs to another request');
			}
		},
		onResponseData(started, chunk) {
			if (!isOver && taker?.take(chunk) === false) {
				started.pause();
			}
		},
		onResponseEnd() {
			if (isOver) {
				return;
			}

			if (!isFramed && isResetUnderWay()) {
				finish(ATTEMPT_RESULTS.unknown, 'the connection was reset before the end of the answer');
				return;
			}

			taker?.end();
		},
		onResponseError(_started, error) {
			finish(isSent ? ATTEMPT_RESULTS.unknown : ATTEMPT_RESULTS.unreached, (error as NodeJS.ErrnoException).code ?? error.message);
		},
	});
	return () => {
		isOver = true;
		response.off('drain', resume);
		controller?.abort(new Error('the attempt was ended'));
	};
}
