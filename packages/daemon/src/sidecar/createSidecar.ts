import {randomUUID} from 'node:crypto';
import {createServer} from 'node:http';
import {setTimeout} from 'node:timers/promises';
import {
	createSidecarState, reduceSidecar, type SidecarEffect, type SidecarEvent, type SidecarState,
} from '@damaskspool/core';
import {
	createLoop, createMetrics, createRpcHandler, listenOn, type Logger, mergeRpcMethods, RPC_PATH,
} from '@damaskspool/runtime';
import {Agent} from 'undici';
import {createInstrumentedObjectApi} from '../createInstrumentedObjectApi.js';
import {type Daemon} from '../daemon.js';
import {createOperationsHandler} from '../createOperationsHandler.js';
import {type SidecarSettings} from '../settings.js';
import {stopServer} from '../stopServer.js';
import {createOrderPart} from './createOrderPart.js';
import {createReportPart} from './createReportPart.js';
import {createSidecarDecisionPart} from './createSidecarDecisionPart.js';
import {createSidecarUsagePart} from './createSidecarUsagePart.js';
import {createWorkPart} from './createWorkPart.js';
import {type SidecarContext, type SidecarPart} from './sidecarPart.js';

/** Options of {@link createSidecar}. */
export type SidecarOptions = {
	readonly settings: SidecarSettings;
	readonly logger: Logger;
};

/** Time between looks for waiting work whose deadline passed. */
const TICK_INTERVAL_MS = 100;
/** Time for which a leaving sidecar still refuses, not run, so that entries hear of it before their connections close. */
const LEAVE_NOTICE_MS = 2000;
/** Time for which an idle connection of an entry stays open. */
const KEEP_ALIVE_MS = 65_000;
/** Longest wait for a connection to the target. */
const CONNECT_TIMEOUT_MS = 1000;
/** Connections to the target beyond those of running work, for reports and orders. */
const SPARE_CONNECTIONS = 4;

/**
 * Starts a sidecar: the only process that talks to its target.
 *
 * @param options - checked settings and the logger
 * @returns the running sidecar
 */
export async function createSidecar({settings, logger}: SidecarOptions): Promise<Daemon> {
	const metrics = createMetrics();
	const targetDispatcher = new Agent({
		connections: settings.concurrency + SPARE_CONNECTIONS,
		connect: {timeout: CONNECT_TIMEOUT_MS},
	});
	const context: SidecarContext = {
		settings,
		logger,
		metrics,
		objectApi: createInstrumentedObjectApi(settings.platform, metrics),
		targetDispatcher,
		dispatch(event) {
			loop.dispatch(event);
		},
		readState: () => loop.state,
		readClock: () => loop.readClock(),
	};

	const usagePart = createSidecarUsagePart(context);
	const workPart = createWorkPart(context, usagePart);
	const decisionPart = createSidecarDecisionPart(context);
	const orderPart = createOrderPart(context);
	const parts: readonly SidecarPart[] = [workPart, decisionPart, orderPart, createReportPart(context), usagePart];
	const loop = createLoop<SidecarState, SidecarEvent, SidecarEffect>({
		state: createSidecarState({
			instanceId: settings.instanceId,
			region: settings.region,
			processId: randomUUID(),
			usageOrphanAfterMs: settings.usageOrphanAfter,
			capacity: {concurrency: settings.concurrency, kvBlocks: settings.pieces, queueLimit: settings.queueLimit},
		}),
		reduce: reduceSidecar,
		effectHandlers: {
			...workPart.effectHandlers,
			...decisionPart.effectHandlers,
			...orderPart.effectHandlers,
			...usagePart.effectHandlers,
		},
	});

	const answerOperations = createOperationsHandler({
		metrics,
		isReady: () => loop.state.admission.lifecycleState === 'serving',
		updateGauges() {
			for (const part of parts) {
				part.updateGauges?.();
			}
		},
	});
	const answerRpc = createRpcHandler(mergeRpcMethods(parts.map(part => part.rpcMethods)));
	const server = createServer({keepAliveTimeout: KEEP_ALIVE_MS}, (incoming, response) => {
		if (answerOperations(incoming, response)) {
			return;
		}

		if (incoming.url === RPC_PATH && incoming.method === 'POST') {
			void answerRpc(incoming, response);
			return;
		}

		workPart.receive(incoming, response);
	});

	const addresses = {listen: await listenOn(server, settings.listen)};
	for (const part of parts) {
		part.start?.();
	}

	const ticks = setInterval(() => {
		loop.dispatch({type: 'tick'});
	}, TICK_INTERVAL_MS);
	return {
		addresses,
		async stop() {
			loop.dispatch({type: 'stop.requested'});
			await setTimeout(Math.min(LEAVE_NOTICE_MS, settings.drainLimit));
			await stopServer({server, isBusy: () => workPart.countOpen() > 0, maxWaitMs: settings.drainLimit});
			clearInterval(ticks);
			await Promise.all(parts.map(async part => part.stop?.()));
			await Promise.all([targetDispatcher.destroy(), context.objectApi.close()]);
		},
	};
}
