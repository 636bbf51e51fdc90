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
import {createOrderComponent} from './createOrderComponent.js';
import {createReportComponent} from './createReportComponent.js';
import {createSidecarDecisionComponent} from './createSidecarDecisionComponent.js';
import {createSidecarUsageComponent} from './createSidecarUsageComponent.js';
import {createWorkComponent} from './createWorkComponent.js';
import {type SidecarContext, type SidecarComponent} from './sidecarComponent.js';

/** Options of {@link createSidecar}. */
export type SidecarOptions = {
	readonly settings: SidecarSettings;
	readonly logger: Logger;
};

/** Time between checks for queued work whose deadline has passed. */
const TICK_INTERVAL_MS = 100;
/**
 * Maximum time for which a stopping sidecar keeps its connections open and refuses new work with the outcome
 * `refused-not-run`. Entries thereby notice the stop before their connections close.
 */
const MAX_SHUTDOWN_NOTICE_MS = 2000;
const ENTRY_KEEP_ALIVE_MS = 65_000;
/** Time limit for opening a connection to the target. */
const CONNECT_TIMEOUT_MS = 1000;
/** Additional connections to the target, for reports and orders. */
const SPARE_CONNECTIONS = 4;

/** Starts a sidecar, the only process that communicates with its target. */
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

	const usageComponent = createSidecarUsageComponent(context);
	const workComponent = createWorkComponent(context, usageComponent);
	const decisionComponent = createSidecarDecisionComponent(context);
	const orderComponent = createOrderComponent(context);
	const components: readonly SidecarComponent[] = [workComponent, decisionComponent, orderComponent, createReportComponent(context), usageComponent];
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
			...workComponent.effectHandlers,
			...decisionComponent.effectHandlers,
			...orderComponent.effectHandlers,
			...usageComponent.effectHandlers,
		},
	});

	const answerOperations = createOperationsHandler({
		metrics,
		isReady: () => loop.state.admission.lifecycleState === 'serving',
		updateGauges() {
			for (const component of components) {
				component.updateGauges?.();
			}
		},
	});
	const answerRpc = createRpcHandler(mergeRpcMethods(components.map(component => component.rpcMethods)));
	const server = createServer({keepAliveTimeout: ENTRY_KEEP_ALIVE_MS}, (incoming, response) => {
		if (answerOperations(incoming, response)) {
			return;
		}

		if (incoming.url === RPC_PATH && incoming.method === 'POST') {
			void answerRpc(incoming, response);
			return;
		}

		workComponent.receive(incoming, response);
	});

	const addresses = {listen: await listenOn(server, settings.listen)};
	for (const component of components) {
		component.start?.();
	}

	const ticks = setInterval(() => {
		loop.dispatch({type: 'tick'});
	}, TICK_INTERVAL_MS);
	return {
		addresses,
		async stop() {
			loop.dispatch({type: 'stop.requested'});
			await setTimeout(Math.min(MAX_SHUTDOWN_NOTICE_MS, settings.drainLimit));
			await stopServer({server, isBusy: () => workComponent.countOpenWork() > 0, maxWaitMs: settings.drainLimit});
			clearInterval(ticks);
			await Promise.all(components.map(async component => component.stop?.()));
			await Promise.all([targetDispatcher.destroy(), context.objectApi.close()]);
		},
	};
}
