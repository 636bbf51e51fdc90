import {type ErrorCode, type Outcome} from '@damaskspool/shared';
import {type ReadFailure} from '../membership/storeContact.js';
import {type AnswerFraming} from '../request/answerFraming.js';
import {type CloseSigns} from '../request/closedAnswer.js';
import {type StreamForm} from '../request/eventOrder.js';
import {type ReportedAllotment} from '../allotments/createAllotments.js';
import {type ReportedLimit} from '../limits/targetLimit.js';
import {type ReportedSpeed} from '../placement/reportedSpeed.js';
import {type ReportedVersions} from '../membership/serviceVersions.js';
import {type ReportedStreams} from '../membership/streamVersions.js';
import {type ReportedHistory, type StoredVersions} from '../membership/versionHistory.js';
import {type StoredParts} from '../retries/partHistory.js';
import {type PoisonPartUpdates} from '../retries/poisonPartTracker.js';
import {type CrashUpdate} from '../retries/poisonRequestTracker.js';
import {type BaseEvent} from '../reducer/createReducer.js';
import {type LeaseEffect, type LeaseEvent} from '../lease/leaseMessages.js';
import {
	type PromptRecord, type ServingConfiguration, type Stage, type TargetNotice, type TargetRecord,
} from './servingRecords.js';

type Timed<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** Request of a caller after its body was read. */
export type CallRequest = {
	readonly requestId: string;
	readonly host: string;
	readonly path: string;
	readonly key: string | undefined;
	/** Time from the arrival for which the caller waits. */
	readonly deadlineMs: number;
	readonly bodyBytes: number;
	readonly prompt: PromptRecord | undefined;
	/** The stream that the request takes up; undefined if it begins one. `requestId` is that of the request which brought the first event, if the caller names it. */
	readonly resumes?: {readonly requestId: string | undefined; readonly lastEventId: string | undefined} | undefined;
	/** Identical for requests with the same method, path, caller and body. */
	readonly fingerprint: string;
};

/** Results of an attempt. */
export const ATTEMPT_RESULTS = {
	/** The complete response was forwarded. */
	answered: 'answered',
	/** The target proved that it did not run the request. */
	notRun: 'notRun',
	/** No connection was established, so nothing was sent. */
	unreached: 'unreached',
	/** The request was at least partly sent, and nothing proves that it did not run. */
	unknown: 'unknown',
	/** The target closed the connection between two events of a stream, so that nothing proves whether it has sent the last one. */
	closed: 'closed',
	/** The target responded with an error, and no part of that response was forwarded yet. */
	failed: 'failed',
	/** The entry cancelled the attempt. */
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
	/** Time until the call's timeout, after which the target may stop. */
	readonly remainingMs: number;
	/** Priority on the target's scale, which begins at zero. */
	readonly priority: number;
	/** Whether the target only prefills the prompt and returns a handle to the KV cache. */
	readonly isPrefillOnly: boolean;
	/** KV cache that the target fetches from the target that prefilled the prompt. */
	readonly handle: {readonly address: string; readonly handleId: string} | undefined;
	/** Address of the target from which the KV cache of shared parts is fetched. */
	readonly fetchAddress: string | undefined;
	readonly isResumable: boolean;
	/** Whether the caller takes up a stream and has events of it. */
	readonly isTakeUp: boolean;
	/** Whether the end of a connection between events is no proof of the stream's end, and another target can tell what is left. */
	readonly isCloseDoubtful: boolean;
	/** Whether the numbers of events are known to be consecutive, so that a gap is an event that is missing. */
	readonly areEventsConsecutive: boolean;
	/** Number that another target has sent after the last event of the caller, and that was refused because it leaves others out. */
	readonly refusedEventNumber: number | undefined;
};

