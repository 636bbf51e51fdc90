import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type SendAttempt} from '@damaskspool/core';
import {type StoredResponse} from '@damaskspool/shared';
import {Agent} from 'undici';
import {type CallerAnswer, createCallerAnswer, refuseUnread} from './callerAnswer.js';
import {type UsagePart} from './createUsagePart.js';
import {type EntryContext, type EntryPart} from './entryPart.js';
import {type CallerRequest, readCallerRequest} from './readCallerRequest.js';
import {sendAttempt, type StreamProgress} from './sendAttempt.js';

/** What the runtime keeps of a request while it is under way. */
type OpenRequest = {
	readonly request: CallerRequest;
	readonly answer: CallerAnswer;
	readonly progress: StreamProgress;
	readonly receivedAtMs: number;
	attempt: AbortController | undefined;
};

/** The part of an entry that serves callers. */
export type RequestPart = EntryPart<'attempt.send' | 'attempt.cancel' | 'request.refuse' | 'request.complete' | 'request.replay'> & {
	/** Takes a caller's request. */
	readonly receive: (incoming: IncomingMessage, response: ServerResponse) => Promise<void>;
	/** The whole answer of a request that is about to be completed. */
	readonly readAnswer: (requestId: string) => StoredResponse | undefined;
	readonly countOpen: () => number;
};

/** Connections that an entry opens to one sidecar at most. */
const CONNECTIONS_PER_SIDECAR = 128;
/** Longest wait for a connection to a sidecar. */
const CONNECT_TIMEOUT_MS = 1000;

/**
 * Creates the part of an entry that reads callers' requests, sends attempts and writes answers.
 *
 * @param context - what the entry shares among its parts
 * @param usage - the part that meters attempts
 * @returns the part
 */
export function createRequestPart(context: EntryContext, usage: Pick<UsagePart, 'startMetering'>): RequestPart {
	const {settings, logger, metrics, dispatch, readClock, readState} = context;
	const open = new Map<string, OpenRequest>();
	const dispatcher = new Agent({connections: CONNECTIONS_PER_SIDECAR, connect: {timeout: CONNECT_TIMEOUT_MS}});

	const closeRequest = (requestId: string): OpenRequest | undefined => {
		const found = open.get(requestId);
		if (found !== undefined) {
			open.delete(requestId);
			metrics.recordMs('request', readClock() - found.receivedAtMs);
		}

		return found;
	};

	const startAttempt = async (effect: SendAttempt) => {
		const found = open.get(effect.requestId);
		if (found === undefined) {
			return;
		}

		const {requestId, attemptId} = effect;
		const abort = new AbortController();
		found.attempt = abort;
		const {meter, header, end: endMetering} = usage.startMetering(
			effect,
			found.request.facts.promptTokens,
			found.progress.lastEventId !== undefined,
		);
		const end = await sendAttempt({
			effect,
			entryId: settings.instanceId,
			request: found.request,
			answer: found.answer,
			progress: found.progress,
			meter,
			usageHeader: header,
			dispatcher,
			signal: abort.signal,
			onAnswered(load) {
				metrics.recordMs('first_byte', readClock() - found.receivedAtMs);
				dispatch({
					type: 'attempt.answered', requestId, attemptId, load,
				});
			},
		});
		endMetering();
		if (end.type === 'finished') {
			dispatch({
				type: 'attempt.finished', requestId, attemptId, generatedTokens: end.generatedTokens,
			});
			return;
		}

		logger.info('attempt failed', {
			requestId, attemptId, targetId: effect.targetId, failure: end.failure,
		});
		dispatch({
			...end, type: 'attempt.failed', requestId, attemptId,
		});
	};

	return {
		effectHandlers: {
			'attempt.send'(effect) {
				void startAttempt(effect);
			},
			'attempt.cancel'({requestId}) {
				open.get(requestId)?.attempt?.abort();
			},
			'request.refuse'({requestId, failure}) {
				metrics.count(`refused_total{code="${failure.code}"}`);
				closeRequest(requestId)?.answer.refuse(failure);
			},
			'request.replay'({requestId, answer: {status, contentType, body}}) {
				metrics.count('replayed_total');
				const answer = closeRequest(requestId)?.answer;
				answer?.holdWhole(status, contentType, Buffer.from(body, 'base64'));
				answer?.complete();
			},
			'request.complete'({requestId}) {
				metrics.count('answered_total');
				closeRequest(requestId)?.answer.complete();
			},
		},
		readAnswer: requestId => open.get(requestId)?.answer.readHeld(),
		countOpen: () => open.size,
		updateGauges() {
			metrics.setGauge('open_requests', open.size);
		},
		async stop() {
			await dispatcher.destroy();
		},
		async receive(incoming, response) {
			const receivedAtMs = readClock();
			const read = await readCallerRequest(incoming, settings.bodyLimit);
			if (read.err) {
				refuseUnread(incoming, response, read.val);
				return;
			}

			// The caller may have left while its body was read; no event would tell of it any more.
			if (response.destroyed || response.closed) {
				return;
			}

			const request = read.val;
			const {requestId} = request.facts;
			open.set(requestId, {
				request,
				answer: createCallerAnswer(response, requestId),
				progress: {lastEventId: undefined, generatedTokens: 0},
				receivedAtMs,
				attempt: undefined,
			});
			response.on('close', () => {
				if (open.has(requestId) && !response.writableFinished) {
					dispatch({type: 'caller.left', requestId});
					if (!readState().requests.has(requestId)) {
						closeRequest(requestId)?.attempt?.abort();
					}
				}
			});
			dispatch({type: 'request.received', facts: request.facts});
		},
	};
}
