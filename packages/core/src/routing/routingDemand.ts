import {type RequestRecord} from '../request/requestRecord.js';

/** What the choice of a target needs to know of a request. */
export type RoutingDemand = {
	readonly serviceId: string;
	/** Model, adapter and version asked for; undefined for a plain service. */
	readonly modelId: string | undefined;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Targets already tried, which are not tried again. */
	readonly excludedTargetIds: ReadonlySet<string>;
	/** Hashes of the prompt's prefixes that fill whole memory pieces, shortest first. */
	readonly prefixHashes?: readonly string[];
	/** Random 32-bit number that came in with the request. */
	readonly randomSeed?: number;
	/** Goal of the service for the time to first token. */
	readonly firstTokenGoalMs: number;
	/** Goal of the service for the time between tokens. */
	readonly betweenTokensGoalMs: number;
};

/**
 * Sums up a request for the choice of its next target.
 *
 * @param record - the request
 * @returns what the choice needs to know
 */
export function toRoutingDemand({facts, service, triedTargetIds}: RequestRecord): RoutingDemand {
	return {
		serviceId: service.serviceId,
		modelId: service.kind === 'model' ? facts.modelId : undefined,
		promptTokens: facts.promptTokens,
		maxTokens: facts.maxTokens,
		excludedTargetIds: triedTargetIds,
		firstTokenGoalMs: service.firstTokenGoalMs,
		betweenTokensGoalMs: service.betweenTokensGoalMs,
		...(facts.prefixHashes !== undefined && {prefixHashes: facts.prefixHashes}),
		...(facts.randomSeed !== undefined && {randomSeed: facts.randomSeed}),
	};
}
