import {
	type AttemptUsage, type TargetRole, type UsageCounts, type UsageSettlement,
} from '@damaskspool/shared';
import {type Work} from '../admission/admissionState.js';
import {type OrderEvent} from '../fleet/orderMessages.js';
import {type UsageReply} from '../usage/usageCalls.js';
import {type BaseEvent} from './createReducer.js';

type TimedEvent<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** An entry sent work. */
export type WorkReceived = TimedEvent<'work.received', {readonly work: Work}>;
/** The target began to answer: its prefill is done. */
export type WorkAnswered = TimedEvent<'work.answered', {readonly attemptId: string}>;
/** The target's answer ended, whole or not. */
export type WorkEnded = TimedEvent<'work.ended', {readonly attemptId: string; readonly generatedTokens: number}>;
/** The entry that sent the work went away or cancelled it. */
export type WorkCancelled = TimedEvent<'work.cancelled', {readonly attemptId: string}>;
/** The target reported of itself. */
export type TargetReported = TimedEvent<'target.reported', {
	readonly role: TargetRole;
	readonly models: string[];
	readonly isReady: boolean;
}>;
/** The target did not answer its report call. */
export type TargetUnresponsive = TimedEvent<'target.silent', Record<never, never>>;
/** Time passed. */
export type SidecarTick = TimedEvent<'tick', Record<never, never>>;
/** The process was told to stop. */
export type SidecarStopRequested = TimedEvent<'stop.requested', Record<never, never>>;

/** Metered work was handed to the target. */
export type SidecarUsageStarted = TimedEvent<'usage.started', Omit<AttemptUsage, keyof UsageCounts>>;
/** The target's part in metered work ended. */
export type SidecarUsageEnded = TimedEvent<'usage.ended', {
	readonly ledgerId: string;
	readonly sequence: number;
	readonly counts: UsageCounts;
}>;
/** An entry told what it stored. */
export type SidecarUsageSettled = TimedEvent<'usage.settled', {readonly settlement: UsageSettlement}>;
/** Usage that no entry stored is to be stored from here. */
export type SidecarUsageFlushDue = TimedEvent<'usage.flushDue', {readonly isStopping: boolean}>;
/** A call of usage ended. */
export type SidecarUsageReplied = TimedEvent<'usage.replied', {readonly callId: string; readonly reply: UsageReply}>;

/** Every event of a sidecar. */
export type SidecarEvent
	= | WorkReceived | WorkAnswered | WorkEnded | WorkCancelled | TargetReported | TargetUnresponsive
		| SidecarTick | SidecarStopRequested | OrderEvent
		| SidecarUsageStarted | SidecarUsageEnded | SidecarUsageSettled | SidecarUsageFlushDue | SidecarUsageReplied;
