import {type PlanSettings, type RoutingPolicyName} from '@damaskspool/core';
import {type TargetRole} from '@damaskspool/shared';
import {type EngineOptions} from '@damaskspool/stand-ins';

/** Seconds of deployment time per second of a run. Applies to changes of the mix, role changes, dwell times and averages. */
export const TIME_SCALE = 30;
/** Duration of a run: eight minutes of deployment time. */
export const RUN_MS = 16_000;
/**
 * Factor by which the engine is slower, latency objectives are longer and request rates are lower than in the deployment.
 * Slower requests make the delays of a busy machine matter less.
 */
export const REQUEST_SCALE = 3;
/** Latency objective for the first token, scaled to the stand-in engine. */
export const FIRST_TOKEN_GOAL_MS = 720 * REQUEST_SCALE;
/** Latency objective for the mean time between the tokens of a response, scaled to the stand-in engine. */
export const BETWEEN_TOKENS_GOAL_MS = 41 * REQUEST_SCALE;

/** Stand-in engine of the experiment. Its batch holds 8 sequences, each of which adds as much step time as two sequences of a common engine. */
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

/** Planner settings at the time scale of a run. The capacities follow from the cost model of the engine. */
export const SHIFT_PLAN_SETTINGS: Partial<PlanSettings> = {
	capacities: {
		mixed: {prefillTokensRate: 13_000 / REQUEST_SCALE, generatedTokensRate: 258 / REQUEST_SCALE},
		prefill: {prefillTokensRate: 18_000 / REQUEST_SCALE, generatedTokensRate: 73 / REQUEST_SCALE},
		decode: {prefillTokensRate: 4000 / REQUEST_SCALE, generatedTokensRate: 421 / REQUEST_SCALE},
	},
	dwellMs: 10_000,
	roleChangeMs: SHIFT_ENGINE.roleChangeMs,
	backlogMs: 3000,
};

/** How one run chooses targets and plans roles. */
export type ShiftPolicy = {
	readonly routing: RoutingPolicyName;
	/** Chooses the role in which a target starts, by its index in the pool. */
	readonly chooseInitialRole: (index: number) => TargetRole;
	/** Whether roles change: never, by planning on measured demand, or by planning on the known demand of the trace. */
	readonly planner: 'none' | 'measured' | 'told';
	readonly planSettings?: Partial<PlanSettings>;
};

const chooseMixed = (): TargetRole => 'mixed';

/** Policies by name. */
export const SHIFT_POLICIES = {
	ours: {routing: 'expectedTime', chooseInitialRole: chooseMixed, planner: 'measured'},
	oursTold: {routing: 'expectedTime', chooseInitialRole: chooseMixed, planner: 'told'},
	alwaysMixed: {routing: 'expectedTime', chooseInitialRole: chooseMixed, planner: 'none'},
	roundRobin: {routing: 'roundRobin', chooseInitialRole: chooseMixed, planner: 'none'},
	leastOutstanding: {routing: 'leastOutstanding', chooseInitialRole: chooseMixed, planner: 'none'},
	halfAndHalf: {routing: 'fixedSplit', chooseInitialRole: index => index % 2 === 0 ? 'prefill' : 'decode', planner: 'none'},
	noAffinity: {routing: 'noAffinity', chooseInitialRole: chooseMixed, planner: 'measured'},
	noAgeDiscount: {routing: 'noAgeDiscount', chooseInitialRole: chooseMixed, planner: 'measured'},
	noHysteresis: {
		routing: 'expectedTime', chooseInitialRole: chooseMixed, planner: 'measured', planSettings: {hysteresisGain: Number.NEGATIVE_INFINITY, dwellMs: 0},
	},
	noReserve: {
		routing: 'expectedTime', chooseInitialRole: chooseMixed, planner: 'measured', planSettings: {mixedReserveShare: 0},
	},
} as const satisfies Readonly<Record<string, ShiftPolicy>>;

export type ShiftPolicyName = keyof typeof SHIFT_POLICIES;

/** Policies that run if the command names none. */
export const DEFAULT_POLICIES: readonly ShiftPolicyName[] = ['ours', 'oursTold', 'alwaysMixed', 'roundRobin', 'leastOutstanding', 'halfAndHalf'];
/** Policy `ours` and variants that each lack one part. */
export const ABLATION_POLICIES: readonly ShiftPolicyName[] = ['ours', 'noAffinity', 'noAgeDiscount', 'noHysteresis', 'noReserve'];

/** Faults that can be injected during a run. `killThird` kills the sidecar of every third target, `storeDown` makes the store unavailable. */
export const SHIFT_FAULTS = ['none', 'killThird', 'storeDown'] as const;
export type ShiftFault = typeof SHIFT_FAULTS[number];