/** Ends a call with an error response of the entry. */
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
		| {readonly type: 'attempt.cancel'; readonly callId: number; readonly attemptId: number}
		/** Forwards the error response of a target, which the attempt has buffered. */
		| {readonly type: 'attempt.forward'; readonly callId: number; readonly attemptId: number}
		/** Ends a stream as complete. The caller has all of its events. */
		| {readonly type: 'call.complete'; readonly callId: number}
		/** Starts the timer of a call's timeout. */
		| {readonly type: 'call.startTimeout'; readonly callId: number; readonly afterMs: number}
		/** Checks whether a target accepts connections. */
		| {readonly type: 'target.probe'; readonly target: TargetRecord}
		| {readonly type: 'handle.free'; readonly target: TargetRecord; readonly handleId: string}
		| {readonly type: 'order.send'; readonly target: TargetRecord; readonly stage: Stage; readonly fence: number; readonly remainingTermMs: number}
		| {readonly type: 'usage.seal'; readonly sealed: SealedUsage; readonly expectedVersion: number}
		| {readonly type: 'usage.read'}
		| {readonly type: 'usage.report'; readonly windowId: number; readonly counts: UsageCountsByCustomer; readonly fence: number; readonly remainingTermMs: number}
		/** Reads the software versions that the store keeps. */
		| {readonly type: 'versions.read'}
		| {readonly type: 'versions.write'; readonly stored: StoredVersions; readonly expectedVersion: number}
		/** Reads the quarantined prompt parts that the store keeps. */
		| {readonly type: 'parts.read'}
		| {readonly type: 'parts.write'; readonly stored: StoredParts; readonly expectedVersion: number}
		/** Records an era of the store that a peer has seen. */
		| {readonly type: 'store.recordEra'; readonly era: number}
		/** Reports changed work to peers. The runtime combines several such effects into one message. */
		| {readonly type: 'work.report'}
		/** Writes one log line. */
		| {readonly type: 'decision.record'; readonly name: string; readonly subject: string; readonly detail: Readonly<Record<string, unknown>>}
		| LeaseEffect;

/** Number of requests that began to run, by customer. */
export type UsageCountsByCustomer = Readonly<Record<string, number>>;

/** Sealed counts by window. They are stored before they are first reported and do not change afterwards. */
export type SealedUsage = Readonly<Record<string, UsageCountsByCustomer>>;

/** Report that each entry sends to its peers several times a second. */
export type PeerReport = {
	readonly entryId: string;
	readonly processId: string;
	readonly availabilityZone: string;
	readonly sequence: number;
	/** Wall-clock time of the sender. */
	readonly wallMs: number;
	readonly work: ReadonlyArray<readonly [targetId: string, running: number, prefillMs: number, urgentPrefillMs: number, copyMs: number]>;
	/** Shared prompt parts sent to targets since the previous report. */
	readonly prefixUses: ReadonlyArray<readonly [partId: string, targetId: string, tokens: number]>;
	/** Targets that told this entry in an answer that they are about to stop. */
	readonly leaving: ReadonlyArray<readonly [targetId: string, startedAtMs: number]>;
	/** Limits that targets named or ended in answers to this entry. */
	readonly limits: readonly ReportedLimit[];
	/** Requests that crashed targets, and requests that were answered after such a crash. */
	readonly crashes: readonly CrashUpdate[];
	readonly poisonParts: PoisonPartUpdates;
	/** Streams that began since the previous report, while targets of several software versions serve. */
	readonly streams: ReportedStreams;
	/** Software versions of the targets of each service. Complete reports have an element, and all reports while a service has several versions. */
	readonly serviceVersions: readonly ReportedVersions[];
	/** Latest era of the metadata store that the entry has seen. */
	readonly storeEra: number;
	/** Figures that the entry has sealed lately, by window. */
	readonly sealed: ReadonlyArray<readonly [windowId: number, counts: UsageCountsByCustomer]>;
	/** Counts of the latest windows up to now. */
	readonly usage: ReadonlyArray<readonly [windowId: number, counts: UsageCountsByCustomer]>;
	/** Software versions that the store keeps. Complete reports have an element, and those that follow a change. */
	readonly versionHistory: readonly ReportedHistory[];
	/** What this process has spent of the allotments of customers. */
	readonly allotments: readonly ReportedAllotment[];
	/** What this entry has learned of the speed of targets. */
	readonly speeds: readonly ReportedSpeed[];
	/** KV cache that this entry's requests hold at targets of services with learned speeds. */
	readonly heldTokens: ReadonlyArray<readonly [targetId: string, tokens: number]>;
};

/** How long a request that was read just now may have waited. A process that stands still cannot tell when it came. */
export type WaitedTimes = {
	/** Longest time since its head arrived. */
	readonly waitedMs: number;
	/** Shortest time since it was complete. */
	readonly completeForMs: number;
};

