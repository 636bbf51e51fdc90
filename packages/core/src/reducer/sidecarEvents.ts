import {
	type AttemptUsage, type TargetRole, type UsageCounts, type UsageSettlement,
} from '@damaskspool/shared';
import {type Work} from '../admission/admissionState.js';
import {type OrderEvent} from '../fleet/orderMessages.js';
import {type UsageReply} from '../usage/usageCalls.js';
import {type BaseEvent} from './createReducer.js';

type TimedEvent<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** An entry sent work to this sidecar. */
export type WorkReceived = TimedEvent<'work.received', {readonly work: Work}>;
/** The target started its response, which means that the prefill is done. */
export type WorkAnswered = TimedEvent<'work.answered', {readonly attemptId: string}>;
/** The target's response ended, complete or not. */
export type WorkEnded = TimedEvent<'work.ended', {readonly attemptId: string; readonly generatedTokens: number}>;
/** The entry that sent the work cancelled it or disconnected. */
export type WorkCancelled = TimedEvent<'work.cancelled', {readonly attemptId: string}>;
/** The target answered a status request. */
export type TargetReported = TimedEvent<'target.reported', {
	readonly role: TargetRole;
	readonly models: string[];
	readonly isReady: boolean;
}>;
/** The target did not answer a status request. */
export type TargetUnresponsive = TimedEvent<'target.silent', Record<never, never>>;
/** The periodic timer fired. */
export type SidecarTick = TimedEvent<'tick', Record<never, never>>;
/** The process received a request to stop. */
export type SidecarStopRequested = TimedEvent<'stop.requested', Record<never, never>>;

/** Metered work was forwarded to the target. */
export type SidecarUsageStarted = TimedEvent<'usage.started', Omit<AttemptUsage, keyof UsageCounts>>;
/** Metered work ended at the target. */
export type SidecarUsageEnded = TimedEvent<'usage.ended', {
	readonly ledgerId: string;
	readonly sequence: number;
	readonly counts: UsageCounts;
}>;
/** An entry reported which usage it stored. */
export type SidecarUsageSettled = TimedEvent<'usage.settled', {readonly settlement: UsageSettlement}>;
/** A flush is due of the usage that no entry stored. */
export type SidecarUsageFlushDue = TimedEvent<'usage.flushDue', {readonly isStopping: boolean}>;
/** A usage call ended. */
export type SidecarUsageReplied = TimedEvent<'usage.replied', {readonly callId: string; readonly reply: UsageReply}>;

/** Every event of a sidecar. */
export type SidecarEvent
	= | WorkReceived | WorkAnswered | WorkEnded | WorkCancelled | TargetReported | TargetUnresponsive
		| SidecarTick | SidecarStopRequested | OrderEvent
		| SidecarUsageStarted | SidecarUsageEnded | SidecarUsageSettled | SidecarUsageFlushDue | SidecarUsageReplied;
