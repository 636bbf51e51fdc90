/** Records of a deployment whose entries send to targets directly: what the platform says, decoded once. */

/** Stages of an engine that splits reading a prompt from generating. */
export const STAGES = {
	/** Reads prompts at full speed and generates nothing. */
	prefill: 'prefill',
	/** Generates, and reads prompts at a reduced speed between the tokens of others. */
	decode: 'decode',
} as const;

/** One of {@link STAGES}. */
export type Stage = typeof STAGES[keyof typeof STAGES];

/** Kinds of a route: what may be repeated. */
export const ROUTE_KINDS = {
	/** May run any number of times. */
	safe: 'safe',
	/** May run once at most. */
	unsafe: 'unsafe',
	/** Server-sent events; may run once at most unless the route is resumable. */
	stream: 'stream',
} as const;

/** One of {@link ROUTE_KINDS}. */
export type RouteKind = typeof ROUTE_KINDS[keyof typeof ROUTE_KINDS];

/** One incarnation of a target, as it registered itself. */
export type TargetRecord = {
	readonly targetId: string;
	readonly serviceId: string;
	/** `ip:port`. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Requests that it runs at once. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Present on engines that split stages. */
	readonly stage: Stage | undefined;
	/** Start of this incarnation, wall-clock milliseconds; the identifier may be used again by a later one. */
	readonly startedAtMs: number;
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
	/** Longest time that a caller is kept waiting for the whole answer. */
	readonly timeoutMs: number;
	/** Time within which an answer, or a stream's first event, has its full value. */
	readonly goalMs: number;
	/** Most targets that one request may be sent to. */
	readonly attemptLimit: number;
	/** Rank, zero first. */
	readonly priority: number;
	/** Callers need no key. */
	readonly isOpen: boolean;
	/** Whether a stream may go on at another target. */
	readonly isResumable: boolean;
	readonly shares: readonly RouteShare[];
};

/** Figures of a service whose targets are model engines. */
export type EngineRecord = {
	/** Tokens that fit into a target's memory. */
	readonly kvCapacityTokens: number;
	/** KV cache of one token. */
	readonly kvBytesPerToken: number;
	/** Link over which KV cache is copied between targets. */
	readonly linkMbps: number;
};

/** A service of the configuration. */
export type ServiceRecord = {
	readonly serviceId: string;
	/** Connections that one target accepts from all callers together. */
	readonly connectionLimit: number;
	readonly engine: EngineRecord | undefined;
};

/** Bounds on what callers may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** Customer of an API key. */
export type KeyOwner = {readonly customerId: string; readonly priority: number | undefined};

/** One accepted version of the whole configuration. */
export type ServingConfiguration = {
	readonly version: number;
	readonly routes: readonly RouteRecord[];
	readonly services: ReadonlyMap<string, ServiceRecord>;
	readonly limits: CallerLimits;
	/** Undefined where the configuration names no customers, so that no route needs a key. */
	readonly ownersByKey: ReadonlyMap<string, KeyOwner> | undefined;
};

/** A part of a prompt; requests that share it share its KV cache. */
export type PromptPart = {readonly partId: string; readonly tokens: number};

/** What a request for a generation says of its prompt. */
export type PromptRecord = {
	/** Tokens of the whole prompt. */
	readonly tokens: number;
	/** Most tokens that may be generated. */
	readonly maxOutputTokens: number;
	/** In order from the start of the prompt; the last belongs to this request or its session alone. */
	readonly parts: readonly PromptPart[];
};
