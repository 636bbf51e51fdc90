import {MINUTE_MS, SECOND_MS, type TargetRole} from '@damaskspool/shared';

/** Tokens per second, as the capacity of one target or the demand for a service. */
export type TokenRates = {
	readonly prefillTokensRate: number;
	readonly generatedTokensRate: number;
};

/** Settings of the planner. docs/design/0006-policy.md gives the reasons for their values. */
export type PlanSettings = {
	/** Capacity of a target by role. A mixed target provides both rates at the same time. */
	readonly capacities: Readonly<Record<TargetRole, TokenRates>>;
	/** Minimum time for which a target keeps its role. */
	readonly dwellMs: number;
	/** Time for which a role change takes a target out of service. */
	readonly roleChangeMs: number;
	/** Minimum gain of a role change, in capacities of one target, in addition to the costs of the change. */
	readonly hysteresisGain: number;
	/** Headroom at or above which no role changes, because the targets absorb the workload mix. */
	readonly roleChangeHeadroom: number;
	/** Share of a service's targets that stays mixed, to absorb a change of the workload mix while no order can be given. */
	readonly mixedReserveShare: number;
	/** Time from the order to start a target until it serves. */
	readonly startLeadMs: number;
	/** Headroom below which a target is started. */
	readonly startHeadroom: number;
	/** Headroom that must remain after a stop. */
	readonly stopHeadroom: number;
	/** Minimum number of targets of a service that remain after a stop. */
	readonly minTargets: number;
	/** Time within which queued prompts are to be processed. */
	readonly backlogMs: number;
};

export const DEFAULT_PLAN_SETTINGS: PlanSettings = {
	capacities: {
		mixed: {prefillTokensRate: 12_000, generatedTokensRate: 500},
		prefill: {prefillTokensRate: 18_000, generatedTokensRate: 100},
		decode: {prefillTokensRate: 4000, generatedTokensRate: 800},
	},
	dwellMs: 10 * MINUTE_MS,
	roleChangeMs: 10 * SECOND_MS,
	hysteresisGain: 0.2,
	roleChangeHeadroom: 1.5,
	mixedReserveShare: 0.25,
	startLeadMs: 3 * MINUTE_MS,
	startHeadroom: 1.25,
	stopHeadroom: 2,
	minTargets: 1,
	backlogMs: 10 * SECOND_MS,
};
