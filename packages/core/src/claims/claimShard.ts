/**
 * The claim log of one shard at the entry that owns the shard. A log is a sequence
 * of segments. A segment is created only if none exists under its sequence number.
 * If two entries both believe that they own a shard, they cannot both record a
 * claim: the second write finds the segment of the first. Correctness does not
 * depend on ownership; a single owner only avoids conflicts.
 */
import {type ClaimRecord, type ClaimSegment, type ClaimVerdict} from '@damaskspool/shared';
import {type StoredSegment} from './claimMessages.js';

/** A record that waits to be written, with the call that waits for the verdict. */
export type WaitingClaim = {
	readonly callId: string;
	readonly record: ClaimRecord;
	readonly requestedAtMs: number;
	/** Whether the requester was already answered `unavailable`. */
	isRefused: boolean;
};

/** A segment that is being written and whose result is not known yet. */
export type OpenSegment = {
	readonly sequence: number;
	readonly segment: ClaimSegment;
	readonly claims: readonly WaitingClaim[];
	/** When the write was sent; undefined while the segment waits for a retry. */
	sentAtMs: number | undefined;
	failedAtMs: number;
};

/** State of one shard. */
export type ClaimShard = {
	readonly shard: number;
	phase: 'unread' | 'reading' | 'ready';
	/** Sequence number of the last segment; zero for an empty log. */
	lastSequence: number;
	claims: Map<string, ClaimRecord>;
	/** Retained segments in order, with the time at which this entry applied them. */
	segments: Array<{sequence: number; version: number; claimIds: string[]; appliedAtMs: number}>;
	waiting: WaitingClaim[];
	/** The segment that is being written; a shard writes one at a time. */
	open: OpenSegment | undefined;
	/** Earliest time at which the next segment may be written. */
	nextWriteAtMs: number;
	isFlushScheduled: boolean;
};

/**
 * Creates the state of a shard whose log has not been read.
 *
 * @param shard - number of the shard
 */
export function createClaimShard(shard: number): ClaimShard {
	return {
		shard,
		phase: 'unread',
		lastSequence: 0,
		claims: new Map(),
		segments: [],
		waiting: [],
		open: undefined,
		nextWriteAtMs: 0,
		isFlushScheduled: false,
	};
}

/**
 * Applies a stored segment to the state of a shard.
 *
 * @param state - shard, modified in place
 * @param stored - segment that follows the last applied one
 * @param nowMs - current time
 */
export function applySegment(state: ClaimShard, {sequence, version, segment}: StoredSegment, nowMs: number): void {
	state.lastSequence = sequence;
	state.segments.push({
		sequence, version, claimIds: segment.records.map(record => record.claimId), appliedAtMs: nowMs,
	});
	for (const record of segment.records) {
		state.claims.set(record.claimId, record);
	}
}

/**
 * Finds the verdict on a requested record, given the last record of the same claim.
 *
 * @param recorded - last record of the claim, if any
 * @param requested - record that the requester wants to write
 * @returns the verdict, or undefined if the record has to be written first
 */
export function findVerdict(recorded: ClaimRecord | undefined, requested: ClaimRecord): ClaimVerdict | undefined {
	return requested.status === 'begun' ? findBeginVerdict(recorded, requested) : findSettleVerdict(recorded, requested);
}

function findBeginVerdict(recorded: ClaimRecord | undefined, requested: ClaimRecord): ClaimVerdict | undefined {
	if (recorded === undefined || recorded.status === 'released') {
		return undefined;
	}

	if (recorded.status === 'begun' && recorded.requestId === requested.requestId) {
		// The request is repeated because its reply was lost.
		return {type: 'granted'};
	}

	const isSameBody = recorded.bodyDigest === requested.bodyDigest;
	return recorded.status === 'finished' && isSameBody && recorded.answer !== undefined
		? {type: 'answered', answer: recorded.answer}
		: {type: 'duplicate'};
}

/** Finds the verdict on settling a claim. Only the request that began the call may settle it, and only once. */
function findSettleVerdict(recorded: ClaimRecord | undefined, requested: ClaimRecord): ClaimVerdict | undefined {
	if (recorded?.requestId !== requested.requestId) {
		return {type: 'duplicate'};
	}

	return recorded.status === 'begun' ? undefined : {type: 'granted'};
}
