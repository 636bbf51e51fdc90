import {computeShareWaitMs, type LimitShare, takeFromShare} from '../limits/limitShare.js';
import {type TargetLimit} from '../limits/targetLimit.js';
import {type PromptPart, type TargetRecord} from '../serving/servingRecords.js';
import {listContributions, type PeerContribution} from './peerContributions.js';
import {updateFirstSlots, type ZoneRank} from './ownSlots.js';
import {createPrefixLocations, type PrefixLocations} from './prefixLocations.js';
import {type StatedLoad} from './statedLoad.js';
import {type ServiceSpeed, type TargetSpeed} from './targetSpeed.js';
import {type WorkTime} from './workTime.js';
import {
	createSpreadState, SPREAD_MODES, type SpreadMode, type SpreadState,
} from './spreadState.js';

/** Unfinished work of one entry on one target. */
export type TargetWork = {
	/** Requests that hold or wait for a slot. A reserved slot counts as a fraction. */
	running: number;
	/** Prefill time of the prompts whose prefill is not complete. */
	prefillMs: number;
	/** Part of `prefillMs` that goes before the rest: short prompts at a target that decodes, and prompts that can meet their objective at one that only prefills. */
	urgentPrefillMs: number;
	/** Time for which the link of the target copies KV cache for these prompts. */
	copyMs: number;
	/** KV cache of the requests that run or wait, and of prompts that are handed over, in tokens. Only known in services with learned speeds. */
	tokens: number;
};

/** Latest report of a peer entry about its work. */
export type PeerWork = {
	/** Increases with each report of one incarnation. */
	sequence: number;
	/** Identifies the incarnation of the peer. */
	processId: string;
	/** Arrival time of the report, by the local clock. */
	receivedAtMs: number;
	readonly workByTarget: ReadonlyMap<string, TargetWork>;
	readonly availabilityZone: string;
	/** Increases with each peer that becomes known. */
	readonly order: number;
};

/** Streams of a target by how they ended. */
export type StreamEnds = {
	/** By their length or last chunk, or by closing the connection too early. */
	delimited: number;
	/** By closing the connection, when nothing was left. */
	closed: number;
};

/** A target and what this entry knows about its state. */
export type PlacedTarget = {
	record: TargetRecord;
	/** Unfinished work of this entry on the target. Its `running` is changed by {@link changeRunning} only. */
	readonly localWork: TargetWork;
	/** Work of the peers that reported some, in the order in which the peers became known. Kept up by `peerContributions.ts`. */
	readonly peerWork: PeerContribution[];
	/** Number of the first slot of the target among all slots of its service in its zone. See `ownSlots.ts`. */
	firstSlot: number;
	/** End of the backoff after failures. Until then the target is chosen only if there is no other. */
	backoffUntilMs: number;
	consecutiveFailures: number;
	/** End of the pause that the target asked for. Until then it is not chosen at all. */
	pausedUntilMs: number;
	/** Limit that the target has named, or ended lately. */
	limit: TargetLimit | undefined;
	/** Share of that limit which this entry may use. Undefined if the target takes any number of requests. */
	limitShare: LimitShare | undefined;
	/** Load that the target stated last to this entry, with the time of that answer. Only known of targets that also state how long work takes. */
	statedLoad: StatedLoad | undefined;
	/** How long work takes there, as the target stated last. */
	workTime: WorkTime | undefined;
	/** Learned speed of this incarnation. Undefined if it has not been used yet, and in services without learned speeds. */
	speed: TargetSpeed | undefined;
	/** Last time at which a response of the target began or ended. */
	lastResponseAtMs: number;
	streamEnds: StreamEnds;
};

/** The targets of a service, and what this entry has running there. */
type ServiceTargets = {
	/** In the order of `PlacementState.targets`. */
	readonly targets: PlacedTarget[];
	/** Sum of this entry's unfinished requests at these targets. */
	localRunning: number;
};

type PeerIndex = {readonly peers: Map<string, PeerWork>; nextOrder: number; zoneRank: ZoneRank};

type TargetIndex = {readonly targets: Map<string, PlacedTarget>; readonly services: Map<string, ServiceTargets>};

/** Targets, peers and prefix locations as known to one entry. */
export type PlacementState = {
	readonly entryId: string;
	readonly availabilityZone: string;
	/** Changed by {@link applyTargets} only. */
	readonly targets: ReadonlyMap<string, PlacedTarget>;
	/** Changed by `applyPeerWork` and `removePeer` only. */
	readonly peers: ReadonlyMap<string, PeerWork>;
	readonly peerIndex: PeerIndex;
	readonly targetIndex: TargetIndex;
	readonly prefixLocations: PrefixLocations;
	/** Services whose targets state how long work takes, and whose speeds are therefore learned. */
	readonly serviceSpeeds: Map<string, ServiceSpeed>;
	readonly spread: SpreadState;
};

/** Options of {@link createPlacementState}. */
export type PlacementStateOptions = {
	readonly entryId: string;
	readonly availabilityZone: string;
	readonly spreadMode?: SpreadMode | undefined;
};

