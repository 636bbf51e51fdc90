import {
	type Failure, type InstanceRecord, type LoadReport, type UsageCounts,
} from '@damaskspool/shared';
import {type ConfigurationEvent} from '../configuration/configurationMessages.js';
import {type FleetEvent} from '../fleet/fleetMessages.js';
import {type UsageReply} from '../usage/usageCalls.js';
import {type LeaseEvent} from '../lease/leaseMessages.js';
import {type ClaimEvent} from '../claims/claimMessages.js';
import {type BaseEvent} from './createReducer.js';

/** Properties of a received request, parsed before the reducer handles it. Contains the hash of the API key, never the key itself. */
export type RequestAttributes = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	/** SHA-256 of the caller's API key; undefined if the request has none. */
	readonly keyHash: string | undefined;
	readonly modelId: string | undefined;
	readonly bodyBytes: number;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly isStream: boolean;
	readonly priority: 'interactive' | 'batch';
	/** Digest of the body alone; customer and service are not part of it. */
	readonly bodyDigest: string;
	readonly idempotencyKey: string | undefined;
	/** Hashes of the prompt prefixes that end at a KV cache block boundary, shortest first. */
	readonly prefixHashes?: readonly string[];
	/** Random 32-bit number that varies the selection, so that entries which select at the same time do not all pick the same target. */
	readonly randomSeed?: number;
};

type TimedEvent<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** A caller's request was received completely. */
export type RequestReceived = TimedEvent<'request.received', {readonly attributes: RequestAttributes}>;
/** The first bytes of an attempt's response arrived. */
export type AttemptAnswered = TimedEvent<'attempt.answered', {
	readonly requestId: string;
	readonly attemptId: string;
	readonly load: LoadReport | undefined;
}>;
/** The complete response of an attempt was sent to the caller. */
export type AttemptFinished = TimedEvent<'attempt.finished', {
	readonly requestId: string;
	readonly attemptId: string;
	readonly generatedTokens: number;
}>;
/** An attempt ended without a complete response. */
export type AttemptFailed = TimedEvent<'attempt.failed', {
	readonly requestId: string;
	readonly attemptId: string;
	readonly failure: Failure;
	readonly load: LoadReport | undefined;
	/** Whether the target caused the failure, as opposed to the request or a full queue. */
	readonly isTargetFault: boolean;
}>;
/** The caller disconnected before its response was complete. */
export type CallerDisconnected = TimedEvent<'caller.disconnected', {readonly requestId: string}>;
/** The instance list was read from the platform. */
export type InstancesListed = TimedEvent<'instances.listed', {readonly instances: readonly InstanceRecord[]}>;
/** A sidecar reported its load. */
export type LoadReported = TimedEvent<'load.reported', {readonly load: LoadReport}>;
/** A periodic round of load reports is due, `intervalMs` after the previous round. Responses carry load reports between rounds. */
export type LoadReadDue = TimedEvent<'load.readDue', {readonly intervalMs: number}>;
/** The periodic timer fired. */
export type Tick = TimedEvent<'tick', Record<never, never>>;
/** The process received a request to stop. */
export type StopRequested = TimedEvent<'stop.requested', Record<never, never>>;

/** An attempt is sent. Its usage is metered under a sequence number of this entry. */
export type UsageStarted = TimedEvent<'usage.started', {
	readonly sequence: number;
	readonly customerId: string;
	readonly serviceId: string;
	/** Start of the usage window to which the attempt belongs. */
	readonly servedIn: number;
	/** Address of the target's sidecar. */
	readonly address: string;
}>;
/** A metered attempt ended, with or without a complete response. */
export type UsageEnded = TimedEvent<'usage.ended', {readonly sequence: number; readonly counts: UsageCounts}>;
/** A flush of metered usage to the store is due. */
export type UsageFlushDue = TimedEvent<'usage.flushDue', {readonly isStopping: boolean}>;
/** A check for usage windows to seal and report is due. */
export type UsageSealDue = TimedEvent<'usage.sealDue', {readonly wallMs: number}>;
/** A usage call ended. */
export type UsageReplied = TimedEvent<'usage.replied', {readonly callId: string; readonly reply: UsageReply}>;

/** An operator requested to drain and stop a target. */
export type TargetDrainRequested = TimedEvent<'target.drainRequested', {readonly targetId: string}>;

/** Every event of an entry. */
export type EntryEvent
	= | RequestReceived | AttemptAnswered | AttemptFinished | AttemptFailed | CallerDisconnected
		| InstancesListed | LoadReported | LoadReadDue | Tick | StopRequested | TargetDrainRequested
		| UsageStarted | UsageEnded | UsageFlushDue | UsageSealDue | UsageReplied
		| ClaimEvent | ConfigurationEvent | LeaseEvent | FleetEvent;
