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
import {createCountedObjectApi} from '../createCountedObjectApi.js';
import {type Daemon} from '../createDaemon.js';
import {createOperationsHandler} from '../createOperationsHandler.js';
import {type EntrySettings} from '../settings.js';
import {stopServer} from '../stopServer.js';
import {toErrorBody} from './callerAnswer.js';
import {createBurnPart} from './createBurnPart.js';
import {createConfigurationPart} from './createConfigurationPart.js';
import {createClaimPart} from './createClaimPart.js';
import {createDecisionPart} from './createDecisionPart.js';
import {createFleetPart} from './createFleetPart.js';
import {createLeasePart} from './createLeasePart.js';
import {createOperatorPart} from './createOperatorPart.js';
import {createInstancesPart} from './createInstancesPart.js';
import {createLoadPart} from './createLoadPart.js';
import {createRequestPart} from './createRequestPart.js';
import {createUsagePart} from './createUsagePart.js';
import {type EntryContext, type EntryPart} from './entryPart.js';

/** Options of {@link createEntry}. */
export type EntryOptions = {
	readonly settings: EntrySettings;
	readonly logger: Logger;
};

/** Time between ticks, and so the precision of deadlines. */
const TICK_INTERVAL_MS = 100;
/** Time for which an idle connection of a caller stays open; longer than balancers keep theirs. */
const KEEP_ALIVE_MS = 65_000;

/**
 * Starts an entry: it takes callers' requests and sends them to targets.
 *
 * @param options - checked settings and the logger
 * @returns the running entry
 */
export async function createEntry({settings, logger}: EntryOptions): Promise<Daemon> {
	const metrics = createMetrics();
	const addresses = {listen: '', control: ''};
	const context: EntryContext = {
		settings,
		logger,
		metrics,
		objectApi: createCountedObjectApi(settings.platform, metrics),
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
		readConfigurationStatus: async revision => configurationPart.readStatus(revision),
		proposeChange: async proposal => configurationPart.proposeChange(proposal),
		readClock: () => loop.readClock(),
	};

	const usagePart = createUsagePart(context);
	const requestPart = createRequestPart(context, usagePart);
	const claimPart = createClaimPart(context, requestPart);
	const decisionPart = createDecisionPart(context);
	const configurationPart = createConfigurationPart(context);
	const leasePart = createLeasePart(context);
	const fleetPart = createFleetPart(context);
	const loadPart = createLoadPart(context);
	const parts: readonly EntryPart[] = [
		requestPart,
		claimPart,
		decisionPart,
		leasePart,
		configurationPart,
		fleetPart,
		usagePart,
		createInstancesPart(context),
		loadPart,
		createOperatorPart(context, decisionPart),
		createBurnPart(context),
	];
	const loop = createLoop<EntryState, EntryEvent, EntryEffect>({
		state: createEntryState({...settings, processId: randomUUID(), ...(settings.fleetPlanner === 'on' && {planZone})}),
		reduce: reduceEntry,
		effectHandlers: decisionPart.observe({
			...requestPart.effectHandlers,
			...claimPart.effectHandlers,
			...decisionPart.effectHandlers,
			...configurationPart.effectHandlers,
			...leasePart.effectHandlers,
			...fleetPart.effectHandlers,
			...usagePart.effectHandlers,
			...loadPart.effectHandlers,
		}),
	});

	const answerOperations = createOperationsHandler({
		metrics,
		isReady: () => !loop.state.isStopping && loop.state.configuration.revision >= 0,
		updateGauges() {
			for (const part of parts) {
				part.updateGauges?.();
			}
		},
	});
	const callerServer = createServer({keepAliveTimeout: KEEP_ALIVE_MS}, (incoming, response) => {
		if (!answerOperations(incoming, response)) {
			void requestPart.receive(incoming, response);
		}
	});
	answerClientErrors(callerServer);
	const answerRpc = createRpcHandler(mergeRpcMethods(parts.map(part => part.rpcMethods)));
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
			await stopServer({server: callerServer, isBusy: () => requestPart.countOpen() > 0, limitMs: settings.drainLimit});
			clearInterval(ticks);
			await Promise.all(parts.map(async part => part.stop?.()));
			await stopServer({server: controlServer, isBusy: () => false, limitMs: 0});
			await Promise.all([context.rpc.close(), context.objectApi.close()]);
		},
	};
}

/** Answers bytes that are no valid HTTP request, smuggled framing among them, and closes the connection. */
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
