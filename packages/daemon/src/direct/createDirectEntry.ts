import {randomUUID} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import {
	createServingState, reduceServing, type ServingEffect, type ServingEvent, type ServingState,
} from '@damaskspool/core';
import {
	createLoop, type DeploymentPorts, type DirectEntrySettings, type Logger, type Metrics,
} from '@damaskspool/runtime';
import {createOperationsHandler} from '../createOperationsHandler.js';
import {stopServer} from '../stopServer.js';
import {createCallEffects} from './createCallEffects.js';
import {createCallerServer} from './createCallerServer.js';
import {createDutyEffects} from './createDutyEffects.js';
import {createPeerDirectory, type PeerAddress} from './createPeerDirectory.js';
import {createPeerLink} from './createPeerLink.js';
import {createPeerReporting} from './createPeerReporting.js';
import {createStoreFollower} from './createStoreFollower.js';
import {createSteadyWall} from './createSteadyWall.js';
import {createTargetPools} from './createTargetPools.js';
import {type DirectSettings, directSettingsSchema} from './directSettings.js';

/** Options of {@link createDirectEntry}. */
export type DirectEntryOptions = {
	readonly settings: DirectEntrySettings;
	readonly ports: DeploymentPorts;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** What operators chose; defaults where left out. */
	readonly choices?: DirectSettings;
};

/** An entry that sends to targets directly. */
export type DirectEntry = {
	readonly addresses: Readonly<Record<string, string>>;
	/** Takes no new work, lets calls finish, and ends. */
	readonly stop: (signal: string) => Promise<void>;
};

/** Time between ticks: a fraction of the shortest term and wait that ticks judge. */
const TICK_MS = 250;
/** Time for which a stopping entry takes new connections: the balancer asks once a second and needs two misses. */
const LEAVE_MS = 2600;
/** Characters of a process's identifier: enough to tell the few processes of one instance apart, in every report. */
const PROCESS_ID_LENGTH = 8;
/** Part of the grace period that is left for the end of the process. */
const END_RESERVE_MS = 700;
/** Connections of one entry to one target where the configuration does not bound them. */
const DEFAULT_CONNECTIONS = 24;
/** Part of a target's connections that entries share; the rest is for entries that come meanwhile. */
const SHARED_CONNECTIONS = 0.8;
const LEAST_CONNECTIONS = 4;

/**
 * Starts an entry that sends to targets directly.
 *
 * @param options - settings, adapter, logs and metrics
 * @returns the entry, listening
 */
