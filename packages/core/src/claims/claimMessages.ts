import {
	type ClaimRecord, type ClaimSegment, type ClaimVerdict, type StoredResponse,
} from '@damaskspool/shared';
import {type BaseEvent} from '../reducer/createReducer.js';

type TimedEvent<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** A segment with its sequence number and version in the store. */
export type StoredSegment = {
	readonly sequence: number;
	readonly version: number;
	readonly segment: ClaimSegment;
};

/** Result of writing a segment. `conflict` contains the segment that already exists under the same sequence number. */
export type SegmentReply
	= | {readonly type: 'written'; readonly version: number}
		| {readonly type: 'conflict'; readonly found: StoredSegment}
		| {readonly type: 'unavailable'};

/** An entry requested that this owner record a claim or its outcome. */
export type ClaimRequested = TimedEvent<'claim.asked', {readonly callId: string; readonly record: ClaimRecord}>;
/** The log of a shard was read; `segments` is undefined if it could not be read completely. */
export type ClaimLogRead = TimedEvent<'claim.logRead', {readonly shard: number; readonly segments: readonly StoredSegment[] | undefined}>;
/** The write of a segment ended. */
export type ClaimSegmentReplied = TimedEvent<'claim.segmentReplied', {readonly shard: number; readonly sequence: number; readonly reply: SegmentReply}>;
/** Waiting records of a shard may be written now. */
export type ClaimFlushDue = TimedEvent<'claim.flushDue', {readonly shard: number}>;
/** The owner answered a claim request of this entry. */
export type ClaimDecided = TimedEvent<'claim.decided', {readonly requestId: string; readonly record: ClaimRecord; readonly verdict: ClaimVerdict}>;

/** Every event of claims. */
export type ClaimEvent = ClaimRequested | ClaimLogRead | ClaimSegmentReplied | ClaimFlushDue | ClaimDecided;

/** Reads the log of a shard. */
export type ReadClaimLog = {readonly type: 'claim.readLog'; readonly shard: number};
/** Creates a segment, provided that none exists under its sequence number. */
export type WriteClaimSegment = {
	readonly type: 'claim.writeSegment';
	readonly shard: number;
	readonly sequence: number;
	readonly segment: ClaimSegment;
};
/** Removes a segment whose retention time is over. */
export type RemoveClaimSegment = {
	readonly type: 'claim.removeSegment';
	readonly shard: number;
	readonly sequence: number;
	readonly version: number;
};
/** Schedules a `claim.flushDue` event. */
export type ScheduleClaimFlush = {readonly type: 'claim.flushLater'; readonly shard: number; readonly delayMs: number};
/** Sends the verdict to the requesting entry. */
export type ReplyClaim = {readonly type: 'claim.reply'; readonly callId: string; readonly verdict: ClaimVerdict};
/** Requests a claim from its owner. The reply arrives as a `claim.decided` event. */
export type RequestClaim = {
	readonly type: 'claim.ask';
	readonly requestId: string;
	readonly record: ClaimRecord;
	/** Control addresses of owners in order of preference. An empty address stands for the local entry. */
	readonly owners: readonly string[];
};
/** Reports the outcome of a claimed call to its owner. The runtime adds the answer of a finished call. */
export type SettleClaim = {readonly type: 'claim.settle'; readonly record: ClaimRecord; readonly owners: readonly string[]};
/** Answers a caller with the stored answer of a call that finished earlier. */
export type ReplayRequest = {readonly type: 'request.replay'; readonly requestId: string; readonly answer: StoredResponse};

/** Every effect of claims. */
export type ClaimEffect
	= | ReadClaimLog | WriteClaimSegment | RemoveClaimSegment | ScheduleClaimFlush | ReplyClaim | RequestClaim | SettleClaim | ReplayRequest;