/** A peer without a report for this long counts as stopped, and its work is ignored. Spans several report intervals. */
export const PEER_TIMEOUT_MS = 1500;

/** Fields of a target on which the index of targets depends. */
const INDEXED_FIELDS = ['serviceId', 'availabilityZone', 'slots'] as const;
/** Backoff after the first failure of a target. Doubles with each further failure. */
const MIN_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 2000;

/** Creates the placement state of an entry that knows no target. */
export function createPlacementState({entryId, availabilityZone, spreadMode = SPREAD_MODES.auto}: PlacementStateOptions): PlacementState {
	const targetIndex: TargetIndex = {targets: new Map(), services: new Map()};
	const peerIndex: PeerIndex = {peers: new Map(), nextOrder: 0, zoneRank: {rank: 0, entryCount: 1}};
	return {
		entryId,
		availabilityZone,
		targets: targetIndex.targets,
		peers: peerIndex.peers,
		peerIndex,
		targetIndex,
		prefixLocations: createPrefixLocations(),
		serviceSpeeds: new Map(),
		spread: createSpreadState(spreadMode),
	};
}

/**
 * Replaces the set of targets. Targets that remain keep their unfinished work;
 * a target that has restarted loses its prefix locations and its backoff.
 *
 * @param state - placement state, changed in place
 * @param records - the complete set of targets
 */
export function applyTargets(state: PlacementState, records: readonly TargetRecord[]): void {
	const currentIds = new Set(records.map(({targetId}) => targetId));
	const {targets} = state.targetIndex;
	let isIndexChanged = false;
	for (const targetId of targets.keys()) {
		if (!currentIds.has(targetId)) {
			isIndexChanged = true;
			targets.delete(targetId);
			state.prefixLocations.removeTarget(targetId);
		}
	}

	for (const record of records) {
		const existing = targets.get(record.targetId);
		isIndexChanged ||= existing === undefined || INDEXED_FIELDS.some(field => existing.record[field] !== record[field]);
		if (existing === undefined) {
			targets.set(record.targetId, {
				record,
				localWork: createTargetWork(),
				peerWork: listContributions(state, record.targetId),
				firstSlot: 0,
				lastResponseAtMs: 0,
				...createIncarnationState(),
			});
			continue;
		}

		if (existing.record.startedAtMs !== record.startedAtMs) {
			state.prefixLocations.removeTarget(record.targetId);
			Object.assign(existing, createIncarnationState());
		}

		existing.record = record;
	}

	if (isIndexChanged) {
		indexServices(state.targetIndex);
	}
}

/** Creates what is known of one incarnation of a target, of which nothing was observed yet. */
function createIncarnationState() {
	return {
		backoffUntilMs: 0,
		consecutiveFailures: 0,
		pausedUntilMs: 0,
		limit: undefined,
		limitShare: undefined,
		statedLoad: undefined,
		workTime: undefined,
		speed: undefined,
		streamEnds: {delimited: 0, closed: 0},
	} satisfies Partial<PlacedTarget>;
}

/** Lists the targets of each service anew. Changes the index in place. */
function indexServices({targets, services}: TargetIndex): void {
	services.clear();
	for (const target of targets.values()) {
		const {record: {serviceId}, localWork} = target;
		const service = services.get(serviceId) ?? {targets: [], localRunning: 0};
		service.targets.push(target);
		service.localRunning += localWork.running;
		services.set(serviceId, service);
	}

	for (const service of services.values()) {
		updateFirstSlots(service.targets);
	}
}

/** Returns the targets of a service, in the order of all targets. */
export function listServiceTargets({targetIndex}: PlacementState, serviceId: string): readonly PlacedTarget[] {
	return targetIndex.services.get(serviceId)?.targets ?? [];
}

/** Returns this entry's unfinished requests at the targets of a service. */
export function getLocalRunning({targetIndex}: PlacementState, serviceId: string): number {
	return targetIndex.services.get(serviceId)?.localRunning ?? 0;
}

/**
 * Changes the number of this entry's unfinished requests at a target, which may have been removed meanwhile. The number
 * never falls below zero.
 *
 * @param state - changed in place
 * @param target - changed in place
 */
export function changeRunning({targetIndex}: PlacementState, target: PlacedTarget, difference: number): void {
	const {localWork, record} = target;
	const previous = localWork.running;
	localWork.running = Math.max(0, previous + difference);
	const service = targetIndex.services.get(record.serviceId);
	if (service !== undefined && targetIndex.targets.get(record.targetId) === target) {
		service.localRunning = Math.max(0, service.localRunning + localWork.running - previous);
	}
}

/** Returns whether a report of a peer, received directly or forwarded by another peer, arrived within `PEER_TIMEOUT_MS`. */
export function isLivePeer({peers}: PlacementState, entryId: string, nowMs: number): boolean {
	const peer = peers.get(entryId);
	return peer !== undefined && nowMs - peer.receivedAtMs <= PEER_TIMEOUT_MS;
}

/**
 * Adds up the work of this entry and its live peers on a target.
 *
 * A target processes one queue for all entries. The queues that peers reported
 * are therefore added up and shortened once, by the mean age of the reports
 * weighted by queue length.
 */
