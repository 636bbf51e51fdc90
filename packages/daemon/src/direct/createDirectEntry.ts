import {randomUUID} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import {connect} from 'node:net';
import {
	createServingState, maySendStreams, reduceServing, type ServingEffect, type ServingEvent, type ServingState,
} from '@damaskspool/core';
import {
	createLoop, createReadGovernor, type DeploymentPorts, type DirectEntrySettings, formatError, type Logger, type Metrics, type ReadGovernor,
} from '@damaskspool/runtime';
import {ERROR_CODES} from '@damaskspool/shared';
import {createOperationsHandler} from '../createOperationsHandler.js';
import {CLOSE_REASONS, destroyAnswer} from './closeReasons.js';
import {createArrivalMonitor} from './createArrivalMonitor.js';
import {createCallEffects} from './createCallEffects.js';
import {createCallerServer, refuseUnread} from './createCallerServer.js';
import {createConnectionLimiter} from './createConnectionLimiter.js';
import {createConnectionTracker} from './createConnectionTracker.js';
import {createDutyEffects} from './createDutyEffects.js';
import {createPartEffects} from './createPartEffects.js';
import {createVersionEffects} from './createVersionEffects.js';
import {createPeerDirectory, type PeerAddress} from './createPeerDirectory.js';
import {createPeerLink} from './createPeerLink.js';
import {createPeerReporting} from './createPeerReporting.js';
import {drainCallers} from './drainCallers.js';
import {startStoreWatches} from './startStoreWatches.js';
import {updateEvennessMetrics} from './updateEvennessMetrics.js';
import {createLeaveWitnesses} from './createLeaveWitnesses.js';
import {createMemoryLedger} from './createMemoryLedger.js';
import {createMonotonicWallClock} from './createMonotonicWallClock.js';
import {createSuspensionDetector} from './createSuspensionDetector.js';
import {createTargetPools} from './createTargetPools.js';
import {createTargetWatches} from './createTargetWatches.js';
import {type DirectSettings, directSettingsSchema} from './directSettings.js';

/** Options of {@link createDirectEntry}. */
export type DirectEntryOptions = {
	readonly settings: DirectEntrySettings;
	readonly ports: DeploymentPorts;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Settings of the operators; defaults apply if omitted. */
	readonly operatorSettings?: DirectSettings;
	/** Governor that also reads for the ports; one of its own if omitted. */
	readonly readGovernor?: ReadGovernor;
};

/** When a stop was requested. */
export type StopOptions = {
	/** Time since the signal was handled, of an entry that was still starting then. */
	readonly signaledForMs?: number;
};

/** An entry that sends to targets directly. */
export type DirectEntry = {
	readonly addresses: Readonly<Record<string, string>>;
	/** Refuses new work, waits for calls to finish, and stops. */
	readonly stop: (signal: string, options?: StopOptions) => Promise<void>;
};

/** Interval between ticks. Much shorter than the lease terms and timeouts that ticks check. */
const TICK_MS = 250;
/** Time for which a stopping entry still accepts new connections. The load balancer checks readiness once a second and removes an entry after two failed checks. */
const READINESS_DRAIN_MS = 2600;
/** Characters of a process identifier. It is part of every report, so it is only long enough to distinguish the few processes of one instance. */
const PROCESS_ID_LENGTH = 8;
/** Part of the grace period that is reserved for ending the process after calls have finished. */
const SHUTDOWN_RESERVE_MS = 700;
/** Maximum connections from one entry to one target if the configuration sets no limit. */
const DEFAULT_MAX_CONNECTIONS = 24;
/** Share of a target's connection limit that is divided among the known entries. The rest is left for entries that join in the meantime. */
const SHARED_CONNECTION_RATIO = 0.8;
/** Customers with an allotment whose use is on the metrics address: those with the most refusals, then those with the most use. */
const MAX_CUSTOMER_GAUGES = 32;
/** Minimum connections from one entry to one target, whatever the number of entries. */
const MIN_CONNECTIONS = 4;

/**
 * Starts an entry that sends to targets directly, without a sidecar.
 *
 * @returns the entry, listening
 */
