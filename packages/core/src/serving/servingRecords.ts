import {type AllotmentRecord} from '../allotments/allotmentRecord.js';

/** Records decoded from the platform's objects, for deployments whose entries send to targets directly. */

/** Stages of an engine with disaggregated prefill. */
export const STAGES = {
	/** Prefills prompts at full speed and does not decode. */
	prefill: 'prefill',
	/** Decodes, and prefills prompts at a reduced speed between decode steps. */
	decode: 'decode',
} as const;

/** One of {@link STAGES}. */
export type Stage = typeof STAGES[keyof typeof STAGES];

/** Kinds of a route, by how often a request may run. */
export const ROUTE_KINDS = {
	/** May run any number of times. */
	safe: 'safe',
	/** May run at most once. */
	unsafe: 'unsafe',
	/** Responds with server-sent events. May run at most once unless the route is resumable. */
	stream: 'stream',
} as const;

/** One of {@link ROUTE_KINDS}. */
export type RouteKind = typeof ROUTE_KINDS[keyof typeof ROUTE_KINDS];

/** Registration of one incarnation of a target. */
export type TargetRecord = {
	readonly targetId: string;
	readonly serviceId: string;
	/** `ip:port`. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Version of the target's software. A stream cannot go on at another version. */
	readonly softwareVersion: string;
	/** Number of requests that the target runs concurrently. */
	readonly slots: number;
	/** Whether the target is about to stop and takes no new requests. */
	readonly isLeaving: boolean;
	/** Only defined for engines with disaggregated prefill. */
	readonly stage: Stage | undefined;
	/** Start of this incarnation in wall-clock milliseconds. A later incarnation may reuse the identifier. */
	readonly startedAtMs: number;
};

/** Load that a target states in the head of an answer. */
export type TargetLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Time that work takes at this moment, as a multiple of the usual time: the target shares its machine. Undefined if the target does not tell. */
	readonly workTimeFactor: number | undefined;
};

/** What a target says about itself in the head of an answer. */
export type TargetNotice = {
	/** Whether the target is about to stop. */
	readonly isLeaving: boolean;
	/** Time for which the target wants no request from this entry; zero if it does not ask for a pause. */
	readonly pauseMs: number;
	/**
	 * Requests per second that the target takes from all entries together. `Infinity` if the answer names no limit,
	 * undefined if it does not tell.
	 */
	readonly requestsPerSecond?: number | undefined;
	/** Undefined if the target states no load. */
	readonly load?: TargetLoad | undefined;
};

/** A service that receives a share of a route's requests. */
export type RouteShare = {readonly serviceId: string; readonly weight: number};

/** A route of the configuration. */
export type RouteRecord = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Maximum time from the arrival of a call to its complete response. */
	readonly timeoutMs: number;
	/** Latency objective: time until the response, or until the first event of a stream. */
	readonly goalMs: number;
	/** Longest pause between two events of a stream that is still on time. Zero if omitted. */
	readonly gapMs?: number | undefined;
	/** Maximum number of targets to which one request is sent. */
	readonly attemptLimit: number;
	/** Zero is served first. */
	readonly priority: number;
	/** Whether callers need no API key. */
	readonly isOpen: boolean;
	/** Whether a stream may continue on another target. */
	readonly isResumable: boolean;
	readonly shares: readonly RouteShare[];
};

/** Engine parameters of a service whose targets are model engines. */
export type EngineRecord = {
	/** KV cache capacity of one target, in tokens. */
	readonly kvCapacityTokens: number;
	/** KV cache size of one token. */
	readonly kvBytesPerToken: number;
	/** Bandwidth of the link over which KV cache is copied between targets. */
	readonly linkMbps: number;
};

/** A service of the configuration. */
export type ServiceRecord = {
	readonly serviceId: string;
	/** Maximum number of connections to one target, from all callers together. */
	readonly connectionLimit: number;
	readonly engine: EngineRecord | undefined;
};

/** Limits on requests of callers. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** Customer of an API key. */
export type KeyOwner = {readonly customerId: string; readonly priority: number | undefined};

/** One accepted version of the complete configuration. */
export type ServingConfiguration = {
	readonly version: number;
	readonly routes: readonly RouteRecord[];
	readonly services: ReadonlyMap<string, ServiceRecord>;
	readonly limits: CallerLimits;
	/** Undefined if the configuration names no customers. No route needs a key then. */
	readonly ownersByKey: ReadonlyMap<string, KeyOwner> | undefined;
	/** Limits of customers over all entries. Those without one may use any number of requests. */
	readonly allotments?: ReadonlyMap<string, AllotmentRecord>;
};

/** A part of a prompt. Requests with the same leading parts can share their KV cache. */
export type PromptPart = {readonly partId: string; readonly tokens: number};

/** Prompt of a generation request, as its headers describe it. */
export type PromptRecord = {
	readonly tokens: number;
	readonly maxOutputTokens: number;
	/** In order from the start of the prompt. The last part belongs only to this request or its session. */
	readonly parts: readonly PromptPart[];
};
