/**
 * Fair queueing by virtual token counters. The counter of a customer increases by
 * the cost of the tokens that it consumes, divided by its weight. Work of the
 * waiting customer with the lowest counter runs next. When an idle customer
 * becomes active again, its counter is raised to the lowest counter of the active
 * customers, so that a customer earns no credit while it is idle.
 */

/** Virtual token counters by customer identifier, in prompt tokens. */
export type VirtualTokenCounters = Map<string, number>;

/** Fields of a work item that determine its cost. */
export type CountedWork = {
	readonly customerId: string;
	/** Weight of the customer; 1 if absent. */
	readonly weight?: number;
	readonly prefillTokens: number;
	readonly maxTokens: number;
};

/** Cost of a generated token in prompt tokens: a decode step yields one token of a sequence, a prefill step processes many. */
const GENERATED_TOKEN_COST = 2;

/**
 * Raises the counter of a customer that becomes active to the lowest counter of
 * the active customers, unless it is higher already.
 *
 * @param counters - modified in place
 * @param customerId - customer that had no waiting or running work
 * @param activeIds - customers with waiting or running work
 */
export function recordCustomerActive(counters: VirtualTokenCounters, customerId: string, activeIds: Iterable<string>): void {
	const activeCounters = [...activeIds].filter(id => id !== customerId).map(id => counters.get(id) ?? 0);
	const minCounter = activeCounters.length === 0 ? 0 : Math.min(...activeCounters);
	counters.set(customerId, Math.max(counters.get(customerId) ?? 0, minCounter));
}

/**
 * Charges the customer when its work starts, for the prefill and the maximum
 * number of generated tokens.
 *
 * @param counters - modified in place
 */
export function recordWorkStarted(counters: VirtualTokenCounters, work: CountedWork): void {
	addCost(counters, work, work.prefillTokens + (work.maxTokens * GENERATED_TOKEN_COST));
}

/**
 * Refunds the tokens that the work was charged for but did not generate.
 *
 * @param counters - modified in place
 */
export function recordWorkEnded(counters: VirtualTokenCounters, work: CountedWork, generatedTokens: number): void {
	addCost(counters, work, Math.min(0, generatedTokens - work.maxTokens) * GENERATED_TOKEN_COST);
}

function addCost(counters: VirtualTokenCounters, {customerId, weight = 1}: CountedWork, cost: number): void {
	counters.set(customerId, (counters.get(customerId) ?? 0) + (cost / weight));
}
