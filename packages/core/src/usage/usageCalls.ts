import {type UsageSettlement} from '@damaskspool/shared';

/** A call that stores, compares or reports usage. */
export type UsageCall
	= | {readonly kind: 'read'; readonly key: string}
		| {readonly kind: 'list'; readonly prefix: string}
	/** Writes if the stored version equals `version`; version zero creates the object. */
		| {readonly kind: 'write'; readonly key: string; readonly value: unknown; readonly version: number}
		| {readonly kind: 'remove'; readonly key: string; readonly version: number}
	/** Reports stored attempts to a sidecar and requests its figures for others. */
		| {readonly kind: 'settle'; readonly address: string; readonly settlement: UsageSettlement}
	/** Reports a part of a window to the platform. The call is abandoned at `authorityEndsAtMs`. */
		| {readonly kind: 'report'; readonly body: unknown; readonly deadlineMs: number; readonly authorityEndsAtMs: number};

/** A stored object in a reply. */
export type UsageObject = {
	readonly key: string;
	readonly version: number;
	readonly value: unknown;
};

/** The result of a call. A call that `failed` may still have taken effect. */
export type UsageReply
	= | {readonly status: 'ok'; readonly version?: number; readonly value?: unknown; readonly objects?: readonly UsageObject[]}
		| {readonly status: 'absent'}
		| {readonly status: 'conflict'}
		| {readonly status: 'failed'};

/** Makes a usage call. Its reply arrives with the same `callId`. */
export type SendUsageCall = {readonly type: 'usage.call'; readonly callId: string; readonly call: UsageCall};
