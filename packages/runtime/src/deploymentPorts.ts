/** Interface between an entry and the platform that it runs on. A platform adapter implements it. */
import {type IncomingMessage} from 'node:http';
import {
	type AllotmentTolerance, type CallRequest, type SendServingAttempt, type ServingConfiguration, type Stage, type TargetNotice, type TargetRecord, type UsageCountsByCustomer,
} from '@damaskspool/core';
import {type Failure, type Result} from '@damaskspool/shared';

/** Object of the metadata store, in its current state or as of a change. */
export type MetadataObject<Value = unknown> = {
	readonly name: string;
	/** Version of the object's last change. Versions increase across all objects and eras of the store; see `toStoreVersion`. */
	readonly version: number;
	/** Undefined if the change removed the object. */
	readonly value: Value | undefined;
	/** Whether the change removed the object. */
	readonly isRemoved: boolean;
};

/** Objects or changes of one kind. */
export type MetadataPage<Value = unknown> = {
	/** Version up to which the objects or changes are complete. */
	readonly version: number;
	readonly objects: ReadonlyArray<MetadataObject<Value>>;
	/** Whether the reply to a watch came later than the store may hold it open. */
	readonly isLate?: boolean;
};

/** Options of a call that returns several objects. */
export type ReadObjectsOptions<Value> = {
	/**
	 * Converts the content of each object before the next one is parsed, so that contents which are dropped never take
	 * memory together. The contents are returned as they are if it is omitted.
	 */
	readonly parseValue?: (name: string, value: unknown) => Value;
};

/** Store for all data that must outlive a process. Errors are returned as values. */
export type MetadataStore = {
	/** Returns all objects of a kind. With `mayBeStale`, the list may be seconds old, and costs the store less. */
	readonly list: <Value = unknown>(kind: string, options?: ReadObjectsOptions<Value> & {readonly mayBeStale?: boolean}) => Promise<Result<MetadataPage<Value>, Failure>>;
	/**
	 * Waits for changes after a version. Fails with `historyGone` if the store no longer has them or is in a later era, with
	 * `watchCut` if it ended the connection while it held the watch open, and with `connectionLost` if it ended it at once.
	 */
	readonly watch: <Value = unknown>(kind: string, afterVersion: number, options?: ReadObjectsOptions<Value>) => Promise<Result<MetadataPage<Value>, Failure>>;
	/** Returns an object, or undefined if it does not exist. */
	readonly read: (kind: string, name: string) => Promise<Result<MetadataObject | undefined, Failure>>;
	/**
	 * Writes an object if its stored version equals the expected one, and returns the new version. Version 0 creates the object.
	 * Fails with `versionConflict` if the version differs, and with `storeUnavailable` if the store fails or does not reply. In the latter case the write may have taken effect.
	 */
	readonly write: (kind: string, name: string, value: unknown, expectedVersion: number) => Promise<Result<number, Failure>>;
	/**
	 * Calls a listener with the first era that a reply states, and with each later one, before any result of that era is
	 * returned. Results of earlier eras are not returned after that.
	 */
	readonly listenForEras: (listener: (era: number) => void) => void;
	/** Records an era that a peer has seen. */
	readonly recordEra: (era: number) => void;
	readonly close: () => Promise<void>;
};

/** A caller's request, parsed from its head. The body is not read yet. */
export type CallerRequest = {
	readonly call: Omit<CallRequest, 'bodyBytes' | 'fingerprint'>;
	readonly method: string;
	/** Headers to forward to the target, as alternating names and values that are separated by line feeds. One string takes a small part of the memory of many. */
	readonly headerLines: string;
	/** Identifier of the last event that the caller received, if it resumes a stream. */
	readonly lastEventId: string | undefined;
};

/** Headers of a response, with names in lower case. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Parsed head of a target's response. */
export type ResponseHead = {
	/** Whether the head proves that the target did not run the request. */
	readonly isNotRun: boolean;
	/** Identifier of the request to which the response belongs. */
	readonly requestId: string | undefined;
	/** What the target says about itself. */
	readonly notice: TargetNotice;
	/** Whether the response carries the target's signature header. */
	readonly isSigned: boolean;
	/** Headers to forward to the caller, as alternating names and values. */
	readonly headers: readonly string[];
};

/** Answer of a target to a control call. */
export type TargetReply = {readonly status: number; readonly notice: TargetNotice};

