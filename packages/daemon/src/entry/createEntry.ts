import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {
	createEntryState, type EntryEffect, type EntryEvent, type EntryState, reduceEntry, type SendAttempt,
} from '@damaskspool/core';
import {
	createLoop, createMetrics, createObjectApiClient, createRpcCaller, createRpcHandler, type EffectHandlers, listenOn,
	type Logger, RPC_PATH,
} from '@damaskspool/runtime';
import {
	createFailure, ERROR_CODES, ERROR_DESCRIPTIONS, type Failure,
} from '@damaskspool/shared';
import {Agent} from 'undici';
import {type Daemon} from '../createDaemon.js';
import {createOperationsHandler} from '../createOperationsHandler.js';
import {type EntrySettings} from '../settings.js';
import {stopServer} from '../stopServer.js';
import {type CallerAnswer, createCallerAnswer, toErrorBody} from './callerAnswer.js';
import {createEntryRpcMethods} from './createEntryRpcMethods.js';
import {type CallerRequest, readCallerRequest} from './readCallerRequest.js';
import {sendAttempt, type StreamProgress} from './sendAttempt.js';
import {startEntryPolls} from './startEntryPolls.js';

/** What the runtime keeps of a request while it is under way. */
type OpenRequest = {
	readonly request: CallerRequest;
	readonly answer: CallerAnswer;
	readonly progress: StreamProgress;
	readonly receivedAtMs: number;
	attempt: AbortController | undefined;
};

/** Options of {@link createEntry}. */
export type EntryOptions = {
	readonly settings: EntrySettings;
	readonly logger: Logger;
};

/** Connections that an entry opens to one sidecar at most. */
const CONNECTIONS_PER_SIDECAR = 128;
/** Longest wait for a connection to a sidecar. */
const CONNECT_TIMEOUT_MS = 1000;
/** Time between ticks, and so the precision of deadlines. */
const TICK_INTERVAL_MS = 100;

/**
 * Starts an entry: it takes callers' requests and sends them to targets.
 *
 * @param options - checked settings and the logger
 * @returns the running entry
 */
export async function createEntry({settings, logger}: EntryOptions): Promise<Daemon> {
	const metrics = createMetrics();
	const open = new Map<string, OpenRequest>();
	const dispatcher = new Agent({
		connections: CONNECTIONS_PER_SIDECAR,
		connect: {timeout: CONNECT_TIMEOUT_MS},
	});
	const objectApi = createObjectApiClient({
		address: settings.platform, onCall(kind, bytes) {
			metrics.count(`store_calls_total{kind="${kind}"}`);
			metrics.count('control_bytes_total', bytes);
		},
	});
	const rpc = createRpcCaller({
		onCall(method, bytes) {
			metrics.count(`rpc_calls_total{method="${method}"}`);
			metrics.count('control_bytes_total', bytes);
		},
	});

	const closeRequest = (requestId: string): OpenRequest | undefined => {
		const found = open.get(requestId);
		if (found !== undefined) {
			open.delete(requestId);
			metrics.recordMs('request', loop.readClock() - found.receivedAtMs);
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
		const end = await sendAttempt({
			effect,
			entryId: settings.instanceId,
			request: found.request,
			answer: found.answer,
			progress: found.progress,
			dispatcher,
			signal: abort.signal,
			onAnswered(load) {
				metrics.recordMs('first_byte', loop.readClock() - found.receivedAtMs);
				loop.dispatch({
					type: 'attempt.answered', requestId, attemptId, load,
				});
			},
		});
		if (end.type === 'failed') {
			logger.info('attempt failed', {
				requestId, attemptId, targetId: effect.targetId, failure: end.failure,
			});
		}

		loop.dispatch(end.type === 'finished'
			? {
				type: 'attempt.finished', requestId, attemptId, generatedTokens: end.generatedTokens,
			}
			: {
				...end, type: 'attempt.failed', requestId, attemptId,
			});
	};

	const effectHandlers: EffectHandlers<EntryEffect> = {
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
		'request.complete'({requestId}) {
			metrics.count('answered_total');
			closeRequest(requestId)?.answer.complete();
		},
		'decision.record'({name, subject, detail}) {
			logger.info(name, {subject, ...detail});
		},
	};
	const loop = createLoop<EntryState, EntryEvent, EntryEffect>({
		state: createEntryState(settings),
		reduce: reduceEntry,
		effectHandlers,
	});

	const receive = async (incoming: IncomingMessage, response: ServerResponse) => {
		const receivedAtMs = loop.readClock();
		const read = await readCallerRequest(incoming, settings.bodyLimit);
		if (read.err) {
			refuseUnread(incoming, response, read.val);
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
				loop.dispatch({type: 'caller.left', requestId});
				closeRequest(requestId);
			}
		});
		loop.dispatch({type: 'request.received', facts: request.facts});
	};

	const isReady = () => !loop.state.isStopping && loop.state.configuration.revision >= 0;
	const answerOperations = createOperationsHandler({
		metrics,
		isReady,
		updateGauges() {
			metrics.setGauge('open_requests', open.size);
			metrics.setGauge('known_targets', loop.state.membership.targets.size);
			metrics.setGauge('configuration_revision', loop.state.configuration.revision);
		},
	});
	const answerRpc = createRpcHandler(createEntryRpcMethods({loop}));

	const callerServer = createServer({keepAliveTimeout: 65_000}, (incoming, response) => {
		if (!answerOperations(incoming, response)) {
			void receive(incoming, response);
		}
	});
	callerServer.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		if (socket.writable) {
			const failure = createFailure(ERROR_CODES.headerInvalid, {detail: error.code ?? ''});
			const text = JSON.stringify(toErrorBody(failure, ''));
			socket.end(`HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(text)}\r\nConnection: close\r\n\r\n${text}`);
		}
	});
	const controlServer = createServer((incoming, response) => {
		if (answerOperations(incoming, response)) {
			return;
		}

		if (incoming.url === RPC_PATH && incoming.method === 'POST') {
			void answerRpc(incoming, response);
			return;
		}

		response.writeHead(404).end();
	});

	const addresses = {
		listen: await listenOn(callerServer, settings.listen),
		control: await listenOn(controlServer, settings.control),
	};
	const ticks = setInterval(() => {
		loop.dispatch({type: 'tick'});
	}, TICK_INTERVAL_MS);
	const stopPolls = startEntryPolls({
		loop, objectApi, rpc, intervalMs: settings.pollInterval,
	});
	return {
		addresses,
		async stop() {
			loop.dispatch({type: 'stop.requested'});
			await stopServer({server: callerServer, isBusy: () => open.size > 0, limitMs: settings.drainLimit});
			stopPolls();
			clearInterval(ticks);
			await stopServer({server: controlServer, isBusy: () => false, limitMs: 0});
			await Promise.all([dispatcher.destroy(), rpc.close(), objectApi.close()]);
		},
	};
}

/** Refuses a request whose body was not read whole; its connection cannot be used again. */
function refuseUnread(incoming: IncomingMessage, response: ServerResponse, failure: Failure): void {
	const text = JSON.stringify(toErrorBody(failure, ''));
	const {status} = ERROR_DESCRIPTIONS[failure.code];
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), connection: 'close'});
	response.end(text, () => {
		incoming.destroy();
	});
}