export function sumWork(target: PlacedTarget, nowMs: number): TargetWork {
	const sum = {...target.localWork};
	if (target.peerWork.length === 0) {
		return sum;
	}

	const reported = createTargetWork();
	const ageWeighted = {prefillMs: 0, urgentPrefillMs: 0, copyMs: 0};
	for (const {peer, work} of target.peerWork) {
		const ageMs = nowMs - peer.receivedAtMs;
		if (ageMs > PEER_TIMEOUT_MS) {
			continue;
		}

		reported.running += work.running;
		reported.tokens += work.tokens;
		reported.prefillMs += work.prefillMs;
		reported.urgentPrefillMs += work.urgentPrefillMs;
		reported.copyMs += work.copyMs;
		ageWeighted.prefillMs += work.prefillMs * ageMs;
		ageWeighted.urgentPrefillMs += work.urgentPrefillMs * ageMs;
		ageWeighted.copyMs += work.copyMs * ageMs;
	}

	sum.running += reported.running;
	sum.tokens += reported.tokens;
	sum.prefillMs += computeShortenedQueue(reported.prefillMs, ageWeighted.prefillMs);
	sum.urgentPrefillMs += computeShortenedQueue(reported.urgentPrefillMs, ageWeighted.urgentPrefillMs);
	sum.copyMs += computeShortenedQueue(reported.copyMs, ageWeighted.copyMs);
	return sum;
}

/** Shortens a queue by the mean age of its reports: it shrinks by one millisecond per millisecond. */
function computeShortenedQueue(reportedMs: number, ageWeightedMs: number): number {
	return reportedMs === 0 ? 0 : Math.max(0, reportedMs - (ageWeightedMs / reportedMs));
}

/** Adds up the unfinished requests of this entry and its live peers on a target. */
export function sumRunning({localWork, peerWork}: PlacedTarget, nowMs: number): number {
	let reported = 0;
	for (const {peer, work} of peerWork) {
		reported += nowMs - peer.receivedAtMs > PEER_TIMEOUT_MS ? 0 : work.running;
	}

	return localWork.running + reported;
}

/** Creates the record of an entry without work on a target. */
export function createTargetWork(): TargetWork {
	return {
		running: 0, prefillMs: 0, urgentPrefillMs: 0, copyMs: 0, tokens: 0,
	};
}

/**
 * Records a failure for which the target is responsible. The backoff doubles with each consecutive failure.
 *
 * @param target - changed in place
 */
export function recordFault(target: PlacedTarget, nowMs: number): void {
	target.consecutiveFailures += 1;
	target.backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * (2 ** (target.consecutiveFailures - 1)));
}

/**
 * Records a response of a target and ends its backoff.
 *
 * @param target - changed in place
 */
export function recordAnswer(target: PlacedTarget, nowMs: number): void {
	target.lastResponseAtMs = nowMs;
	target.consecutiveFailures = 0;
	target.backoffUntilMs = 0;
}

/** Returns whether a target takes requests for which its limit leaves room: it is not about to stop and has not asked for a pause. */
export function isAvailable({record, pausedUntilMs}: PlacedTarget, nowMs: number): boolean {
	return !record.isLeaving && nowMs >= pausedUntilMs;
}

/** Returns whether this entry may send another request to a target. */
export function mayReceive(target: PlacedTarget, nowMs: number): boolean {
	return isAvailable(target, nowMs) && hasLimitRoom(target, nowMs);
}

/** Returns whether the limit of a target leaves room for another request of this entry. */
export function hasLimitRoom(target: PlacedTarget, nowMs: number): boolean {
	return computeLimitWaitMs(target, nowMs) === 0;
}

/** Computes the time until the limit of a target leaves room for another request of this entry. */
function computeLimitWaitMs({limitShare}: PlacedTarget, nowMs: number): number {
	return limitShare === undefined ? 0 : Math.max(0, computeShareWaitMs(limitShare, nowMs));
}

/** Takes a request from this entry's share of a target's limit, if the target has one. Changes the target in place. */
export function takeLimitShare({limitShare}: PlacedTarget, nowMs: number): void {
	if (limitShare !== undefined) {
		takeFromShare(limitShare, nowMs);
	}
}

/**
 * Computes the time until a target of a service takes requests again.
 *
 * @returns undefined unless all targets of the service that are not about to stop have asked for a pause or have limits that leave no room, or if this entry has no share of any limit
 */
export function computePauseMs(state: PlacementState, serviceId: string, nowMs: number): number | undefined {
	const pauses = listServiceTargets(state, serviceId)
		.filter(({record}) => !record.isLeaving)
		.map(target => Math.max(target.pausedUntilMs - nowMs, computeLimitWaitMs(target, nowMs)));
	const shortestMs = Math.min(...pauses);
	return Number.isFinite(shortestMs) && shortestMs > 0 ? Math.ceil(shortestMs) : undefined;
}

/** Lists the parts of a prompt that other requests may share, in order: all but the last. */
export function listSharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
	return parts.slice(0, -1);
}
