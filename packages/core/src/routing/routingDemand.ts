import {type RequestRecord} from '../request/requestRecord.js';

/** Properties of a request that the choice of its target depends on. */
export type RoutingDemand = {
	readonly serviceId: string;
	/** Requested model, adapter and version, or undefined for a plain service. */
	readonly modelId: string | undefined;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Targets that must not be chosen, such as those of earlier attempts. */
	readonly excludedTargetIds: ReadonlySet<string>;
	/** Hashes of the prompt's prefixes that fill complete KV cache blocks, shortest prefix first. */
	readonly prefixHashes?: readonly string[];
	/** Random 32-bit number that was passed in with the request. */
	readonly randomSeed?: number;
	/** The service's latency objective for the time to first token. */
	readonly firstTokenGoalMs: number;
	/** The service's latency objective for the time between tokens. */
	readonly betweenTokensGoalMs: number;
};

/** Converts a request record to the demand for its next attempt. Targets of earlier attempts are excluded. */
export function toRoutingDemand({attributes, service, triedTargetIds}: RequestRecord): RoutingDemand {
	return {
		serviceId: service.serviceId,
		modelId: service.kind === 'model' ? attributes.modelId : undefined,
		promptTokens: attributes.promptTokens,
		maxTokens: attributes.maxTokens,
		excludedTargetIds: triedTargetIds,
		firstTokenGoalMs: service.firstTokenGoalMs,
		betweenTokensGoalMs: service.betweenTokensGoalMs,
		...(attributes.prefixHashes !== undefined && {prefixHashes: attributes.prefixHashes}),
		...(attributes.randomSeed !== undefined && {randomSeed: attributes.randomSeed}),
	};
}
