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
	readonly askedAtMs: number;
	/** Its asker was told that nothing may run. */
	isGivenUp: boolean;
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
	tail: number;
	claims: Map<string, ClaimRecord>;
	/** Segments in order, and when this entry came to know them. */
	segments: Array<{sequence: number; version: number; claimIds: string[]; knownAtMs: number}>;
	waiting: WaitingClaim[];
	open: OpenSegment | undefined;
	/** No segment is begun before this time. */
	nextWriteAtMs: number;
	isFlushPlanned: boolean;
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
		tail: 0,
		claims: new Map(),
		segments: [],
		waiting: [],
		open: undefined,
		nextWriteAtMs: 0,
		isFlushPlanned: false,
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
	state.tail = sequence;
	state.segments.push({
		sequence, version, claimIds: segment.records.map(record => record.claimId), knownAtMs: nowMs,
	});
	for (const record of segment.records) {
		state.claims.set(record.claimId, record);
	}
}

/**
 * Judges what is asked against what is recorded.
 *
 * @param known - last record of the claim
 * @param asked - what is to be recorded
 * @returns the verdict, or undefined where the record must be written first
 */
export function findVerdict(known: ClaimRecord | undefined, asked: ClaimRecord): ClaimVerdict | undefined {
	return asked.status === 'begun' ? findBeginVerdict(known, asked) : findSettleVerdict(known, asked);
}

function findBeginVerdict(known: ClaimRecord | undefined, asked: ClaimRecord): ClaimVerdict | undefined {
	if (known === undefined || known.status === 'released') {
		return undefined;
	}

	if (known.status === 'begun' && known.requestId === asked.requestId) {
		// Asked again after a lost reply.
		return {type: 'granted'};
	}

	const isSameBody = known.bodyDigest === asked.bodyDigest;
	return known.status === 'finished' && isSameBody && known.answer !== undefined
		? {type: 'answered', answer: known.answer}
		: {type: 'duplicate'};
}

/** Only the request that began a call may settle it, and only once. */
function findSettleVerdict(known: ClaimRecord | undefined, asked: ClaimRecord): ClaimVerdict | undefined {
	if (known?.requestId !== asked.requestId) {
		return {type: 'duplicate'};
	}

	return known.status === 'begun' ? undefined : {type: 'granted'};
}
