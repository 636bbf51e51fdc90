import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type SendAttempt} from '@damaskspool/core';
import {type StoredResponse} from '@damaskspool/shared';
import {Agent} from 'undici';
import {type CallerResponseWriter, createCallerResponseWriter, refuseUnreadRequest} from './createCallerResponseWriter.js';
import {type UsageComponent} from './createUsageComponent.js';
import {type EntryContext, type EntryComponent} from './entryComponent.js';
import {type CallerRequest, readCallerRequest} from './readCallerRequest.js';
import {sendAttempt, type StreamProgress} from './sendAttempt.js';

/** A request whose response is not complete yet. */
type OpenRequest = {
	readonly request: CallerRequest;
	readonly responseWriter: CallerResponseWriter;
	readonly progress: StreamProgress;
	readonly receivedAtMs: number;
	/** Cancels the current attempt; undefined before the first one. */
	attemptController: AbortController | undefined;
};

/** Component of an entry that serves callers. */
export type RequestComponent = EntryComponent<'attempt.send' | 'attempt.cancel' | 'request.refuse' | 'request.complete' | 'request.replay'> & {
	/** Reads a caller's request and dispatches it, or refuses it. */
	readonly receive: (incoming: IncomingMessage, response: ServerResponse) => Promise<void>;
	/** Returns the buffered response of a request that is about to be completed. */
	readonly readBufferedResponse: (requestId: string) => StoredResponse | undefined;
	readonly countOpenRequests: () => number;
};

const MAX_CONNECTIONS_PER_SIDECAR = 128;
/** Time limit for opening a connection to a sidecar. */
const CONNECT_TIMEOUT_MS = 1000;

/** Creates the component that reads callers' requests, sends attempts to sidecars and writes the responses. */
export function createRequestComponent(context: EntryContext, usageComponent: Pick<UsageComponent, 'startMetering'>): RequestComponent {
	const {settings, logger, metrics, dispatch, readClock, readState} = context;
	const openRequests = new Map<string, OpenRequest>();
	const dispatcher = new Agent({connections: MAX_CONNECTIONS_PER_SIDECAR, connect: {timeout: CONNECT_TIMEOUT_MS}});

	const closeRequest = (requestId: string): OpenRequest | undefined => {
		const openRequest = openRequests.get(requestId);
		if (openRequest !== undefined) {
			openRequests.delete(requestId);
			metrics.recordMs('request', readClock() - openRequest.receivedAtMs);
		}

		return openRequest;
	};

	const startAttempt = async (effect: SendAttempt) => {
		const openRequest = openRequests.get(effect.requestId);
		if (openRequest === undefined) {
			return;
		}

		const {requestId, attemptId} = effect;
		const attemptController = new AbortController();
		openRequest.attemptController = attemptController;
		const {meter, header, end: endMetering} = usageComponent.startMetering(
			effect,
			openRequest.request.attributes.promptTokens,
			openRequest.progress.lastEventId !== undefined,
		);
		const result = await sendAttempt({
			effect,
			entryId: settings.instanceId,
			request: openRequest.request,
			responseWriter: openRequest.responseWriter,
			progress: openRequest.progress,
			meter,
			usageHeader: header,
			dispatcher,
			signal: attemptController.signal,
			onAnswered(load) {
				metrics.recordMs('first_byte', readClock() - openRequest.receivedAtMs);
				dispatch({
					type: 'attempt.answered', requestId, attemptId, load,
				});
			},
		});
		endMetering();
		if (result.type === 'finished') {
			dispatch({
				type: 'attempt.finished', requestId, attemptId, generatedTokens: result.generatedTokens,
			});
			return;
		}

		logger.info('attempt failed', {
			requestId, attemptId, targetId: effect.targetId, failure: result.failure,
		});
		dispatch({
			...result, type: 'attempt.failed', requestId, attemptId,
		});
	};

	return {
		effectHandlers: {
			'attempt.send'(effect) {
				void startAttempt(effect);
			},
			'attempt.cancel'({requestId}) {
				openRequests.get(requestId)?.attemptController?.abort();
			},
			'request.refuse'({requestId, failure}) {
				metrics.count(`refused_total{code="${failure.code}"}`);
				closeRequest(requestId)?.responseWriter.refuse(failure);
			},
			'request.replay'({requestId, answer: {status, contentType, body}}) {
				metrics.count('replayed_total');
				const responseWriter = closeRequest(requestId)?.responseWriter;
				responseWriter?.setBufferedResponse(status, contentType, Buffer.from(body, 'base64'));
				responseWriter?.complete();
			},
			'request.complete'({requestId}) {
				metrics.count('answered_total');
				closeRequest(requestId)?.responseWriter.complete();
			},
		},
		readBufferedResponse: requestId => openRequests.get(requestId)?.responseWriter.readBufferedResponse(),
		countOpenRequests: () => openRequests.size,
		updateGauges() {
			metrics.setGauge('open_requests', openRequests.size);
		},
		async stop() {
			await dispatcher.destroy();
		},
		async receive(incoming, response) {
			const receivedAtMs = readClock();
			const read = await readCallerRequest(incoming, settings.bodyLimit);
			if (read.err) {
				refuseUnreadRequest(incoming, response, read.val);
				return;
			}

			// If the caller disconnected while its body was read, the 'close' event was already emitted and will not be seen below.
			if (response.destroyed || response.closed) {
				return;
			}

			const request = read.val;
			const {requestId} = request.attributes;
			openRequests.set(requestId, {
				request,
				responseWriter: createCallerResponseWriter(response, requestId),
				progress: {lastEventId: undefined, generatedTokens: 0},
				receivedAtMs,
				attemptController: undefined,
			});
			response.on('close', () => {
				if (openRequests.has(requestId) && !response.writableFinished) {
					dispatch({type: 'caller.disconnected', requestId});
					if (!readState().requests.has(requestId)) {
						closeRequest(requestId)?.attemptController?.abort();
					}
				}
			});
			dispatch({type: 'request.received', attributes: request.attributes});
		},
	};
}