/** Events of an entry that sends to targets directly. */
export type ServingEvent
	= | LeaseEvent
		| Timed<'call.arrived', {readonly callId: number; readonly request: CallRequest; readonly wallMs: number} & WaitedTimes>
		| Timed<'call.disconnected', {readonly callId: number}>
		| Timed<'call.expired', {readonly callId: number}>
		/** The first bytes of a response arrived. */
		| Timed<'attempt.began', {readonly callId: number; readonly attemptId: number; readonly wallMs: number}>
		| Timed<'attempt.prefillEnded', {readonly callId: number; readonly attemptId: number; readonly handleId: string | undefined; readonly result: AttemptResult}>
		| Timed<'attempt.ended', {
			readonly callId: number;
			readonly attemptId: number;
			readonly result: AttemptResult;
			readonly isResponseStarted: boolean;
			readonly hasRun: boolean;
			readonly wallMs: number;
			readonly detail: string;
			/** Undefined if no answer came. */
			readonly framing?: AnswerFraming | undefined;
			/** Undefined unless the answer ended with its connection. */
			readonly closeSigns?: CloseSigns | undefined;
			/** Last event that the caller has; undefined outside of streams. */
			readonly lastEventId?: string | undefined;
			/** Undefined outside of streams. */
			readonly streamForm?: StreamForm | undefined;
		}>
		| Timed<'targets.changed', {readonly targets: readonly TargetRecord[]; readonly removed: readonly string[]; readonly isComplete: boolean; readonly isLate?: boolean}>
		/** The store has confirmed that no registration of a target has changed. */
		| Timed<'targets.confirmed', object>
		/** The store lists the registered entries. */
		| Timed<'peers.listed', {readonly peerCount: number; readonly peerIds?: readonly string[]}>
		/** A target said something about itself in an answer. `requestSentAtMs` is undefined if that was the answer to a control call. */
		| Timed<'target.noticed', {readonly target: TargetRecord; readonly notice: TargetNotice; readonly requestSentAtMs?: number}>
		/** Whether a target accepts connections; undefined if it neither accepted nor refused one. */
		| Timed<'target.probed', {readonly target: TargetRecord; readonly isListening: boolean | undefined}>
		/** A call of the watch of the targets failed. */
		| Timed<'targets.readFailed', {readonly failure: ReadFailure}>
		/** The store states its first era, or came back from an older copy: what earlier eras said may be gone. */
		| Timed<'store.eraChanged', {readonly era: number; readonly wallMs: number}>
		/** The process did not run for a time that its monotonic clock does not count. */
		| Timed<'process.suspended', {readonly suspendedMs: number}>
		| Timed<'configuration.changed', {readonly configuration: ServingConfiguration}>
		| Timed<'peer.reported', {readonly report: PeerReport; readonly wallMs: number}>
		| Timed<'order.ended', {readonly targetId: string; readonly stage: Stage; readonly status: number | undefined}>
		| Timed<'usage.sealEnded', {readonly result: {readonly kind: 'written' | 'read'; readonly version: number; readonly sealed: SealedUsage} | {readonly kind: 'failed'}}>
		| Timed<'usage.reportEnded', {readonly windowId: number; readonly status: number | undefined}>
		/** `stored` is undefined if the object does not exist (version zero) or is malformed. */
		| Timed<'versions.readEnded', {readonly result: {readonly kind: 'read'; readonly version: number; readonly stored: StoredVersions | undefined} | {readonly kind: 'failed'}}>
		| Timed<'versions.writeEnded', {readonly result: {readonly kind: 'written'; readonly version: number; readonly stored: StoredVersions} | {readonly kind: 'conflict' | 'unknown'}}>
		/** `stored` is undefined if the object does not exist (version zero) or is malformed. */
		| Timed<'parts.readEnded', {readonly result: {readonly kind: 'read'; readonly version: number; readonly stored: StoredParts | undefined} | {readonly kind: 'failed'}}>
		| Timed<'parts.writeEnded', {readonly result: {readonly kind: 'written'; readonly version: number; readonly stored: StoredParts} | {readonly kind: 'conflict' | 'unknown'}}>
		| Timed<'tick', {readonly wallMs: number}>
		/** `endsAtMs` is the time at which calls that are not over are ended. */
		| Timed<'stop.requested', {readonly signal: string; readonly endsAtMs: number}>
		| Timed<'stop.graceEnded', object>;
