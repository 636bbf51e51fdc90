/**
 * The log of claims of one shard, at the entry that owns the shard. A log is a
 * row of segments, each created only where none is, so that two entries that
 * both believe they own a shard still cannot both record a claim: the second
 * finds the first one's segment in its place. Ownership only spares conflicts.
 */
import {type ClaimRecord, type ClaimSegment, type ClaimVerdict} from '@damaskspool/shared';
import {type StoredSegment} from './claimMessages.js';

/** A record that waits to be written, and who waits for it. */
export type WaitingClaim = {
	readonly callId: string;
	readonly record: ClaimRecord;
	readonly requestedAtMs: number;
	/** Its asker was told that nothing may run. */
	isRefused: boolean;
};

/** A segment that is being written, for as long as it is not known how that ended. */
export type OpenSegment = {
	readonly sequence: number;
	readonly segment: ClaimSegment;
	readonly claims: readonly WaitingClaim[];
	/** When the write was sent, or undefined while it waits to be sent again. */
	sentAtMs: number | undefined;
	failedAtMs: number;
};

/** State of one shard. */
export type ClaimShard = {
	readonly shard: number;
	phase: 'unread' | 'reading' | 'ready';
	/** Place of the last segment. */
	lastSequence: number;
	claims: Map<string, ClaimRecord>;
	/** Segments in order, and when this entry came to know them. */
	segments: Array<{sequence: number; version: number; claimIds: string[]; appliedAtMs: number}>;
	waiting: WaitingClaim[];
	open: OpenSegment | undefined;
	/** No segment is begun before this time. */
	nextWriteAtMs: number;
	isFlushScheduled: boolean;
};

/**
 * Creates the state of a shard whose log was not read.
 *
 * @param shard - its number
 * @returns an empty shard
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
 * Takes a segment of the store into the state.
 *
 * @param state - shard to change
 * @param stored - the segment, which follows those already taken in
 * @param nowMs - present time
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
 * Judges what is asked against what is recorded.
 *
 * @param recorded - last record of the claim
 * @param requested - what is to be recorded
 * @returns the verdict, or undefined where the record must be written first
 */
export function findVerdict(recorded: ClaimRecord | undefined, requested: ClaimRecord): ClaimVerdict | undefined {
	return requested.status === 'begun' ? findBeginVerdict(recorded, requested) : findSettleVerdict(recorded, requested);
}

function findBeginVerdict(recorded: ClaimRecord | undefined, requested: ClaimRecord): ClaimVerdict | undefined {
	if (recorded === undefined || recorded.status === 'released') {
		return undefined;
	}

	if (recorded.status === 'begun' && recorded.requestId === requested.requestId) {
		// Asked again after a lost reply.
		return {type: 'granted'};
	}

	const isSameBody = recorded.bodyDigest === requested.bodyDigest;
	return recorded.status === 'finished' && isSameBody && recorded.answer !== undefined
		? {type: 'answered', answer: recorded.answer}
		: {type: 'duplicate'};
}

/** Only the request that began a call may settle it, and only once. */
function findSettleVerdict(recorded: ClaimRecord | undefined, requested: ClaimRecord): ClaimVerdict | undefined {
	if (recorded?.requestId !== requested.requestId) {
		return {type: 'duplicate'};
	}

	return recorded.status === 'begun' ? undefined : {type: 'granted'};
}
