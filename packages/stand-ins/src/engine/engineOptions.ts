import {type TargetRole} from '@damaskspool/shared';

/** Options of an engine; docs/design/0007-engine-model.md describes the cost model behind them. */
export type EngineOptions = {
	readonly port?: number;
	readonly models: readonly string[];
	readonly role?: TargetRole;
	/** Prompt tokens prefilled per millisecond of a step. */
	readonly prefillTokensPerMs?: number;
	/** Base duration of a step, with an empty batch. */
	readonly stepMs?: number;
	/** Additional duration of a step for each decoding sequence. */
	readonly stepPerSequenceMs?: number;
	/** Prefill budget of one step in the role `prefill`, in prompt tokens; the other roles get a share of it. */
	readonly stepPrefillTokens?: number;
	/** Maximum number of sequences in the batch. */
	readonly batchLimit?: number;
	/** Size of the KV cache in blocks, shared by running sequences and the prefix cache. */
	readonly pieces?: number;
	/** Time for which a role change pauses the engine. */
	readonly roleChangeMs?: number;
	/** Time between taking a load report and sending it. */
	readonly reportLagMs?: number;
	/** Time until a cache event becomes visible to clients. */
	readonly cacheEventLagMs?: number;
	/** Drops every n-th cache event; 0 drops none. */
	readonly cacheEventGapEvery?: number;
	/** Tokens whose KV cache is exported or imported per millisecond. */
	readonly transferTokensPerMs?: number;
	/** Whether orders with an outdated fencing token are refused. */
	readonly checksFencing?: boolean;
	/** Time to load a model, an adapter or a version. */
	readonly loadMs?: number;
	/** Substring that identifies an API key in a header, path or body. */
	readonly keyMarker?: string;
};

/** Options with every default filled in. */
export type EngineSettings = Required<Omit<EngineOptions, 'port'>>;

const DEFAULTS = {
	role: 'mixed',
	prefillTokensPerMs: 40,
	stepMs: 4,
	stepPerSequenceMs: 0.2,
	stepPrefillTokens: 1000,
	batchLimit: 16,
	pieces: 64,
	roleChangeMs: 2000,
	reportLagMs: 0,
	cacheEventLagMs: 200,
	cacheEventGapEvery: 0,
	transferTokensPerMs: 200,
	checksFencing: false,
	loadMs: 500,
	keyMarker: 'dmsk_',
} as const;

/** Resolves the options of an engine: fills in the defaults and drops the port. */
export function resolveEngineSettings({port: _port, ...options}: EngineOptions): EngineSettings {
	return {...DEFAULTS, ...options};
}
