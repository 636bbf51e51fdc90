import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import {
	createEntryState, type EntryEffect, type EntryEvent, type EntryState, planZone, reduceEntry,
} from '@damaskspool/core';
import {
	createLoop, createMetrics, createRpcClient, createRpcHandler, listenOn, type Logger, mergeRpcMethods, RPC_PATH,
} from '@damaskspool/runtime';
import {createFailure, ERROR_CODES} from '@damaskspool/shared';
import {createInstrumentedObjectApi} from '../createInstrumentedObjectApi.js';
import {type Daemon} from '../daemon.js';
import {createOperationsHandler} from '../createOperationsHandler.js';
import {type EntrySettings} from '../settings.js';
import {stopServer} from '../stopServer.js';
import {toErrorBody} from './createCallerResponseWriter.js';
import {createBurnComponent} from './createBurnComponent.js';
import {createConfigurationComponent} from './createConfigurationComponent.js';
import {createClaimComponent} from './createClaimComponent.js';
import {createDecisionComponent} from './createDecisionComponent.js';
import {createFleetComponent} from './createFleetComponent.js';
import {createLeaseComponent} from './createLeaseComponent.js';
import {createOperatorComponent} from './createOperatorComponent.js';
import {createInstancesComponent} from './createInstancesComponent.js';
import {createLoadComponent} from './createLoadComponent.js';
import {createRequestComponent} from './createRequestComponent.js';
import {createUsageComponent} from './createUsageComponent.js';
import {type EntryContext, type EntryComponent} from './entryComponent.js';

/** Options of {@link createEntry}. */
export type EntryOptions = {
	readonly settings: EntrySettings;
	readonly logger: Logger;
};

/** Time between ticks. It is also the precision with which deadlines are enforced. */
const TICK_INTERVAL_MS = 100;
/** Time for which an idle connection of a caller stays open: longer than load balancers keep theirs, so that they close it first. */
const CALLER_KEEP_ALIVE_MS = 65_000;

/** Starts an entry, which accepts callers' requests and forwards them to targets. */
export async function createEntry({settings, logger}: EntryOptions): Promise<Daemon> {
	const metrics = createMetrics();
	const addresses = {listen: '', control: ''};
	const context: EntryContext = {
		settings,
		logger,
		metrics,
		objectApi: createInstrumentedObjectApi(settings.platform, metrics),
		rpc: createRpcClient({
			onCall(method, bytes) {
				metrics.count(`rpc_calls_total{method="${method}"}`);
				metrics.count('control_bytes_total', bytes);
			},
		}),
		readControlAddress: () => addresses.control,
		dispatch(event) {
			loop.dispatch(event);
		},
		readState: () => loop.state,
		readConfigurationStatus: async revision => configurationComponent.readStatus(revision),
		proposeChange: async proposal => configurationComponent.proposeChange(proposal),
		readClock: () => loop.readClock(),
	};

	const usageComponent = createUsageComponent(context);
	const requestComponent = createRequestComponent(context, usageComponent);
	const claimComponent = createClaimComponent(context, requestComponent);
	const decisionComponent = createDecisionComponent(context);
	const configurationComponent = createConfigurationComponent(context);
	const leaseComponent = createLeaseComponent(context);
	const fleetComponent = createFleetComponent(context);
	const loadComponent = createLoadComponent(context);
	const components: readonly EntryComponent[] = [
		requestComponent,
		claimComponent,
		decisionComponent,
		leaseComponent,
		configurationComponent,
		fleetComponent,
		usageComponent,
		createInstancesComponent(context),
		loadComponent,
		createOperatorComponent(context, decisionComponent),
		createBurnComponent(context),
	];
	const loop = createLoop<EntryState, EntryEvent, EntryEffect>({
		state: createEntryState({...settings, processId: randomUUID(), ...(settings.fleetPlanner === 'on' && {planZone})}),
		reduce: reduceEntry,
		effectHandlers: decisionComponent.recordHandledEffects({
			...requestComponent.effectHandlers,
			...claimComponent.effectHandlers,
			...decisionComponent.effectHandlers,
			...configurationComponent.effectHandlers,
			...leaseComponent.effectHandlers,
			...fleetComponent.effectHandlers,
			...usageComponent.effectHandlers,
			...loadComponent.effectHandlers,
		}),
	});

	const answerOperations = createOperationsHandler({
		metrics,
		isReady: () => !loop.state.isStopping && loop.state.configuration.revision >= 0,
		updateGauges() {
			for (const component of components) {
				component.updateGauges?.();
			}
		},
	});
	const callerServer = createServer({keepAliveTimeout: CALLER_KEEP_ALIVE_MS}, (incoming, response) => {
		if (!answerOperations(incoming, response)) {
			void requestComponent.receive(incoming, response);
		}
	});
	answerClientErrors(callerServer);
	const answerRpc = createRpcHandler(mergeRpcMethods(components.map(component => component.rpcMethods)));
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

	addresses.listen = await listenOn(callerServer, settings.listen);
	addresses.control = await listenOn(controlServer, settings.control);
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
			await stopServer({server: callerServer, isBusy: () => requestComponent.countOpenRequests() > 0, maxWaitMs: settings.drainLimit});
			clearInterval(ticks);
			await Promise.all(components.map(async component => component.stop?.()));
			await stopServer({server: controlServer, isBusy: () => false, maxWaitMs: 0});
			await Promise.all([context.rpc.close(), context.objectApi.close()]);
		},
	};
}

/** Answers malformed HTTP requests, including request smuggling attempts, with status 400 and closes their connections. */
function answerClientErrors(server: Server): void {
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		if (!socket.writable) {
			return;
		}

		const failure = createFailure(ERROR_CODES.headerInvalid, {detail: error.code ?? ''});
		const text = JSON.stringify(toErrorBody(failure, ''));
		const head = [
			'HTTP/1.1 400 Bad Request',
			'Content-Type: application/json',
			`Content-Length: ${Buffer.byteLength(text)}`,
			'Connection: close',
		];
		socket.end(`${head.join('\r\n')}\r\n\r\n${text}`);
	});
}
