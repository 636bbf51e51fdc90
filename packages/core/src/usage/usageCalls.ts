import {type UsageSettlement} from '@damaskspool/shared';

/** A call by which usage is kept, compared or reported. */
export type UsageCall
	= | {readonly kind: 'read'; readonly key: string}
		| {readonly kind: 'list'; readonly prefix: string}
	/** Writes where the stored version is the expected one; zero creates. */
		| {readonly kind: 'write'; readonly key: string; readonly value: unknown; readonly version: number}
		| {readonly kind: 'remove'; readonly key: string; readonly version: number}
	/** Tells a sidecar what is stored, and asks for its figures. */
		| {readonly kind: 'settle'; readonly address: string; readonly settlement: UsageSettlement}
	/** Reports a part of a window to the platform; given up when the authority for it ends. */
		| {readonly kind: 'report'; readonly body: unknown; readonly deadlineMs: number; readonly authorityEndsAtMs: number};

/** An object as a reply carries it. */
export type UsageObject = {
	readonly key: string;
	readonly version: number;
	readonly value: unknown;
};

/** What became of a call. After `failed` it may have taken effect. */
export type UsageReply
	= | {readonly status: 'ok'; readonly version?: number; readonly value?: unknown; readonly objects?: readonly UsageObject[]}
		| {readonly status: 'absent'}
		| {readonly status: 'conflict'}
		| {readonly status: 'failed'};

/** Makes a call of usage; its reply comes back under the same identifier. */
export type SendUsageCall = {readonly type: 'usage.call'; readonly callId: string; readonly call: UsageCall};
