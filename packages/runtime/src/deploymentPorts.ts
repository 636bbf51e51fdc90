import {type IncomingMessage} from 'node:http';
import {
	type CallRecord, type SendServingAttempt, type ServingConfiguration, type Stage, type TargetRecord, type UsageCountsByCustomer,
} from '@damaskspool/core';
import {type Failure, type Result} from '@damaskspool/shared';

/** What an entry needs of the platform that it runs on; an adapter implements it. */

/** A change of an object, or the object as it is. */
export type MetadataObject = {
	readonly name: string;
	/** Version of this object's last change; rises over all objects of the store. */
	readonly version: number;
	readonly value: unknown;
	readonly isRemoved: boolean;
};

/** Objects of a kind, or the changes of a kind, with the version up to which they are complete. */
export type MetadataPage = {readonly version: number; readonly objects: readonly MetadataObject[]};

/** The store in which everything lies that must outlast a process. Every failure is a value. */
export type MetadataStore = {
	readonly list: (kind: string) => Promise<Result<MetadataPage, Failure>>;
	/** Waits for changes after a version; code `historyGone` where they are no longer kept. */
	readonly watch: (kind: string, afterVersion: number) => Promise<Result<MetadataPage, Failure>>;
	readonly read: (kind: string, name: string) => Promise<Result<MetadataObject | undefined, Failure>>;
	/** Writes where the stored version is the expected one; zero creates. A lost reply is `storeUnavailable`. */
	readonly write: (kind: string, name: string, value: unknown, expectedVersion: number) => Promise<Result<number, Failure>>;
	readonly close: () => Promise<void>;
};

/** A request of a caller as its head tells it. */
export type CallerRequest = {
	readonly call: Omit<CallRecord, 'bodyBytes' | 'fingerprint'>;
	readonly method: string;
	/** Headers that a target may see, in turns name and value. */
	readonly headers: readonly string[];
	/** Last event that the caller has of a stream that it resumes. */
	readonly lastEventId: string | undefined;
};

/** What the head of a target's answer tells. */
export type ResponseHead = {
	/** The target proves that it did not run the request. */
	readonly isNotRun: boolean;
	/** Request that the answer belongs to. */
	readonly requestId: string | undefined;
	/** The target's signature is there. */
	readonly isSigned: boolean;
	/** Headers for the caller, in turns name and value. */
	readonly headers: readonly string[];
};

/** Everything of the platform, in the product's words. */
export type DeploymentPorts = {
	readonly store: MetadataStore;
	/** Kinds and names of the objects that the platform and the system keep in the store. */
	readonly objects: {
		readonly configuration: {readonly kind: string; readonly name: string};
		readonly targets: string;
		readonly entries: string;
		readonly leases: string;
		readonly usage: {readonly kind: string; readonly name: string};
	};
	readonly parseConfiguration: (value: unknown) => Result<ServingConfiguration, Failure>;
	readonly parseTarget: (name: string, value: unknown) => Result<TargetRecord, Failure>;
	readonly parseCallerRequest: (request: IncomingMessage) => CallerRequest;
	readonly parseResponseHead: (status: number, headers: Readonly<Record<string, string | string[] | undefined>>) => ResponseHead;
	/** Headers of an attempt, in turns name and value. */
	readonly formatAttemptHeaders: (send: SendServingAttempt, request: CallerRequest, lastEventId: string | undefined) => string[];
	/** Handle in the answer to a prompt that was read apart. */
	readonly parsePrefillResponse: (body: string) => string | undefined;
	readonly refusalHeaders: (retryAfterMs: number | undefined) => Readonly<Record<string, string>>;
	readonly readinessPath: string;
	readonly freeHandle: (address: string, handleId: string) => Promise<number | undefined>;
	readonly orderStage: (order: {readonly target: TargetRecord; readonly stage: Stage; readonly holder: string; readonly fence: number}) => Promise<number | undefined>;
	/** Status of the platform's answer, or undefined where none came. */
	readonly reportUsage: (report: {readonly windowId: number; readonly counts: UsageCountsByCustomer; readonly holder: string; readonly fence: number}) => Promise<number | undefined>;
	readonly close: () => Promise<void>;
};

/** What an entry is told at its start. */
export type DirectEntrySettings = {
	readonly instanceId: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly ip: string;
	/** Ports on which entries talk to one another. */
	readonly peerPorts: readonly [first: number, last: number];
	readonly callerAddress: string;
	readonly readinessAddress: string;
	readonly graceMs: number;
	readonly usageWindowMs: number;
	readonly leaseMs: number;
	readonly repeatShare: number;
	readonly repeatAllowance: number;
	readonly budgetWindowMs: number;
};