export async function createDirectEntry(options: DirectEntryOptions): Promise<DirectEntry> {
	const {settings, ports, logger, metrics, choices = directSettingsSchema.parse({})} = options;
	const {instanceId, availabilityZone, region} = settings;
	const processId = randomUUID().slice(0, PROCESS_ID_LENGTH);
	const readWall = createSteadyWall();
	const pools = createTargetPools();
	let isStopped = false;
	let addresses: ReadonlyMap<string, PeerAddress> = new Map();

	const state = createServingState({
		...settings, instanceId, processId, availabilityZone, region, prefillTargets: choices.prefillTargets, placementSettings: choices.placement,
	});

	const {createReport, listReceivers} = createPeerReporting({state, readWall, listAddresses: () => addresses});
	const link = createPeerLink({
		ip: settings.ip,
		port: settings.peerPorts[0],
		createReport,
		listReceivers,
		countPeers: () => addresses.size,
		onReport(report) {
			loop.dispatch({type: 'peer.reported', report, wallMs: readWall()});
		},
		onFailure(detail) {
			metrics.count('peer_failures');
			logger.warn('peer.failed', {detail});
		},
	});

	const countConnections = (serviceId: string) => {
		const limit = state.configuration?.services.get(serviceId)?.connectionLimit;
		return limit === undefined
			? DEFAULT_CONNECTIONS
			: Math.max(LEAST_CONNECTIONS, Math.floor(limit * SHARED_CONNECTIONS / Math.max(2, 1 + state.membership.peers.size)));
	};

	const calls = createCallEffects({
		ports,
		metrics,
		pools,
		countConnections,
		readWall,
		dispatch(event) {
			loop.dispatch(event);
		},
	});

	const loop = createLoop<ServingState, ServingEvent, ServingEffect>({
		state,
		reduce: reduceServing,
		effectHandlers: {
			...createDutyEffects({
				ports, instanceId, dispatch(event) {
					loop.dispatch(event);
				},
			}),
			...calls.handlers,
			'work.tell'() {
				link.tell();
			},
			'decision.record'({name, subject, detail}) {
				logger.info(name, {subject, ...detail});
				metrics.count(`decisions{name="${name}"}`);
				if (name === 'call.ended') {
					metrics.recordMs(`calls{outcome="${String(detail.outcome)}"}`, Number(detail.tookMs));
				} else if (name === 'targets.applied') {
					pools.retain(new Set(state.placement.targets.keys()));
				} else if (name === 'configuration.applied' && state.configuration !== undefined) {
					callers.applyLimits(state.configuration.limits);
				}
			},
		},
	});

	const callers = createCallerServer({
		ports,
		findLimits: () => state.configuration?.limits,
		isStopping: () => state.isStopping,
		onCall(handle, request, waitedMs) {
			const {callId} = handle;
			calls.add(handle);
			loop.dispatch({
				type: 'call.arrived', callId, request, wallMs: readWall(), waitedMs,
			});
			handle.response.on('finish', () => {
				calls.end(callId);
			});
		},
		onLeft(callId) {
			loop.dispatch({type: 'call.left', callId});
			calls.end(callId);
		},
	});

	const isReady = () => state.configuration !== undefined && state.hasTargets && !state.isStopping;
	const operations = createOperationsHandler({
		metrics,
		isReady,
		updateGauges() {
			metrics.setGauge('calls_under_way', state.calls.size);
			metrics.setGauge('peers', state.membership.peers.size);
			metrics.setGauge('targets', state.placement.targets.size);
		},
	});
	const readiness = createServer((request, response) => {
		if (request.url === ports.readinessPath) {
			response.writeHead(isReady() ? 200 : 503).end();
		} else if (!operations(request, response)) {
			response.writeHead(404).end();
		}
	});

	await Promise.all([listenAt(callers.server, settings.callerAddress), listenAt(readiness, settings.readinessAddress)]);
	createStoreFollower({
		ports,
		logger,
		metrics,
		dispatch(event) {
			loop.dispatch(event);
		},
		isStopped: () => isStopped,
	});
	const directory = createPeerDirectory({
		store: ports.store, kind: ports.objects.entries, instanceId, address: {ip: settings.ip, port: settings.peerPorts[0], availabilityZone}, processId, logger,
		onPeers(peers) {
			addresses = peers;
			link.tell();
		},
	});
	const ticker = setInterval(() => {
		loop.dispatch({type: 'tick', wallMs: readWall()});
	}, TICK_MS);

	return {
		addresses: {callers: settings.callerAddress, readiness: settings.readinessAddress},
		async stop(signal) {
			loop.dispatch({type: 'stop.requested', signal});
			const endAtMs = performance.now() + settings.graceMs - END_RESERVE_MS;
			await new Promise(resolve => {
				setTimeout(resolve, LEAVE_MS);
			});
			await stopServer({server: callers.server, isBusy: () => state.calls.size > 0, limitMs: Math.max(0, endAtMs - performance.now())});
			link.flush();
			isStopped = true;
			clearInterval(ticker);
			directory.stop();
			readiness.close();
			link.close();
			await Promise.all([pools.close(), ports.close()]);
		},
	};
}

async function listenAt(server: Server, address: string): Promise<void> {
	const [host = '', port = ''] = address.split(':');
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), host, () => {
			resolve();
		});
	});
}