export async function createDirectEntry(options: DirectEntryOptions): Promise<DirectEntry> {
	const {settings, ports, logger, metrics, operatorSettings = directSettingsSchema.parse({}), readGovernor = createReadGovernor()} = options;
	const {instanceId, availabilityZone, region} = settings;
	const processId = randomUUID().slice(0, PROCESS_ID_LENGTH);
	const readWallClock = createMonotonicWallClock();
	const measureSuspension = createSuspensionDetector({readMonotonicClock: () => performance.now(), readWallClock: () => Date.now()});
	const arrivalMonitor = createArrivalMonitor({
		onBlocked(blockedMs) {
			metrics.recordMs('loop_blocked', blockedMs);
			logger.warn('loop.blocked', {blockedMs: Math.round(blockedMs)});
		},
		connectToSelf() {
			const [host = '', port = ''] = settings.callerAddress.split(':');
			return connect(Number(port), host);
		},
	});
	const pools = createTargetPools({readGovernor});
	const targetWatches = createTargetWatches({hasUnread: pools.hasUnread});
	const leaveWitnesses = createLeaveWitnesses();
	const connections = createConnectionTracker({
		onCut({requestId, ...cut}) {
			metrics.count(`answers_cut{stage="${cut.stage}",closedBy="${cut.closedBy}"${cut.reason === undefined ? '' : `,reason="${cut.reason}"`}}`);
			logger.info('answer.cut', {subject: requestId, ...cut, isStopping: state.isStopping});
		},
	});
	const connectionLimiter = createConnectionLimiter({
		connections,
		maxDescriptors: settings.maxDescriptors,
		memoryBytes: settings.memoryBytes,
		countTargetConnections: pools.countConnections,
		refuseReading(response) {
			refuseUnread(response, ports);
		},
		refuseUnparsed(socket) {
			callerServer.refuseHeld({socket});
		},
		onLimited(limited, maxConnections) {
			for (const [reason, count] of Object.entries(limited).filter(([, number]) => number > 0)) {
				metrics.count(`connections_limited{reason="${reason}"}`, count);
			}

			logger.warn('connections.limited', {...limited, maxConnections, openConnections: connections.countConnections()});
		},
	});
	const memoryLedger = createMemoryLedger({
		memoryBytes: settings.memoryBytes,
		connections: connectionLimiter,
		onDropped({requestId, response, isReading}, {heldBytes, unreadMs, totalBytes}) {
			metrics.count('connections_dropped');
			logger.warn('connection.dropped', {
				subject: requestId, isRead: !isReading, heldBytes, unreadMs: Math.round(unreadMs), totalBytes,
			});
			if (isReading) {
				refuseUnread(response, ports);
			} else {
				destroyAnswer(response, {reason: CLOSE_REASONS.memory});
			}
		},
	});
	let isStopped = false;
	/** Whether this entry has been ready since its start. */
	let wasReady = false;
	let addresses: ReadonlyMap<string, PeerAddress> = new Map();

	const state = createServingState({
		...settings,
		instanceId,
		processId,
		availabilityZone,
		region,
		prefillTargets: operatorSettings.prefillTargets,
		placementSettings: operatorSettings.placement,
		speedLearningMode: operatorSettings.learnedSpeeds,
		spreadMode: operatorSettings.evenLoad,
		hasVersionHistory: true,
		hasPartHistory: true,
	});

	const {createReport, listReceivers} = createPeerReporting({state, readWallClock, listAddresses: () => addresses});
	const peerLink = createPeerLink({
		ip: settings.ip,
		port: settings.peerPorts[0],
		createReport,
		listReceivers,
		countPeers: () => addresses.size,
		onReport(report) {
			loop.dispatch({type: 'peer.reported', report, wallMs: readWallClock()});
		},
		onFailure(detail) {
			metrics.count('peer_failures');
			logger.warn('peer.failed', {detail});
		},
	});

	const computeMaxConnections = (serviceId: string) => {
		const limit = state.configuration?.services.get(serviceId)?.connectionLimit;
		return limit === undefined
			? DEFAULT_MAX_CONNECTIONS
			: Math.max(MIN_CONNECTIONS, Math.floor(limit * SHARED_CONNECTION_RATIO / Math.max(2, 1 + state.membership.peers.size)));
	};

	const callEffects = createCallEffects({
		ports,
		metrics,
		pools,
		targetWatches,
		leaveWitnesses,
		memoryLedger,
		computeMaxConnections,
		isPaused: targetId => (state.placement.targets.get(targetId)?.pausedUntilMs ?? 0) > performance.now(),
		isLimited: targetId => state.placement.targets.get(targetId)?.limit !== undefined,
		isLeaving({targetId, startedAtMs}) {
			const record = state.placement.targets.get(targetId)?.record;
			return record === undefined || (record.startedAtMs === startedAtMs && record.isLeaving);
		},
		readWallClock,
		dispatch(event) {
			loop.dispatch(event);
		},
	});

	const loop = createLoop<ServingState, ServingEvent, ServingEffect>({
		state,
		reduce(servingState, event) {
			const suspendedMs = measureSuspension();
			return suspendedMs === 0
				? reduceServing(servingState, event)
				: [...reduceServing(servingState, {type: 'process.suspended', suspendedMs, nowMs: event.nowMs}), ...reduceServing(servingState, event)];
		},
		// An error in one event must not end the calls of all other callers. The call that it belongs to ends at its timeout.
		onFailure(error, eventType) {
			metrics.count('events_failed');
			logger.error('event.failed', {eventType, detail: formatError(error)});
		},
		effectHandlers: {
			...createDutyEffects({
				ports, instanceId, logger, dispatch(event) {
					loop.dispatch(event);
				},
			}),
			...createVersionEffects({
				ports, logger, dispatch(event) {
					loop.dispatch(event);
				},
			}),
			...createPartEffects({
				ports, logger, dispatch(event) {
					loop.dispatch(event);
				},
			}),
			...callEffects.handlers,
			'store.recordEra'({era}) {
				ports.store.recordEra(era);
			},
			'work.report'() {
				peerLink.scheduleReport();
			},
			'decision.record'({name, subject, detail}) {
				logger.info(name, {subject, ...detail});
				if (!wasReady && isReady()) {
					wasReady = true;
					logger.info('ready', {tookMs: Math.round(performance.now())});
				}

				metrics.count(`decisions{name="${name}"}`);
				if (name === 'call.ended') {
					metrics.recordMs(`calls{outcome="${String(detail.outcome)}"}`, Number(detail.tookMs));
				} else if (detail.rank !== undefined) {
					metrics.count(`choices_spread{choice="${detail.rank === 0 ? 'best' : 'other'}"}`);
				} else if (name === 'load.evenness') {
					updateEvennessMetrics(metrics, subject, detail);
				} else if (name === 'targets.applied') {
					pools.retain(new Set(state.placement.targets.keys()));
					leaveWitnesses.holdLeaving();
				} else if (name === 'configuration.applied' && state.configuration !== undefined) {
					callerServer.applyLimits(state.configuration.limits);
				}
			},
		},
	});

	const callerServer = createCallerServer({
		ports,
		findLimits: () => state.configuration?.limits,
		isStopping: () => state.isStopping,
		arrivalMonitor,
		connections,
		// What callers cost must not keep answers of targets waiting.
		readGovernor: createReadGovernor(),
		memoryLedger,
		onCall(handle, request, waited) {
			const {callId} = handle;
			callEffects.add(handle);
			loop.dispatch({
				type: 'call.arrived', callId, request, wallMs: readWallClock(), ...waited,
			});
			handle.response.on('finish', () => {
				callEffects.end(callId);
			});
		},
		onOverloaded(requestId, lagMs) {
			metrics.count(`refusals{code="${ERROR_CODES.overloaded}"}`);
			logger.warn('call.rejected', {subject: requestId, code: ERROR_CODES.overloaded, lagMs: Math.round(lagMs)});
		},
		onBodyRefused(requestId, bodyBytes) {
			metrics.count(`refusals{code="${ERROR_CODES.overloaded}"}`);
			logger.warn('call.rejected', {
				subject: requestId, code: ERROR_CODES.overloaded, bodyBytes, heldBytes: memoryLedger.measure(),
			});
		},
		onUnanswered({requestId, ...connection}) {
			metrics.count(`requests_unanswered{stage="${connection.stage}"}`);
			logger.info('request.unanswered', {subject: requestId, ...connection});
		},
		onHeadRefused({heldBytes, heldSinceMs}) {
			metrics.count(`refusals{code="${ERROR_CODES.overloaded}"}`);
			logger.warn('head.refused', {heldBytes, waitedMs: Math.round(performance.now() - heldSinceMs)});
		},
		onDisconnected(callId) {
			loop.dispatch({type: 'call.disconnected', callId});
			callEffects.end(callId);
		},
	});

	callerServer.server.on('connection', connectionLimiter.admit);

	const isReady = () => state.configuration !== undefined && state.hasTargets && maySendStreams(state) && !state.isStopping;
	const handleOperations = createOperationsHandler({
		metrics,
		isReady,
		updateGauges() {
			metrics.setGauge('calls_under_way', state.calls.size);
			metrics.setGauge('held_bytes', memoryLedger.measure());
			metrics.setGauge('connections_open', connections.countConnections());
			if (Number.isFinite(connectionLimiter.getLimit())) {
				metrics.setGauge('connections_open_limit', connectionLimiter.getLimit());
			}

			if (Number.isFinite(memoryLedger.getBudget())) {
				metrics.setGauge('held_bytes_budget', memoryLedger.getBudget());
			}

			metrics.setGauge('peers', state.membership.peers.size);
			metrics.setGauge('targets', state.placement.targets.size);
			for (const {customerId, spent, refusedCount, share} of state.allotments.listUse(MAX_CUSTOMER_GAUGES)) {
				metrics.setGauge(`allotment_spent{customer="${customerId}"}`, spent);
				metrics.setGauge(`allotment_refused{customer="${customerId}"}`, refusedCount);
				metrics.setGauge(`allotment_share{customer="${customerId}"}`, share);
			}
		},
	});
	const readinessServer = createServer((request, response) => {
		if (request.url === ports.readinessPath) {
			response.writeHead(isReady() ? 200 : 503).end();
		} else if (!handleOperations(request, response)) {
			response.writeHead(404).end();
		}
	});

	await Promise.all([listenAt(callerServer.server, settings.callerAddress), listenAt(readinessServer, settings.readinessAddress)]);
	ports.store.listenForEras(era => {
		loop.dispatch({type: 'store.eraChanged', era, wallMs: readWallClock()});
	});
	startStoreWatches({
		ports,
		logger,
		metrics,
		dispatch(event) {
			loop.dispatch(event);
		},
		isStopped: () => isStopped,
	});
	const peerDirectory = createPeerDirectory({
		store: ports.store, kind: ports.objects.entries, instanceId, address: {ip: settings.ip, port: settings.peerPorts[0], availabilityZone}, processId, logger,
		onPeers(peers) {
			addresses = peers;
			loop.dispatch({type: 'peers.listed', peerCount: peers.size, peerIds: [...peers.keys()]});
			peerLink.scheduleReport();
		},
	});
	const tickTimer = setInterval(() => {
		loop.dispatch({type: 'tick', wallMs: readWallClock()});
	}, TICK_MS);

	return {
		addresses: {callers: settings.callerAddress, readiness: settings.readinessAddress},
		async stop(signal, {signaledForMs = 0} = {}) {
			// The platform counts from when it sends the signal, which an event loop that stood still has handled later.
			const endsAtMs = performance.now() - signaledForMs - arrivalMonitor.measureUnhandledMs() + settings.graceMs - SHUTDOWN_RESERVE_MS;
			loop.dispatch({type: 'stop.requested', signal, endsAtMs});
			connections.beginStop();
			await new Promise(resolve => {
				setTimeout(resolve, READINESS_DRAIN_MS);
			});
			await drainCallers({
				server: callerServer.server,
				connections,
				endsAtMs,
				onClosing() {
					logger.info('stop.closing', {calls: state.calls.size, requests: connections.countRequests(), ...connections.describeOpen()});
				},
				onGraceEnded() {
					logger.warn('stop.graceEnded', {calls: state.calls.size, takeUps: state.takeUps.size, requests: connections.countRequests()});
					loop.dispatch({type: 'stop.graceEnded'});
					callerServer.refuseReading();
				},
			});
			peerLink.flush();
			isStopped = true;
			clearInterval(tickTimer);
			arrivalMonitor.stop();
			memoryLedger.stop();
			connectionLimiter.stop();
			peerDirectory.stop();
			readinessServer.close();
			peerLink.close();
			targetWatches.close();
			leaveWitnesses.close();
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
