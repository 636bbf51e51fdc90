import {type PromptPart, type TargetRecord} from '../serving/servingRecords.js';
import {createPrefixLocations, type PrefixLocations} from './prefixLocations.js';

/** Work of one entry under way at one target. */
export type TargetWork = {
	/** Requests that hold or wait for a slot. */
	running: number;
	/** Time that the target needs for the prompts of this entry that it has not read yet. */
	prefillMs: number;
	/** Part of that time which goes to short prompts; these go before long ones. */
	shortPrefillMs: number;
	/** Time for which its link copies KV cache for prompts that it has not read yet. */
	copyMs: number;
};

/** What a peer entry said last of its own work. */
export type PeerWork = {
	/** Rises with each message of one incarnation. */
	sequence: number;
	/** Tells incarnations of a peer apart. */
	processId: string;
	/** When the message came in, by the own clock. */
	receivedAtMs: number;
	readonly workByTarget: ReadonlyMap<string, TargetWork>;
};

/** A target with what this entry knows of its state. */
export type PlacedTarget = {
	record: TargetRecord;
	/** Work that this entry has under way there. */
	readonly localWork: TargetWork;
	/** No work is sent before this time, after failures. */
	backoffUntilMs: number;
	consecutiveFailures: number;
	/** When an answer of the target last began or ended. */
	lastResponseAtMs: number;
};

/** What placement depends on. */
export type PlacementState = {
	readonly entryId: string;
	readonly availabilityZone: string;
	readonly targets: Map<string, PlacedTarget>;
	readonly peers: Map<string, PeerWork>;
	readonly prefixLocations: PrefixLocations;
};

/** A peer that was silent for this long is taken as gone with its work; several report intervals. */
export const PEER_TIMEOUT_MS = 1500;

/** First wait after a failure of a target, doubled by each further one. */
const MIN_BACKOFF_MS = 150;
/** Longest wait after failures of a target. */
const MAX_BACKOFF_MS = 2000;

/**
 * Creates the placement state of an entry that knows no target.
 *
 * @param options - who and where the entry is
 * @returns the state
 */
export function createPlacementState({entryId, availabilityZone}: {entryId: string; availabilityZone: string}): PlacementState {
	return {
		entryId, availabilityZone, targets: new Map(), peers: new Map(), prefixLocations: createPrefixLocations(),
	};
}

/**
 * Takes over a new set of targets; work under way at those that stay is kept.
 *
 * @param state - placement state, changed
 * @param records - every target that may be in use
 */
export function applyTargets(state: PlacementState, records: readonly TargetRecord[]): void {
	const currentIds = new Set(records.map(({targetId}) => targetId));
	for (const targetId of state.targets.keys()) {
		if (!currentIds.has(targetId)) {
			state.targets.delete(targetId);
			state.prefixLocations.removeTarget(targetId);
		}
	}

	for (const record of records) {
		const existing = state.targets.get(record.targetId);
		if (existing === undefined) {
			state.targets.set(record.targetId, {
				record, localWork: createTargetWork(), backoffUntilMs: 0, consecutiveFailures: 0, lastResponseAtMs: 0,
			});
			continue;
		}

		if (existing.record.startedAtMs !== record.startedAtMs) {
			state.prefixLocations.removeTarget(record.targetId);
			existing.consecutiveFailures = 0;
			existing.backoffUntilMs = 0;
		}

		existing.record = record;
	}
}

/**
 * Tells whether a peer was heard of lately, directly or by way of others.
 *
 * @param state - placement state
 * @param entryId - the peer
 * @param nowMs - present time
 * @returns whether its last report is fresh
 */
export function isLivePeer({peers}: PlacementState, entryId: string, nowMs: number): boolean {
	const peer = peers.get(entryId);
	return peer !== undefined && nowMs - peer.receivedAtMs <= PEER_TIMEOUT_MS;
}

/** Reading and copying of a target's work, each a queue that shrinks by a millisecond in a millisecond. */
const QUEUE_FIELDS = ['prefillMs', 'shortPrefillMs', 'copyMs'] as const;

/**
 * Adds up the work of this entry and its peers at a target.
 *
 * @param state - placement state
 * @param target - the target
 * @param nowMs - present time
 * @returns requests, and the length of each queue. A target works through one
 * queue for all entries, so what peers told is shortened once by its mean age,
 * and not each peer's part by its own.
 */
export function sumWork(state: PlacementState, target: PlacedTarget, nowMs: number): TargetWork {
	const reported = createTargetWork();
	const ageWeighted = createTargetWork();
	for (const peer of state.peers.values()) {
		const work = peer.workByTarget.get(target.record.targetId);
		const ageMs = nowMs - peer.receivedAtMs;
		if (work === undefined || ageMs > PEER_TIMEOUT_MS) {
			continue;
		}

		reported.running += work.running;
		for (const queue of QUEUE_FIELDS) {
			reported[queue] += work[queue];
			ageWeighted[queue] += work[queue] * ageMs;
		}
	}

	const sum = {...target.localWork};
	sum.running += reported.running;
	for (const queue of QUEUE_FIELDS) {
		sum[queue] += reported[queue] === 0 ? 0 : Math.max(0, reported[queue] - (ageWeighted[queue] / reported[queue]));
	}

	return sum;
}

/**
 * Creates the work of an entry that has nothing under way.
 *
 * @returns no work
 */
export function createTargetWork(): TargetWork {
	return {
		running: 0, prefillMs: 0, shortPrefillMs: 0, copyMs: 0,
	};
}

/**
 * Records that a target failed by its own fault: it is avoided for a time that doubles with each failure in a row.
 *
 * @param target - the target, changed
 * @param nowMs - present time
 */
export function recordFault(target: PlacedTarget, nowMs: number): void {
	target.consecutiveFailures += 1;
	target.backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * (2 ** (target.consecutiveFailures - 1)));
}

/**
 * Records that a target answered.
 *
 * @param target - the target, changed
 * @param nowMs - present time
 */
export function recordAnswer(target: PlacedTarget, nowMs: number): void {
	target.lastResponseAtMs = nowMs;
	target.consecutiveFailures = 0;
	target.backoffUntilMs = 0;
}

/**
 * Lists the parts of a prompt that other requests may share: all but the last.
 *
 * @param parts - parts of the prompt
 * @returns the shared parts in order
 */
export function listSharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
	return parts.slice(0, -1);
}
