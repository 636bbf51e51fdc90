import {
	type Failure, type InstanceRecord, type LoadReport, type UsageCounts,
} from '@damaskspool/shared';
import {type ConfigurationEvent} from '../configuration/configurationMessages.js';
import {type FleetEvent} from '../fleet/fleetMessages.js';
import {type UsageReply} from '../usage/usageCalls.js';
import {type LeaseEvent} from '../lease/leaseMessages.js';
import {type ClaimEvent} from '../claims/claimMessages.js';
import {type BaseEvent} from './createReducer.js';

/** What the edge read of a request before anything was decided. It holds no key, only the key's hash. */
export type RequestFacts = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	/** SHA-256 of the caller's key; undefined where none came. */
	readonly keyHash: string | undefined;
	readonly modelId: string | undefined;
	readonly bodyBytes: number;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly isStream: boolean;
	readonly priority: 'interactive' | 'batch';
	/** Digest of the body, without customer and service. */
	readonly bodyDigest: string;
	readonly idempotencyKey: string | undefined;
	/** Hashes of the prompt's prefixes that fill whole memory pieces, shortest first. */
	readonly prefixHashes?: readonly string[];
	/** Random 32-bit number, by which entries that decide at once spread over targets. */
	readonly randomSeed?: number;
};

type TimedEvent<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** A caller's request was read whole. */
export type RequestReceived = TimedEvent<'request.received', {readonly facts: RequestFacts}>;
/** The first bytes of an attempt's answer came. */
export type AttemptAnswered = TimedEvent<'attempt.answered', {
	readonly requestId: string;
	readonly attemptId: string;
	readonly load: LoadReport | undefined;
}>;
/** An attempt's answer was handed to the caller whole. */
export type AttemptFinished = TimedEvent<'attempt.finished', {
	readonly requestId: string;
	readonly attemptId: string;
	readonly generatedTokens: number;
}>;
/** An attempt ended without a whole answer. */
export type AttemptFailed = TimedEvent<'attempt.failed', {
	readonly requestId: string;
	readonly attemptId: string;
	readonly failure: Failure;
	readonly load: LoadReport | undefined;
	/** Whether the target, and not the request or the queue, is at fault. */
	readonly isTargetFault: boolean;
}>;
/** The caller closed its connection before its answer was whole. */
export type CallerDisconnected = TimedEvent<'caller.left', {readonly requestId: string}>;
/** The platform's instance list was read. */
export type InstancesListed = TimedEvent<'instances.listed', {readonly instances: readonly InstanceRecord[]}>;
/** A sidecar reported its load. */
export type LoadReported = TimedEvent<'load.reported', {readonly load: LoadReport}>;
/** It is time to read loads between answers; each round is an interval after the last. */
export type LoadReadDue = TimedEvent<'load.readDue', {readonly intervalMs: number}>;
/** Time passed. */
export type Tick = TimedEvent<'tick', Record<never, never>>;
/** The process was told to stop. */
export type StopRequested = TimedEvent<'stop.requested', Record<never, never>>;

/** An attempt is being sent: its usage is metered under a number of this entry's own. */
export type UsageStarted = TimedEvent<'usage.started', {
	readonly sequence: number;
	readonly customerId: string;
	readonly serviceId: string;
	/** Start of the window. */
	readonly servedIn: number;
	/** Address of the sidecar. */
	readonly address: string;
}>;
/** A metered attempt ended, whole or not. */
export type UsageEnded = TimedEvent<'usage.ended', {readonly sequence: number; readonly counts: UsageCounts}>;
/** Metered usage is to be stored. */
export type UsageFlushDue = TimedEvent<'usage.flushDue', {readonly isStopping: boolean}>;
/** Time to look for windows to seal and report. */
export type UsageSealDue = TimedEvent<'usage.sealDue', {readonly wallMs: number}>;
/** A call of usage ended. */
export type UsageReplied = TimedEvent<'usage.replied', {readonly callId: string; readonly reply: UsageReply}>;

/** An operator wants a target drained and stopped. */
export type TargetDrainRequested = TimedEvent<'target.drainRequested', {readonly targetId: string}>;

/** Every event of an entry. */
export type EntryEvent
	= | RequestReceived | AttemptAnswered | AttemptFinished | AttemptFailed | CallerDisconnected
		| InstancesListed | LoadReported | LoadReadDue | Tick | StopRequested | TargetDrainRequested
		| UsageStarted | UsageEnded | UsageFlushDue | UsageSealDue | UsageReplied
		| ClaimEvent | ConfigurationEvent | LeaseEvent | FleetEvent;
