import {MINUTE_MS, SECOND_MS, type TargetRole} from '@damaskspool/shared';

/** What one target in a role works through in a second. */
export type TokenRates = {
	readonly prefillTokensRate: number;
	readonly generatedTokensRate: number;
};

/** The knobs of the planner; docs/design/0006-policy.md gives the reasons for their values. */
export type PlanSettings = {
	/** Capacity of a target by role. A mixed target does both at once. */
	readonly capacities: Readonly<Record<TargetRole, TokenRates>>;
	/** Time for which a target keeps its role at least. */
	readonly dwellMs: number;
	/** Time for which a role change takes a target out. */
	readonly roleChangeMs: number;
	/** Gain, in capacities of one target, below which no role changes. */
	readonly hysteresisGain: number;
	/** Headroom above which the roles are left as they are: the targets absorb the mix. */
	readonly roleChangeHeadroom: number;
	/** Part of a service's targets that stays mixed, to absorb a swing while no order can be made. */
	readonly mixedReserveShare: number;
	/** Time from the order to start a target until it serves. */
	readonly startLeadMs: number;
	/** Headroom below which a target is started. */
	readonly startHeadroom: number;
	/** Headroom that must be left after a stop. */
	readonly stopHeadroom: number;
	/** Targets of a service that are never stopped. */
	readonly minTargets: number;
	/** Time in which a backlog of prompts is to be worked off. */
	readonly backlogMs: number;
};

/** Default knobs of the planner. */
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
