/** Work totals of a target when they were last read. */
export type CountedTotals = {
	readonly prefillTokensTotal: number;
	readonly generatedTokensTotal: number;
};

/** What an entry keeps to measure the demand of its availability zone. */
export type DemandState = {
	readonly counted: Map<string, CountedTotals>;
	sampledAtMs: number | undefined;
};

/**
 * Creates the state of an entry that has measured nothing.
 *
 * @returns the state
 */
export function createDemandState(): DemandState {
	return {counted: new Map(), sampledAtMs: undefined};
}
