/** Work totals of a target when they were last read. */
export type WorkTotals = {
	readonly prefillTokensTotal: number;
	readonly generatedTokensTotal: number;
};

/** What an entry keeps to measure the demand of its availability zone. */
export type DemandState = {
	readonly totalsByTarget: Map<string, WorkTotals>;
	sampledAtMs: number | undefined;
};

/**
 * Creates the state of an entry that has measured nothing.
 *
 * @returns the state
 */
export function createDemandState(): DemandState {
	return {totalsByTarget: new Map(), sampledAtMs: undefined};
}
