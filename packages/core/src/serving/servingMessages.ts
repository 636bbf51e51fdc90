import {type ErrorCode, type Outcome} from '@damaskspool/shared';
import {type CrashNews} from '../retries/crashSuspicions.js';
import {type BaseEvent} from '../reducer/createReducer.js';
import {type LeaseEffect, type LeaseEvent} from '../lease/leaseMessages.js';
import {
	type PromptRecord, type ServingConfiguration, type Stage, type TargetRecord,
} from './servingRecords.js';

type Timed<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** What a caller asks for, its body read. */
export type CallRequest = {
	readonly requestId: string;
	readonly host: string;
	readonly path: string;
	readonly key: string | undefined;
	/** Time that the caller waits, from its arrival. */
	readonly deadlineMs: number;
	readonly bodyBytes: number;
	readonly prompt: PromptRecord | undefined;
	/** Same for the same method, path, caller and body. */
	readonly fingerprint: string;
};

/** How an attempt ended. */
export const ATTEMPT_RESULTS = {
	/** The whole answer was passed on. */
	answered: 'answered',
	/** The target proved that it ran nothing. */
	notRun: 'notRun',
	/** No connection was made, so nothing was sent. */
	unreached: 'unreached',
	/** Something was sent and nothing proves that it did not run. */
	unknown: 'unknown',
	/** The target answered with a failure of its own; nothing was passed on yet. */
	failed: 'failed',
	/** The entry ended it. */
	cancelled: 'cancelled',
} as const;

/** One of {@link ATTEMPT_RESULTS}. */
export type AttemptResult = typeof ATTEMPT_RESULTS[keyof typeof ATTEMPT_RESULTS];

/** Sends a request to a target. */
export type SendServingAttempt = {
	readonly type: 'attempt.send';
	readonly callId: number;
	readonly attemptId: number;
	readonly target: TargetRecord;
	readonly customerId: string | undefined;
	/** Time after which the target may stop. */
	readonly remainingMs: number;
	/** Rank that the target is told. */
	readonly priority: number;
	/** Reads the prompt only, and leaves a handle on its KV cache. */
	readonly isPrefillOnly: boolean;
	/** Takes KV cache over from a reading target. */
	readonly handle: {readonly address: string; readonly handleId: string} | undefined;
	/** Target from which shared parts are fetched. */
	readonly fetchAddress: string | undefined;
	readonly isResumable: boolean;
};

/** Ends a call with an answer of the entry's own. */
export type RefuseCall = {
	readonly type: 'call.refuse';
	readonly callId: number;
	readonly code: ErrorCode;
	readonly outcome: Outcome;
	readonly retryAfterMs: number | undefined;
};

/** Effects of an entry that sends to targets directly. */
export type ServingEffect
	= | SendServingAttempt
		| RefuseCall
		/** Ends an attempt under way. */
		| {readonly type: 'attempt.cancel'; readonly callId: number; readonly attemptId: number}
		/** Passes the failure of a target on, as it is held back by the attempt. */
		| {readonly type: 'attempt.passOn'; readonly callId: number; readonly attemptId: number}
		/** Starts the timer of a call's timeout. */
		| {readonly type: 'call.limit'; readonly callId: number; readonly afterMs: number}
		| {readonly type: 'handle.free'; readonly address: string; readonly handleId: string}
		| {readonly type: 'order.send'; readonly target: TargetRecord; readonly stage: Stage; readonly fence: number}
		| {readonly type: 'usage.seal'; readonly sealed: SealedUsage; readonly expectedVersion: number}
		| {readonly type: 'usage.read'}
		| {readonly type: 'usage.report'; readonly windowId: number; readonly counts: UsageCountsByCustomer; readonly fence: number}
		/** Tells peers of changed work; the runtime joins several into one message. */
		| {readonly type: 'work.tell'}
		/** One log line. */
		| {readonly type: 'decision.record'; readonly name: string; readonly subject: string; readonly detail: Readonly<Record<string, unknown>>}
		| LeaseEffect;

/** Requests that began to run, by customer. */
export type UsageCountsByCustomer = Readonly<Record<string, number>>;

/** Figures that were fixed before they were first reported, by window; kept in the store. */
export type SealedUsage = Readonly<Record<string, UsageCountsByCustomer>>;

/** What entries tell one another several times a second. */
export type PeerReport = {
	readonly entryId: string;
	readonly processId: string;
	readonly availabilityZone: string;
	readonly sequence: number;
	/** The sender's time of day. */
	readonly wallMs: number;
	readonly work: ReadonlyArray<readonly [targetId: string, running: number, prefillMs: number, shortPrefillMs: number, copyMs: number]>;
	/** Shared parts that targets were lately given. */
	readonly prefixUses: ReadonlyArray<readonly [partId: string, targetId: string, tokens: number]>;
	/** Requests that broke targets, or were answered after all. */
	readonly crashes: readonly CrashNews[];
	/** Counts so far of the latest windows. */
	readonly usage: ReadonlyArray<readonly [windowId: number, counts: UsageCountsByCustomer]>;
};

/** Events of an entry that sends to targets directly. */
export type ServingEvent
	= | LeaseEvent
		| Timed<'call.arrived', {readonly callId: number; readonly request: CallRequest; readonly wallMs: number; readonly waitedMs: number}>
		| Timed<'call.left', {readonly callId: number}>
		| Timed<'call.expired', {readonly callId: number}>
		/** The first bytes of an answer came in. */
		| Timed<'attempt.began', {readonly callId: number; readonly attemptId: number; readonly wallMs: number}>
		| Timed<'attempt.readEnded', {readonly callId: number; readonly attemptId: number; readonly handleId: string | undefined; readonly result: AttemptResult}>
		| Timed<'attempt.ended', {readonly callId: number; readonly attemptId: number; readonly result: AttemptResult; readonly isStarted: boolean; readonly hasRun: boolean; readonly wallMs: number; readonly detail: string}>
		| Timed<'targets.changed', {readonly targets: readonly TargetRecord[]; readonly removed: readonly string[]; readonly isWhole: boolean}>
		/** A call to the store failed, so that registrations may have lapsed. */
		| Timed<'store.failed', {readonly detail: string}>
		| Timed<'configuration.changed', {readonly configuration: ServingConfiguration}>
		| Timed<'peer.reported', {readonly report: PeerReport; readonly wallMs: number}>
		| Timed<'order.ended', {readonly targetId: string; readonly stage: Stage; readonly status: number | undefined}>
		| Timed<'usage.sealEnded', {readonly result: {readonly kind: 'written' | 'read'; readonly version: number; readonly sealed: SealedUsage} | {readonly kind: 'failed'}}>
		| Timed<'usage.reportEnded', {readonly windowId: number; readonly status: number | undefined}>
		| Timed<'tick', {readonly wallMs: number}>
		| Timed<'stop.requested', {readonly signal: string}>;
