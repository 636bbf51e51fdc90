import {type ClaimRecord, HOUR_MS} from '@damaskspool/shared';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {type SegmentReply} from './claimMessages.js';
import {computeShardNumber} from './claimOwners.js';
import {
	applySegment, type ClaimShard, findVerdict, type WaitingClaim,
} from './claimShard.js';
import {type ClaimState, getOrCreateClaimShard} from './claimState.js';

/** How long a claim and its stored answer are retained. */
const CLAIM_RETENTION_MS = HOUR_MS;
/** Minimum time between two segments of a shard. It limits the writes of all shards to 200 per second. */
const MIN_FLUSH_INTERVAL_MS = 40;
/** Maximum number of records in a segment. It keeps a segment below the maximum value size of the object API. */
const MAX_SEGMENT_RECORDS = 40;
/** Maximum wait of a requester for a verdict; shorter than the timeout of its call. */
const MAX_CLAIM_WAIT_MS = 800;
/** Delay before a failed write is retried. */
const WRITE_RETRY_DELAY_MS = 200;

/** Event handlers with which an entry owns shards of the claim log. */
export const claimHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'claim.asked'({claims}, {callId, record, nowMs}) {
		const shard = getOrCreateClaimShard(claims, computeShardNumber(record.claimId));
		const verdict = shard.phase === 'ready' && shard.claims.has(record.claimId)
			? findVerdict(shard.claims.get(record.claimId), record)
			: undefined;
		if (verdict !== undefined) {
			return [{type: 'claim.reply', callId, verdict}];
		}

		shard.waiting.push({
			callId, record, requestedAtMs: nowMs, isRefused: false,
		});
		return flushShard(claims, shard, nowMs);
	},

	'claim.logRead'({claims}, {shard: shardNumber, segments, nowMs}) {
		const shard = getOrCreateClaimShard(claims, shardNumber);
		if (shard.phase !== 'reading') {
			return [];
		}

		if (segments === undefined) {
			shard.phase = 'unread';
			return refuseClaims(shard, shard.waiting);
		}

		shard.phase = 'ready';
		for (const stored of segments) {
			applySegment(shard, stored, nowMs);
		}

		return flushShard(claims, shard, nowMs);
	},

	'claim.segmentReplied'({claims}, {shard: shardNumber, sequence, reply, nowMs}) {
		const shard = getOrCreateClaimShard(claims, shardNumber);
		if (shard.open?.sequence !== sequence) {
			return [];
		}

		const effects = settleOpenSegment(shard, reply, nowMs);
		return [...effects, ...flushShard(claims, shard, nowMs)];
	},

	'claim.flushDue'({claims}, {shard: shardNumber, nowMs}) {
		const shard = getOrCreateClaimShard(claims, shardNumber);
		shard.isFlushScheduled = false;
		return flushShard(claims, shard, nowMs);
	},

	tick({claims}, {nowMs}) {
		return [...claims.shards.values()].flatMap(shard => [
			...refuseExpiredClaims(shard, nowMs),
			...retryWrite(shard, nowMs),
			...expireSegment(shard, nowMs),
		]);
	},
};

/** Writes waiting records as one segment if the log has been read and no other segment is open; starts to read an unread log. */
function flushShard(claims: ClaimState, shard: ClaimShard, nowMs: number): readonly EntryEffect[] {
	if (shard.waiting.length === 0 || shard.open !== undefined || shard.phase === 'reading') {
		return [];
	}

	if (shard.phase === 'unread') {
		shard.phase = 'reading';
		return [{type: 'claim.readLog', shard: shard.shard}];
	}

	if (nowMs < shard.nextWriteAtMs) {
		return scheduleFlush(shard, nowMs);
	}

	const effects: EntryEffect[] = [];
	const batch: WaitingClaim[] = [];
	const batchRecords = new Map<string, ClaimRecord>();
	const dequeued = shard.waiting.splice(0, MAX_SEGMENT_RECORDS);
	for (const waiting of dequeued) {
		const {claimId} = waiting.record;
		const verdict = findVerdict(batchRecords.get(claimId) ?? shard.claims.get(claimId), waiting.record);
		if (verdict === undefined) {
			batchRecords.set(claimId, waiting.record);
			batch.push(waiting);
		} else if (verdict.type === 'granted' && batchRecords.has(claimId)) {
			// A record of this segment grants the claim, so the reply waits until the segment is written.
			batch.push(waiting);
		} else {
			effects.push({type: 'claim.reply', callId: waiting.callId, verdict});
		}
	}

	return batch.length === 0 ? effects : [...effects, ...beginSegment(claims, shard, batch, nowMs)];
}

