import {type TargetRole} from '@damaskspool/shared';

/** Options of an engine; docs/design/0007-engine-model.md gives the cost model that they set. */
export type EngineOptions = {
	readonly port?: number;
	readonly models: readonly string[];
	readonly role?: TargetRole;
	/** Prompt tokens that are worked through in a millisecond of a step. */
	readonly prefillTokensPerMs?: number;
	/** Time of a step with an empty batch. */
	readonly stepMs?: number;
	/** Added time of a step for each sequence that decodes. */
	readonly stepPerSequenceMs?: number;
	/** Prompt tokens of one step in role prefill; other roles take a share of them. */
	readonly stepPrefillTokens?: number;
	/** Sequences in the batch at most. */
	readonly batchLimit?: number;
	/** KV cache memory in pieces, shared by running sequences and the prefix cache. */
	readonly pieces?: number;
	/** Time for which a role change takes the engine out. */
	readonly roleChangeMs?: number;
	/** Time by which the load report lags. */
	readonly reportLagMs?: number;
	/** Time by which cache events lag. */
	readonly cacheEventLagMs?: number;
	/** Every so many cache events one is lost; 0 loses none. */
	readonly cacheEventGapEvery?: number;
	/** Tokens whose KV cache is exported or imported in a millisecond. */
	readonly transferTokensPerMs?: number;
	/** Whether orders with an old fencing number are refused. */
	readonly checksFencing?: boolean;
	/** Time that it takes to load a model, adapter or version. */
	readonly loadMs?: number;
	/** Text by which an API key is known wherever it turns up. */
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

/**
 * Fills in the defaults of an engine's options.
 *
 * @param options - what differs from the defaults
 * @returns all settings
 */
export function resolveEngineSettings({port: _port, ...options}: EngineOptions): EngineSettings {
	return {...DEFAULTS, ...options};
}
