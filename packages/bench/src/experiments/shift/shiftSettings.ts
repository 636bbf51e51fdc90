import {type PlanSettings, type RoutingPolicyName} from '@damaskspool/core';
import {type TargetRole} from '@damaskspool/shared';
import {type EngineOptions} from '@damaskspool/stand-ins';

/** Seconds of the deployments that one second of a run stands for, in swings, role changes, dwell times and averages. */
export const TIME_SCALE = 30;
/** Length of a run: eight minutes of the deployments. */
export const RUN_MS = 16_000;
/** Factor by which the stand-in engine is slower than the goals ask, so that delays of a busy machine weigh less. */
export const REQUEST_SCALE = 3;
/** Goal for the first token, scaled to the stand-in. */
export const FIRST_TOKEN_GOAL_MS = 720 * REQUEST_SCALE;
/** Goal for the mean time between tokens of an answer, scaled to the stand-in. */
export const BETWEEN_TOKENS_GOAL_MS = 41 * REQUEST_SCALE;

/** The engine of the experiment: a batch of 8, whose sequences weigh as much as two of a common engine's. */
export const SHIFT_ENGINE = {
	stepMs: 8 * REQUEST_SCALE,
	stepPerSequenceMs: REQUEST_SCALE,
	prefillTokensPerMs: 25 / REQUEST_SCALE,
	stepPrefillTokens: 750,
	batchLimit: 8,
	pieces: 128,
	roleChangeMs: 300,
	reportLagMs: 50,
	cacheEventLagMs: 300,
	cacheEventGapEvery: 50,
} as const satisfies Partial<EngineOptions>;

/** The planner's settings at the scale of the run; capacities follow from the engine's cost model. */
export const SHIFT_PLAN: Partial<PlanSettings> = {
	capacities: {
		mixed: {prefillTokensRate: 13_000 / REQUEST_SCALE, generatedTokensRate: 258 / REQUEST_SCALE},
		prefill: {prefillTokensRate: 18_000 / REQUEST_SCALE, generatedTokensRate: 73 / REQUEST_SCALE},
		decode: {prefillTokensRate: 4000 / REQUEST_SCALE, generatedTokensRate: 421 / REQUEST_SCALE},
	},
	dwellMs: 10_000,
	roleChangeMs: SHIFT_ENGINE.roleChangeMs,
	backlogMs: 3000,
};

/** How one run decides. */
export type ShiftPolicy = {
	readonly routing: RoutingPolicyName;
	/** Role in which each target of a pool begins. */
	readonly firstRole: (index: number) => TargetRole;
	/** Who changes roles: nobody, the planner, or the planner that is told the coming mix. */
	readonly planner: 'none' | 'measured' | 'told';
	readonly plan?: Partial<PlanSettings>;
};

const alwaysMixed = (): TargetRole => 'mixed';

/** Policies that are run side by side. */
export const SHIFT_POLICIES = {
	ours: {routing: 'expectedTime', firstRole: alwaysMixed, planner: 'measured'},
	oursTold: {routing: 'expectedTime', firstRole: alwaysMixed, planner: 'told'},
	alwaysMixed: {routing: 'expectedTime', firstRole: alwaysMixed, planner: 'none'},
	roundRobin: {routing: 'roundRobin', firstRole: alwaysMixed, planner: 'none'},
	leastOutstanding: {routing: 'leastOutstanding', firstRole: alwaysMixed, planner: 'none'},
	halfAndHalf: {routing: 'fixedSplit', firstRole: index => index % 2 === 0 ? 'prefill' : 'decode', planner: 'none'},
	noAffinity: {routing: 'noAffinity', firstRole: alwaysMixed, planner: 'measured'},
	noAgeDiscount: {routing: 'noAgeDiscount', firstRole: alwaysMixed, planner: 'measured'},
	noHysteresis: {
		routing: 'expectedTime', firstRole: alwaysMixed, planner: 'measured', plan: {hysteresisGain: Number.NEGATIVE_INFINITY, dwellMs: 0},
	},
	noReserve: {
		routing: 'expectedTime', firstRole: alwaysMixed, planner: 'measured', plan: {mixedReserveShare: 0},
	},
} as const satisfies Readonly<Record<string, ShiftPolicy>>;

/** Name of a policy of the experiment. */
export type ShiftPolicyName = keyof typeof SHIFT_POLICIES;

/** Policies compared where no others are named. */
export const COMPARED_POLICIES: readonly ShiftPolicyName[] = ['ours', 'oursTold', 'alwaysMixed', 'roundRobin', 'leastOutstanding', 'halfAndHalf'];
/** The policy with one part taken out at a time. */
export const ABLATED_POLICIES: readonly ShiftPolicyName[] = ['ours', 'noAffinity', 'noAgeDiscount', 'noHysteresis', 'noReserve'];

/** What may go wrong in the middle of a run. */
export const SHIFT_FAULTS = ['none', 'killThird', 'storeDown'] as const;
/** See {@link SHIFT_FAULTS}. */
export type ShiftFault = typeof SHIFT_FAULTS[number];