function beginSegment(claims: ClaimState, shard: ClaimShard, batch: readonly WaitingClaim[], nowMs: number): readonly EntryEffect[] {
	claims.segmentCount += 1;
	const sequence = shard.lastSequence + 1;
	const segment = {
		nonce: `${claims.processId}.${claims.segmentCount}`,
		records: batch.map(({record}) => record),
	};
	shard.open = {
		sequence, segment, claims: batch, sentAtMs: nowMs, failedAtMs: 0,
	};
	shard.nextWriteAtMs = nowMs + MIN_FLUSH_INTERVAL_MS;
	return [{
		type: 'claim.writeSegment', shard: shard.shard, sequence, segment,
	}];
}

function scheduleFlush(shard: ClaimShard, nowMs: number): readonly EntryEffect[] {
	if (shard.isFlushScheduled) {
		return [];
	}

	shard.isFlushScheduled = true;
	return [{type: 'claim.flushLater', shard: shard.shard, delayMs: shard.nextWriteAtMs - nowMs}];
}

/** Applies the result of writing the open segment. */
function settleOpenSegment(shard: ClaimShard, reply: SegmentReply, nowMs: number): readonly EntryEffect[] {
	const {open} = shard;
	if (open === undefined) {
		return [];
	}

	if (reply.type === 'unavailable') {
		// The write may still take effect, so the same segment is retried until its result is known.
		open.sentAtMs = undefined;
		open.failedAtMs = nowMs;
		return [...refuseClaims(shard, open.claims), ...refuseClaims(shard, shard.waiting)];
	}

	shard.open = undefined;
	if (reply.type === 'conflict') {
		applySegment(shard, reply.found, nowMs);
		shard.waiting.unshift(...open.claims.filter(claim => !claim.isRefused));
		shard.nextWriteAtMs = nowMs;
		return [];
	}

	applySegment(shard, {sequence: open.sequence, version: reply.version, segment: open.segment}, nowMs);
	// A claim whose requester was already answered `unavailable` is not released here.
	// Another owner may have read the claim in the log and granted it to the requester
	// in the meantime. Only the requester knows whether it was, and releases it if needed.
	return open.claims
		.filter(claim => !claim.isRefused)
		.map(({callId}) => ({type: 'claim.reply', callId, verdict: {type: 'granted'}}));
}

/** Answers `unavailable` to all requesters that still wait, and drops records that would begin a call. */
function refuseClaims(shard: ClaimShard, claims: readonly WaitingClaim[]): readonly EntryEffect[] {
	const effects: EntryEffect[] = claims
		.filter(claim => !claim.isRefused)
		.map(({callId}) => ({type: 'claim.reply', callId, verdict: {type: 'unavailable'}}));
	for (const claim of claims) {
		claim.isRefused = true;
	}

	// Records that settle a claim stay and are written when the store is available again.
	shard.waiting = shard.waiting.filter(({isRefused, record}) => !isRefused || record.status !== 'begun');
	return effects;
}

function refuseExpiredClaims(shard: ClaimShard, nowMs: number): readonly EntryEffect[] {
	const expired = [...shard.open?.claims ?? [], ...shard.waiting].filter(claim => nowMs - claim.requestedAtMs > MAX_CLAIM_WAIT_MS);
	return expired.some(claim => !claim.isRefused) ? refuseClaims(shard, expired) : [];
}

function retryWrite({open, shard}: ClaimShard, nowMs: number): readonly EntryEffect[] {
	if (open === undefined || open.sentAtMs !== undefined || nowMs - open.failedAtMs < WRITE_RETRY_DELAY_MS) {
		return [];
	}

	open.sentAtMs = nowMs;
	return [{
		type: 'claim.writeSegment', shard, sequence: open.sequence, segment: open.segment,
	}];
}

/** Removes the oldest segment when its retention time is over. The last segment stays because it marks the end of the log. */
function expireSegment(shard: ClaimShard, nowMs: number): readonly EntryEffect[] {
	const [oldest, next] = shard.segments;
	if (oldest === undefined || next === undefined || nowMs - oldest.appliedAtMs < CLAIM_RETENTION_MS) {
		return [];
	}

	shard.segments.shift();
	const retainedIds = new Set(shard.segments.flatMap(segment => segment.claimIds));
	for (const claimId of oldest.claimIds) {
		if (!retainedIds.has(claimId)) {
			shard.claims.delete(claimId);
		}
	}

	return [{
		type: 'claim.removeSegment', shard: shard.shard, sequence: oldest.sequence, version: oldest.version,
	}];
}
