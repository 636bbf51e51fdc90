import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {
	createSidecarState, reduceSidecar, type SidecarEffect, type SidecarEvent, type SidecarState, toLoadReport, type Work,
} from '@damaskspool/core';
import {
	createLoop, createMetrics, createRpcHandler, type EffectHandlers, listenOn, type Logger, RPC_PATH,
} from '@damaskspool/runtime';
import {
	HEADERS, type Failure, OUTCOMES, ERROR_CODES, createFailure,
} from '@damaskspool/shared';
import {Agent} from 'undici';
import {type Daemon} from '../createDaemon.js';
import {createOperationsHandler} from '../createOperationsHandler.js';
import {type SidecarSettings} from '../settings.js';
import {stopServer} from '../stopServer.js';
import {parseWork} from './parseWork.js';
import {runOnTarget} from './runOnTarget.js';
import {startTargetReports} from './startTargetReports.js';

/** What the runtime keeps of work until its answer ended. */
type OpenWork = {
	readonly work: Work;
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly abort: AbortController;
};

/** Options of {@link createSidecar}. */
export type SidecarOptions = {
	readonly settings: SidecarSettings;
	readonly logger: Logger;
};

/** Time between looks for waiting work whose deadline passed. */
const TICK_INTERVAL_MS = 100;

/**
 * Starts a sidecar: the only process that talks to its target.
 *
 * @param options - checked settings and the logger
 * @returns the running sidecar
 */
export async function createSidecar({settings, logger}: SidecarOptions): Promise<Daemon> {
	const metrics = createMetrics();
	const open = new Map<string, OpenWork>();
	const dispatcher = new Agent({connections: settings.concurrency + 4, connect: {timeout: 1000}});

	const readLoadHeader = () => JSON.stringify(toLoadReport(loop.state.admission, loop.readClock()));

	const startWork = async (attemptId: string) => {
		const found = open.get(attemptId);
		if (found === undefined) {
			return;
		}

		const generatedTokens = await runOnTarget({
			...found,
			targetAddress: settings.target,
			dispatcher,
			readLoadHeader,
			onAnswered() {
				loop.dispatch({type: 'work.answered', attemptId});
			},
		});
		open.delete(attemptId);
		metrics.count('work_ended_total');
		metrics.count('generated_tokens_total', generatedTokens);
		loop.dispatch({type: 'work.ended', attemptId, generatedTokens});
	};

	const effectHandlers: EffectHandlers<SidecarEffect> = {
		'work.start'({attemptId}) {
			void startWork(attemptId);
		},
		'work.refuse'({attemptId, failure}) {
			const found = open.get(attemptId);
			open.delete(attemptId);
			metrics.count(`work_refused_total{code="${failure.code}"}`);
			if (found !== undefined) {
				refuseWork(found.response, found.work.requestId, failure, readLoadHeader());
			}
		},
		'work.cancel'({attemptId}) {
			open.get(attemptId)?.abort.abort();
		},
		'decision.record'({name, subject, detail}) {
			logger.info(name, {subject, ...detail});
		},
	};
	const loop = createLoop<SidecarState, SidecarEvent, SidecarEffect>({
		state: createSidecarState({
			instanceId: settings.instanceId,
			capacity: {concurrency: settings.concurrency, pieces: settings.pieces, queueLimit: settings.queueLimit},
		}),
		reduce: reduceSidecar,
		effectHandlers,
	});

	const receive = (incoming: IncomingMessage, response: ServerResponse) => {
		const work = parseWork(incoming.headers, loop.readClock());
		if (work === undefined) {
			refuseWork(response, '', createFailure(ERROR_CODES.headerInvalid), readLoadHeader());
			return;
		}

		const {attemptId} = work;
		open.set(attemptId, {
			work, incoming, response, abort: new AbortController(),
		});
		response.on('close', () => {
			if (open.has(attemptId) && !response.writableFinished) {
				loop.dispatch({type: 'work.cancelled', attemptId});
				if (!loop.state.admission.running.has(attemptId)) {
					open.delete(attemptId);
				}
			}
		});
		loop.dispatch({type: 'work.received', work});
	};

	const answerOperations = createOperationsHandler({
		metrics,
		isReady: () => loop.state.admission.lifeState === 'serving',
		updateGauges() {
			metrics.setGauge('running', loop.state.admission.running.size);
			metrics.setGauge('waiting', loop.state.admission.waiting.length);
		},
	});
	const answerRpc = createRpcHandler({
		'load.get': () => toLoadReport(loop.state.admission, loop.readClock()),
	});
	const server = createServer({keepAliveTimeout: 65_000}, (incoming, response) => {
		if (answerOperations(incoming, response)) {
			return;
		}

		if (incoming.url === RPC_PATH && incoming.method === 'POST') {
			void answerRpc(incoming, response);
			return;
		}

		receive(incoming, response);
	});

	const addresses = {listen: await listenOn(server, settings.listen)};
	const stopReports = startTargetReports({
		loop, dispatcher, address: settings.target, intervalMs: settings.reportInterval,
	});
	const ticks = setInterval(() => {
		loop.dispatch({type: 'tick'});
	}, TICK_INTERVAL_MS);
	return {
		addresses,
		async stop() {
			loop.dispatch({type: 'stop.requested'});
			await stopServer({server, isBusy: () => open.size > 0, limitMs: settings.drainLimit});
			stopReports();
			clearInterval(ticks);
			await dispatcher.destroy();
		},
	};
}

/** Refuses work of which the target saw nothing. */

function refuseWork(response: ServerResponse, requestId: string, failure: Failure, load: string): void {
	response.writeHead(503, {
		'content-type': 'application/json',
		'content-length': 0,
		[HEADERS.requestId]: requestId,
		[HEADERS.outcome]: OUTCOMES.refusedNotRun,
		[HEADERS.errorCode]: failure.code,
		[HEADERS.load]: load,
	});
	response.end();
}