/** Authority under which a control call is made. */
type CallAuthority = {
	readonly holder: string;
	readonly fence: number;
	/** Remaining term of the duty: a call that is still waiting then is given up. */
	readonly timeoutMs: number;
};

/** Order that changes the stage of a target. */
export type StageOrder = CallAuthority & {readonly target: TargetRecord; readonly stage: Stage};

/** Report of the usage of a window. */
export type UsageReport = CallAuthority & {readonly windowId: number; readonly counts: UsageCountsByCustomer};

/** Functions and data of the platform, in terms of this system. */
export type DeploymentPorts = {
	readonly store: MetadataStore;
	/** Kinds of the objects in the store, and the names of the objects that exist once. */
	readonly objects: {
		readonly configuration: {readonly kind: string; readonly name: string};
		readonly targets: string;
		readonly entries: string;
		readonly leases: string;
		readonly usage: {readonly kind: string; readonly name: string};
		/** Software versions at which streams may have begun. */
		readonly versions: {readonly kind: string; readonly name: string};
		/** Prompt parts that crash targets. */
		readonly quarantinedParts: {readonly kind: string; readonly name: string};
	};
	readonly parseConfiguration: (value: unknown) => Result<ServingConfiguration, Failure>;
	readonly parseTarget: (name: string, value: unknown) => Result<TargetRecord, Failure>;
	readonly parseCallerRequest: (request: IncomingMessage) => CallerRequest;
	readonly parseResponseHead: (status: number, headers: ResponseHeaders) => ResponseHead;
	/** Returns the headers of an attempt, as alternating names and values. `lastEventId` is set if the attempt resumes a stream. */
	readonly formatAttemptHeaders: (send: SendServingAttempt, request: CallerRequest, lastEventId: string | undefined) => string[];
	/** Fields that events of targets may have beside those of the specification of server-sent events. */
	readonly extraEventFields: ReadonlySet<string>;
	/** Returns the KV cache handle from the body of a disaggregated prefill's response, or undefined if it contains none. */
	readonly parsePrefillResponse: (body: string) => string | undefined;
	/** Returns the headers with which a refusal states the retry delay. Returns none if `retryAfterMs` is undefined. */
	readonly formatRefusalHeaders: (retryAfterMs: number | undefined) => Readonly<Record<string, string>>;
	readonly readinessPath: string;
	/** Releases a KV cache handle at a target. Returns undefined if no response arrived. */
	readonly releaseKvHandle: (address: string, handleId: string) => Promise<TargetReply | undefined>;
	/** Orders a target to change its stage. `fence` is the fencing token of the duty, and the call ends after `timeoutMs`. Returns undefined if no response arrived. */
	readonly orderStage: (order: StageOrder) => Promise<TargetReply | undefined>;
	/** Reports the usage of a window to the platform. `fence` is the fencing token of the duty, and the call ends after `timeoutMs`. Returns the HTTP status, or undefined if no response arrived. */
	readonly reportUsage: (report: UsageReport) => Promise<number | undefined>;
	readonly close: () => Promise<void>;
};

/** Settings that the platform passes to an entry at startup. */
export type DirectEntrySettings = {
	readonly instanceId: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly ip: string;
	/** Port range for communication between entries. */
	readonly peerPorts: readonly [first: number, last: number];
	/** `ip:port` at which callers' requests are received. */
	readonly callerAddress: string;
	/** `ip:port` of the readiness check. */
	readonly readinessAddress: string;
	/** Time between the stop signal and the end of the process, in which running calls may complete. */
	readonly graceMs: number;
	readonly usageWindowMs: number;
	/** Term of a lease. */
	readonly leaseMs: number;
	/** Retry budget of a service: retries in a budget window as a share of its requests. */
	readonly retryRatio: number;
	/** Retries of a service in a budget window that are allowed in addition to `retryRatio`, over all entries. */
	readonly retryAllowance: number;
	readonly budgetWindowMs: number;
	/** By how much the use of customers may exceed their allotments; by nothing if the platform does not say. */
	readonly allotmentTolerance?: AllotmentTolerance | undefined;
	/** Memory of the instance; undefined if the platform states none. */
	readonly memoryBytes?: number | undefined;
	/** File descriptors that the process may have open; undefined if the platform states none. */
	readonly maxDescriptors?: number | undefined;
};
