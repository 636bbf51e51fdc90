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

/** Time for which a claim and its answer are kept. */
const CLAIM_RETENTION_MS = HOUR_MS;
/** Least time between two segments of a shard, which bounds the writes of all shards to 200 a second. */
const MIN_FLUSH_INTERVAL_MS = 40;
/** Records of one segment, which keeps it under the largest value that the object API holds. */
const MAX_SEGMENT_RECORDS = 40;
/** Longest wait of an asker; shorter than the time limit of its call. */
const MAX_CLAIM_WAIT_MS = 800;
/** Wait before a write that failed is sent again. */
const WRITE_RETRY_DELAY_MS = 200;

/** Handlers by which an entry owns shards of claims. */
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

/** Writes what waits as one segment, once the log was read and no other segment is open. */
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
			// Granted by a record of this very segment, so only once that is written.
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

/** Takes in how the write of the open segment ended. */
function settleOpenSegment(shard: ClaimShard, reply: SegmentReply, nowMs: number): readonly EntryEffect[] {
	const {open} = shard;
	if (open === undefined) {
		return [];
	}

	if (reply.type === 'unavailable') {
		// It may still take effect, so the same segment is written until that is known.
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
	// A claim whose asker was told that nothing may run is not released here: the
	// asker may meanwhile have been granted it by another owner, who read it in the
	// log. It alone knows, and releases it.
	return open.claims
		.filter(claim => !claim.isRefused)
		.map(({callId}) => ({type: 'claim.reply', callId, verdict: {type: 'granted'}}));
}

function refuseClaims(shard: ClaimShard, claims: readonly WaitingClaim[]): readonly EntryEffect[] {
	const effects: EntryEffect[] = claims
		.filter(claim => !claim.isRefused)
		.map(({callId}) => ({type: 'claim.reply', callId, verdict: {type: 'unavailable'}}));
	for (const claim of claims) {
		claim.isRefused = true;
	}

	// Releases, which nobody waits for, are written when the store is back.
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

/** Removes the oldest segment once its time is over. The last one stays, as it marks the end of the log. */
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
