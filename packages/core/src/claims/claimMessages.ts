import {
	type ClaimRecord, type ClaimSegment, type ClaimVerdict, type StoredResponse,
} from '@damaskspool/shared';
import {type BaseEvent} from '../reducer/createReducer.js';

type Timed<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** A segment as it lies in the store. */
export type StoredSegment = {
	readonly sequence: number;
	readonly version: number;
	readonly segment: ClaimSegment;
};

/** How a write of a segment ended; `conflict` brings the segment that stands in its place. */
export type SegmentReply
	= | {readonly type: 'written'; readonly version: number}
		| {readonly type: 'conflict'; readonly found: StoredSegment}
		| {readonly type: 'unavailable'};

/** An entry asks this owner to record something of a claim. */
export type ClaimAsked = Timed<'claim.asked', {readonly callId: string; readonly record: ClaimRecord}>;
/** The log of a shard was read; undefined where the store did not answer. */
export type ClaimLogRead = Timed<'claim.logRead', {readonly shard: number; readonly segments: readonly StoredSegment[] | undefined}>;
/** A write of a segment ended. */
export type ClaimSegmentReplied = Timed<'claim.segmentReplied', {readonly shard: number; readonly sequence: number; readonly reply: SegmentReply}>;
/** What waits at a shard may be written now. */
export type ClaimFlushDue = Timed<'claim.flushDue', {readonly shard: number}>;
/** The owner answered a request of this entry. */
export type ClaimDecided = Timed<'claim.decided', {readonly requestId: string; readonly record: ClaimRecord; readonly verdict: ClaimVerdict}>;

/** Every event of claims. */
export type ClaimEvent = ClaimAsked | ClaimLogRead | ClaimSegmentReplied | ClaimFlushDue | ClaimDecided;

/** Reads the log of a shard. */
export type ReadClaimLog = {readonly type: 'claim.readLog'; readonly shard: number};
/** Creates a segment where none is. */
export type WriteClaimSegment = {
	readonly type: 'claim.writeSegment';
	readonly shard: number;
	readonly sequence: number;
	readonly segment: ClaimSegment;
};
/** Removes a segment whose claims are over their time. */
export type RemoveClaimSegment = {
	readonly type: 'claim.removeSegment';
	readonly shard: number;
	readonly sequence: number;
	readonly version: number;
};
/** Brings `claim.flushDue` after a time. */
export type FlushClaimsLater = {readonly type: 'claim.flushLater'; readonly shard: number; readonly delayMs: number};
/** Answers an entry that asked. */
export type ReplyClaim = {readonly type: 'claim.reply'; readonly callId: string; readonly verdict: ClaimVerdict};
/** Asks the owner of a claim; brings `claim.decided`. */
export type AskClaim = {
	readonly type: 'claim.ask';
	readonly requestId: string;
	readonly record: ClaimRecord;
	/** Control addresses of owners, first choice first; an empty one is this entry itself. */
	readonly owners: readonly string[];
};
/** Tells the owner how a claimed call ended; the runtime adds the answer of a finished one. */
export type SettleClaim = {readonly type: 'claim.settle'; readonly record: ClaimRecord; readonly owners: readonly string[]};
/** Gives a caller the answer of a call that finished earlier. */
export type ReplayRequest = {readonly type: 'request.replay'; readonly requestId: string; readonly answer: StoredResponse};

/** Every effect of claims. */
export type ClaimEffect
	= | ReadClaimLog | WriteClaimSegment | RemoveClaimSegment | FlushClaimsLater | ReplyClaim | AskClaim | SettleClaim | ReplayRequest;
