/**
 * Fair queueing by virtual token counters: each customer's counter rises by the
 * tokens that it is served, divided by its weight, and the waiting customer with
 * the lowest counter is next. A customer that comes back from idling is lifted
 * to the lowest counter among the active ones, so that idling earns no credit.
 */

/** Counters by customer. */
export type VirtualTokenCounters = Map<string, number>;

/** What a counter needs to know of a piece of work. */
export type CountedWork = {
	readonly customerId: string;
	/** Share of the customer; 1 where left out. */
	readonly weight?: number;
	readonly prefillTokens: number;
	readonly maxTokens: number;
};

/** Cost of a generated token in prompt tokens: a decode step serves one token where a prefill step serves many. */
const GENERATED_TOKEN_COST = 2;

/**
 * Lifts the counter of a customer that becomes active.
 *
 * @param counters - counters of a sidecar, changed
 * @param customerId - customer that had nothing waiting or running
 * @param activeIds - customers that have
 */
export function recordCustomerActive(counters: VirtualTokenCounters, customerId: string, activeIds: Iterable<string>): void {
	const activeCounters = [...activeIds].filter(id => id !== customerId).map(id => counters.get(id) ?? 0);
	const minCounter = activeCounters.length === 0 ? 0 : Math.min(...activeCounters);
	counters.set(customerId, Math.max(counters.get(customerId) ?? 0, minCounter));
}

/**
 * Charges work that starts with all that it may generate.
 *
 * @param counters - counters of a sidecar, changed
 * @param work - the work
 */
export function recordWorkStarted(counters: VirtualTokenCounters, work: CountedWork): void {
	addCost(counters, work, work.prefillTokens + (work.maxTokens * GENERATED_TOKEN_COST));
}

/**
 * Gives back what work was charged for and did not generate.
 *
 * @param counters - counters of a sidecar, changed
 * @param work - the work
 * @param generatedTokens - tokens that it did generate
 */
export function recordWorkEnded(counters: VirtualTokenCounters, work: CountedWork, generatedTokens: number): void {
	addCost(counters, work, Math.min(0, generatedTokens - work.maxTokens) * GENERATED_TOKEN_COST);
}

function addCost(counters: VirtualTokenCounters, {customerId, weight = 1}: CountedWork, cost: number): void {
	counters.set(customerId, (counters.get(customerId) ?? 0) + (cost / weight));
}
