/** Work totals of a target at the last sample. */
export type WorkTotals = {
	readonly prefillTokensTotal: number;
	readonly generatedTokensTotal: number;
};

/** State for measuring the demand of the local availability zone. */
export type DemandState = {
	readonly totalsByTarget: Map<string, WorkTotals>;
	sampledAtMs: number | undefined;
};

/** Creates the state of an entry that has not taken a sample yet. */
export function createDemandState(): DemandState {
	return {totalsByTarget: new Map(), sampledAtMs: undefined};
}
