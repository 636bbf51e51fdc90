import {type Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {
	ANSWER_FRAMINGS, ANSWER_USES, type AnswerFraming, type AnswerUse, ATTEMPT_RESULTS, type AttemptResult, CLOSED_ANSWER_USES, type CloseSigns,
	decideAnswerUse, decideClosedAnswer, isNotRunStatus, SENT_FORMS, type SendServingAttempt, type SentForm, type StreamForm, type TargetNotice,
} from '@damaskspool/core';
import {
	createByteCollector, type DeploymentPorts, type ResponseHead, type ResponseHeaders,
} from '@damaskspool/runtime';
import {isFinalStatus} from '@damaskspool/shared';
import {type CallHandle} from './callHandle.js';
import {type MemoryLedger} from './createMemoryLedger.js';
import {createEventSplitter} from './createEventSplitter.js';
import {createForwarder} from './createForwarder.js';
import {type LeaveWitness} from './createLeaveWitnesses.js';
import {type TargetWatch} from './createTargetWatches.js';

/** Result of an attempt, as the reducer receives it. */
export type AttemptEnd = {
	readonly result: AttemptResult;
	/** Whether part of a response was forwarded to the caller. */
	readonly isResponseStarted: boolean;
	/** Whether the target ran the request, as far as its response shows. */
	readonly hasRun: boolean;
	readonly detail: string;
	/** Undefined if no answer came. */
	readonly framing: AnswerFraming | undefined;
	/** Undefined unless the answer ended with its connection. */
	readonly closeSigns: CloseSigns | undefined;
	readonly lastEventId: string | undefined;
	/** How the target has numbered events; undefined outside of streams. */
	readonly streamForm: StreamForm | undefined;
};

/** Options of {@link runAttempt}. */
export type RunAttemptOptions = {
	readonly attempt: SendServingAttempt;
	readonly handle: CallHandle;
	readonly pool: Dispatcher;
	readonly ports: DeploymentPorts;
	readonly memoryLedger: MemoryLedger;
	/** Whether the current event loop iteration handles the reset of a connection. */
	readonly isHandlingReset: () => boolean;
	/** Whether the target has asked for a pause. A request that still waits for a connection is then not sent. */
	readonly isPaused: () => boolean;
	/** Watches the target while an answer of it is under way that ends with its connection. */
	readonly watchTarget: () => TargetWatch;
	/** Records the request at a target that may announce that it stops. */
	readonly addWitness: () => LeaveWitness;
	/** Whether the target has announced that it stops, or its registration was removed. */
	readonly isTargetLeaving: () => boolean;
	/** Called when bytes of the connection were part of a response. */
	readonly onProgress: () => void;
	/** Records the head of an answer. Returns whether it is the first of its connection. */
	readonly recordAnswer: () => boolean;
	/** Records a refusal. Returns whether it is the first one of its request on its connection. */
	readonly recordRefusal: (requestId: string) => boolean;
	/** Delays the end of the connection of the answer that has begun; see `EndDelay`. */
	readonly delayEnd: (untilMs: number) => void;
	/** Called with what the target says about itself in the head of its response, before the attempt ends. */
	readonly onNotice: (notice: TargetNotice) => void;
	readonly onResponseBegan: () => void;
	/** Called instead of `onEnded` for a prefill; `handleId` identifies the KV cache of the prompt, or is undefined after a failure. */
	readonly onPrefillEnded: (handleId: string | undefined, result: AttemptResult) => void;
	readonly onEnded: (end: AttemptEnd) => void;
};

/** Receives the body of a response. The head of the response determines which sink is used. */
type BodySink = {
	readonly write: (chunk: Buffer) => void;
	readonly end: () => void;
};

const EVENT_STREAM = 'text/event-stream';
/** Statuses whose answers have no body, also without a length. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** Why an answer is not read. */
const REJECTIONS = {
	[ANSWER_USES.reject]: 'the response is not signed',
	[ANSWER_USES.rejectOther]: 'the response is not the rest of the stream',
} as const;
/** Responses up to this size are forwarded only when complete, so that the request can be retried if the connection breaks before the end. */
const MAX_BUFFERED_BYTES = 262_144;
/** Time before the timeout of a call by which an answer that has ended should be passed on. */
const END_MARGIN_MS = 50;
/** Body that has arrived with the head of its request: TCP sends so many bytes before the first acknowledgement. */
const MAX_ARRIVED_BYTES = 12_000;
/** Bytes and pieces of a body that are read after the attempt has ended, so that the connection can be reused. */
const MAX_DISCARDED_BYTES = 65_536;
const MAX_DISCARDED_PIECES = 64;

/**
 * Sends a request to a target and forwards the response to the caller.
 * A failure response is stored in `handle.bufferedResponse` instead.
 *
 * @returns a function that cancels the attempt; no callback of `options` is called after that
 */
export function runAttempt(options: RunAttemptOptions): () => void {
	const {
		attempt, handle, pool, ports, memoryLedger, isHandlingReset, isPaused, watchTarget, addWitness, isTargetLeaving,
		onProgress, recordAnswer, recordRefusal, delayEnd, onNotice, onResponseBegan, onPrefillEnded, onEnded,
	} = options;
	const {response} = handle;
	const endsAtMs = performance.now() + attempt.remainingMs;
	let controller: Dispatcher.DispatchController | undefined;
	let isFinished = false;
	let isSent = false;
	let hasBegun = false;
	let framing: AnswerFraming | undefined;
	let watch: TargetWatch | undefined;
	let witness: LeaveWitness | undefined;
	let closeSigns: CloseSigns | undefined;
	let {isCloseDoubtful} = attempt;
	let discardedBytes = 0;
	let discardedPieces = 0;
	let sink: BodySink | undefined;
	let getStreamForm: (() => StreamForm) | undefined;
	const forwarder = createForwarder({
		response,
		held: handle.held,
		memoryLedger,
		pause() {
			watch?.setPaused(true);
			controller?.pause();
		},
		resume() {
			watch?.setPaused(false);
			controller?.resume();
		},
	});

	const stopWatching = () => {
		watch?.stop();
		witness?.release();
	};

	const finish = (result: AttemptResult, detail: string, hasRun = hasBegun) => {
		if (isFinished) {
			return;
		}

		isFinished = true;
		stopWatching();
		forwarder.flush();
		handle.held.bufferedBytes = handle.bufferedResponse?.body.length ?? 0;
		if (attempt.isPrefillOnly) {
			onPrefillEnded(undefined, result);
			return;
		}

		onEnded({
			result,
			isResponseStarted: response.headersSent,
			hasRun,
			detail,
			framing,
			closeSigns,
			lastEventId: handle.lastEventId,
			streamForm: getStreamForm?.(),
		});
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

	/** Counts bytes that are held until the response is forwarded. */
	const recordBuffered = (bytes: number) => {
		handle.held.bufferedBytes += bytes;
		memoryLedger.record(bytes);
	};

	/** Creates a sink that buffers a body. A body that exceeds the buffer fails the attempt. */
	const createBoundedSink = (onBody: (body: Buffer) => void): BodySink => {
		const collector = createByteCollector();
		return {
			write(chunk) {
				if (collector.getLength() + chunk.length > MAX_BUFFERED_BYTES) {
					fail('the response is longer than any response of its kind');
					return;
				}

				collector.push(chunk);
				recordBuffered(chunk.length);
			},
			end() {
				onBody(collector.take());
			},
		};
	};

	const createPrefillSink = (status: number): BodySink => createBoundedSink(body => {
		const handleId = status === 200 ? ports.parsePrefillResponse(body.toString('utf8')) : undefined;
		if (handleId === undefined) {
			finish(ATTEMPT_RESULTS.unknown, `status ${status} of a prefill`);
			return;
		}

		isFinished = true;
		stopWatching();
		onPrefillEnded(handleId, ATTEMPT_RESULTS.answered);
	});

	const createFailureSink = (status: number, head: ResponseHead): BodySink => createBoundedSink(body => {
		handle.bufferedResponse = {
			attemptId: attempt.attemptId, status, headers: head.headers, body, isSigned: head.isSigned && !isNotRunStatus(status),
		};
		finish(ATTEMPT_RESULTS.failed, `status ${status}`, true);
	});

	const writeHead = (status: number, {headers}: ResponseHead, {form, length}: {form: SentForm; length?: number}) => {
		if (!response.headersSent) {
			handle.sentForm = form;
			response.writeHead(status, [...headers, ...(length === undefined ? [] : ['content-length', String(length)])]);
		}
	};

	const createStreamSink = (status: number, head: ResponseHead): BodySink => {
		const splitter = createEventSplitter({
			lastEventId: handle.lastEventId, isConsecutive: attempt.areEventsConsecutive, refusedBefore: attempt.refusedEventNumber, extraFields: ports.extraEventFields,
		});
		getStreamForm = splitter.getForm;
		return {
			write(chunk) {
				const {completeEvents, refusal} = splitter.push(chunk);
				if (completeEvents !== undefined) {
					begin();
					writeHead(status, head, {form: SENT_FORMS.events});
					handle.lastEventId = splitter.getLastEventId();
					forwarder.push(completeEvents);
				}

				if (refusal !== undefined) {
					fail(`the stream goes on with something else than its next event: ${refusal}`);
				} else if (splitter.countIncompleteBytes() > MAX_BUFFERED_BYTES) {
					fail('an event of the stream is longer than any event');
				}
			},
			end() {
				const {isWithinEvent, rest} = splitter.finish();
				if (isWithinEvent) {
					finish(ATTEMPT_RESULTS.unknown, 'the stream ended within an event');
					return;
				}

				if (framing === ANSWER_FRAMINGS.connection && !hasBegun) {
					finish(ATTEMPT_RESULTS.unknown, 'the stream ended with its connection before an event');
					return;
				}

				begin();
				writeHead(status, head, {form: SENT_FORMS.events});
				if (rest !== undefined) {
					forwarder.push(rest);
				}

				if (framing === ANSWER_FRAMINGS.connection && isCloseDoubtful) {
					finish(ATTEMPT_RESULTS.closed, 'the stream ended with its connection between events');
					return;
				}

				forwarder.flush();
				response.end();
				finish(ATTEMPT_RESULTS.answered, `status ${status}`);
			},
		};
	};

	const createBufferingSink = (status: number, head: ResponseHead): BodySink => {
		const collector = createByteCollector();
		return {
			write(chunk) {
				begin();
				if (response.headersSent) {
					forwarder.push(chunk);
					return;
				}

				collector.push(chunk);
				recordBuffered(chunk.length);
				if (collector.getLength() > MAX_BUFFERED_BYTES) {
					writeHead(status, head, {form: SENT_FORMS.body});
					handle.held.bufferedBytes = 0;
					forwarder.push(collector.take());
				}
			},
			end() {
				begin();
				if (response.headersSent) {
					forwarder.flush();
					response.end();
				} else {
					writeHead(status, head, {form: SENT_FORMS.body, length: collector.getLength()});
					response.end(collector.take());
				}

				finish(ATTEMPT_RESULTS.answered, `status ${status}`);
			},
		};
	};

	/** Creates the sink for each use of an answer that is read. */
	const sinkCreators: Readonly<Record<Exclude<AnswerUse, keyof typeof REJECTIONS>, (status: number, head: ResponseHead) => BodySink>> = {
		[ANSWER_USES.forwardEvents]: createStreamSink,
		[ANSWER_USES.forwardBody]: createBufferingSink,
		[ANSWER_USES.failAttempt]: createFailureSink,
	};

	const pickSink = (status: number, head: ResponseHead, headers: ResponseHeaders): BodySink | string => {
		if (attempt.isPrefillOnly) {
			return createPrefillSink(status);
		}

		const use = decideAnswerUse({
			status, isSigned: head.isSigned, isEventStream: String(headers['content-type']).startsWith(EVENT_STREAM), sentForm: handle.sentForm, isTakeUp: attempt.isTakeUp,
		});
		return use === ANSWER_USES.reject || use === ANSWER_USES.rejectOther ? REJECTIONS[use] : sinkCreators[use](status, head);
	};

	const receiveHead = (status: number, headers: ResponseHeaders, isFirstAnswer: boolean) => {
		if (!isFinalStatus(status)) {
			fail(`${status} is no status of a response`);
			return;
		}

		const head = ports.parseResponseHead(status, headers);
		// A late copy of the answer to an earlier request proves nothing about this one, even if it says "not run", and names no limit that still holds.
		// Only the first answer of a connection cannot be such a copy.
		const isOther = head.requestId === undefined ? !isFirstAnswer : head.requestId !== handle.request.call.requestId;
		// A caller may send a refused request again under its identifier. The refusal may then be that of the earlier request.
		const isRepeated = !isOther && head.isNotRun && head.requestId !== undefined && !recordRefusal(head.requestId);
		onNotice(isOther || isRepeated ? {...head.notice, requestsPerSecond: undefined, load: undefined} : head.notice);
		if (isOther) {
			fail(head.requestId === undefined ? 'the response does not say to which request it belongs' : 'the response belongs to another request');
			return;
		}

		if (isRepeated) {
			fail('the response repeats an earlier refusal');
			return;
		}

		if (head.isNotRun) {
			finish(ATTEMPT_RESULTS.notRun, `status ${status}`, false);
			return;
		}

		const picked = pickSink(status, head, headers);
		if (typeof picked === 'string') {
			fail(picked);
		} else {
			sink = picked;
		}
	};

	/** Ends a response that ended with its connection. A target whose process has ended closes its connections as well. */
	const endClosedResponse = async () => {
		// A registration that is removed later may be that of a process that has ended.
		const isLeaving = isTargetLeaving();
		const signs = await watch!.findSigns({untilMs: endsAtMs - END_MARGIN_MS, connection: witness?.getConnection()});
		if (isFinished) {
			return;
		}

		closeSigns = {...signs, isLeaving};
		const use = decideClosedAnswer(closeSigns, {isResumable: attempt.isResumable, isStream: getStreamForm !== undefined});
		isCloseDoubtful ||= use === CLOSED_ANSWER_USES.doubtful;
		if (use === CLOSED_ANSWER_USES.broken) {
			finish(ATTEMPT_RESULTS.unknown, 'the target ended with the connection of its response');
		} else {
			sink?.end();
		}
	};

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
			if (isFinished || isPaused()) {
				startedController.abort(new Error('the attempt was cancelled before the request was sent'));
				return;
			}

			isSent = true;
			witness?.release();
			witness = addWitness();
		},
		onResponseStart(_started, status, headers) {
			const isFirstAnswer = status >= 200 && recordAnswer();
			if (isFinished || status < 200) {
				return;
			}

			onProgress();
			framing = findFraming(status, headers);
			watch = framing === ANSWER_FRAMINGS.connection ? watchTarget() : undefined;
			if (framing === ANSWER_FRAMINGS.connection && handle.body.length > MAX_ARRIVED_BYTES) {
				delayEnd(endsAtMs - END_MARGIN_MS);
			}

			receiveHead(status, headers, isFirstAnswer);
		},
		onResponseData(started, chunk) {
			onProgress();
			if (isFinished) {
				discardedBytes += chunk.length;
				discardedPieces += 1;
				if (discardedBytes > MAX_DISCARDED_BYTES || discardedPieces > MAX_DISCARDED_PIECES) {
					started.abort(new Error('the rest of the response is not needed'));
				}
			} else {
				sink?.write(chunk);
			}
		},
		onResponseEnd() {
			if (isFinished) {
				return;
			}

			if (framing !== ANSWER_FRAMINGS.connection) {
				sink?.end();
			} else if (isHandlingReset()) {
				finish(ATTEMPT_RESULTS.unknown, 'the connection was reset before the response completed');
			} else {
				void endClosedResponse();
			}
		},
		onResponseError(_started, error) {
			finish(isSent ? ATTEMPT_RESULTS.unknown : ATTEMPT_RESULTS.unreached, (error as NodeJS.ErrnoException).code ?? error.message);
		},
	});
	return () => {
		isFinished = true;
		stopWatching();
		forwarder.flush();
		controller?.abort(new Error('the attempt was cancelled'));
	};
}

function findFraming(status: number, headers: ResponseHeaders): AnswerFraming {
	if (headers['transfer-encoding'] !== undefined) {
		return ANSWER_FRAMINGS.chunked;
	}

	return headers['content-length'] === undefined && !BODILESS_STATUSES.has(status) ? ANSWER_FRAMINGS.connection : ANSWER_FRAMINGS.length;
}
