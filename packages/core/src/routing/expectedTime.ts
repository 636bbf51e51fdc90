import {type TargetRole, TOKENS_PER_KV_BLOCK} from '@damaskspool/shared';
import {type TargetView} from '../membership/membershipState.js';
import {countCachedPrefixes} from './prefixIndex.js';
import {getLocalLoad, type RoutingState} from './routingState.js';
import {type RoutingDemand} from './routingDemand.js';

/** Expected speed of a target in a given role. The target's slowness corrects it once the entry has observed responses. */
type RoleSpeed = {
	readonly prefillTokensPerMs: number;
	/** Duration of an engine step whose batch includes prefill. */
	readonly stepMs: number;
};

const ROLE_SPEEDS: Readonly<Record<TargetRole, RoleSpeed>> = {
	mixed: {prefillTokensPerMs: 13, stepMs: 30},
	prefill: {prefillTokensPerMs: 17, stepMs: 48},
	decode: {prefillTokensPerMs: 6, stepMs: 14},
};
/** Additional time between tokens for each sequence in the batch. */
const SEQUENCE_STEP_MS = 0.5;
/** Time in which the weight of a load report decays to 1/e. */
const REPORT_DECAY_MS = 2000;
/** Expected wait if the KV cache blocks of the request exceed the target's free blocks. */
const KV_CACHE_WAIT_MS = 250;
/** Time added for a target in another availability zone. It covers two crossings between zones and the price of the traffic. */
const OTHER_ZONE_PENALTY_MS = 5;
/** Minimum and maximum slowness. A single outlier must neither exclude a target nor attract all requests to it. */
const SLOWNESS_BOUNDS = [0.5, 4] as const;
/** Weight of the latest response in the moving average of a target's slowness. */
const SLOWNESS_GAIN = 0.2;

/** Options of {@link computeExpectedTime}. */
export type ExpectedTimeOptions = {
	readonly routing: RoutingState;
	readonly target: TargetView;
	readonly demand: RoutingDemand;
	readonly availabilityZone: string;
	readonly nowMs: number;
	/** Whether cached prefixes of the prompt are taken into account. */
	readonly usesAffinity: boolean;
	/** Whether the load report counts for less as it ages. */
	readonly usesAgeDiscount: boolean;
};

/** Expected times at one target. */
export type ExpectedTime = {
	readonly firstTokenMs: number;
	readonly betweenTokensMs: number;
	/** Prompt tokens that the target would prefill, without the cached ones. */
	readonly prefillTokens: number;
	/** Cost by which targets are compared: the sum of the expected times, each divided by its latency objective, plus a penalty for slow tokens. */
	readonly cost: number;
};

/**
 * Computes the expected latency of a request at a target. The time to first token
 * follows from the queued prefill tokens and the uncached tokens of the request's
 * own prompt. The time between tokens follows from the target's role and its batch
 * size.
 */
export function computeExpectedTime(options: ExpectedTimeOptions): ExpectedTime {
	const {routing, target, demand} = options;
	const localLoad = getLocalLoad(routing, target.targetId);
	const speed = ROLE_SPEEDS[target.load?.role ?? 'mixed'];
	const cachedBlocks = options.usesAffinity ? countCachedPrefixes(routing.prefixes, target.targetId, demand.prefixHashes ?? []) : 0;
	const prefillTokens = Math.max(1, demand.promptTokens - (cachedBlocks * TOKENS_PER_KV_BLOCK));
	const reported = computeReportedLoad(options, speed);
	const isReportNewer = target.load !== undefined && target.loadAtMs > localLoad.reportReceivedAtMs;
	const queuedTokens = Math.max(localLoad.prefillTokens, reported.queuedTokens + (isReportNewer ? 0 : localLoad.prefillTokensSinceReport));
	const running = Math.max(localLoad.running, reported.running + (isReportNewer ? 0 : localLoad.runningSinceReport));
	const betweenTokensMs = speed.stepMs + (running * SEQUENCE_STEP_MS);
	const prefillMs = (queuedTokens + prefillTokens) / speed.prefillTokensPerMs;
	const kvCacheWaitMs = hasTooFewKvBlocks(target, demand) ? KV_CACHE_WAIT_MS : 0;
	const zonePenaltyMs = target.availabilityZone === options.availabilityZone ? 0 : OTHER_ZONE_PENALTY_MS;
	const firstTokenMs = ((prefillMs + betweenTokensMs) * localLoad.slowness) + kvCacheWaitMs + zonePenaltyMs;
	const decodeCost = demand.maxTokens > 1 ? betweenTokensMs / demand.betweenTokensGoalMs : 0;
	return {
		firstTokenMs,
		betweenTokensMs,
		prefillTokens,
		cost: (firstTokenMs / demand.firstTokenGoalMs) + decodeCost + computeGoalPenalty(betweenTokensMs, demand),
	};
}

/** Returns 1 if the time between tokens exceeds its latency objective, which the request then misses regardless of its first token, or else 0. */
function computeGoalPenalty(betweenTokensMs: number, demand: RoutingDemand): number {
	return demand.maxTokens > 1 && betweenTokensMs > demand.betweenTokensGoalMs ? 1 : 0;
}

/** Estimates what remains of a target's reported load. The target has prefilled tokens since the report, and an old report counts for less. */
function computeReportedLoad({target, nowMs, usesAgeDiscount}: ExpectedTimeOptions, speed: RoleSpeed): {queuedTokens: number; running: number} {
	const {load} = target;
	if (load === undefined) {
		return {queuedTokens: 0, running: 0};
	}

	const running = load.running + load.waiting;
	if (!usesAgeDiscount) {
		return {queuedTokens: load.queuedPrefillTokens, running};
	}

	const ageMs = Math.max(0, nowMs - target.loadAtMs);
	const weight = Math.exp(-ageMs / REPORT_DECAY_MS);
	const prefilledTokens = ageMs * speed.prefillTokensPerMs;
	return {queuedTokens: Math.max(0, load.queuedPrefillTokens - prefilledTokens) * weight, running: running * weight};
}

function hasTooFewKvBlocks({load}: TargetView, {promptTokens, maxTokens}: RoutingDemand): boolean {
	return load !== undefined
		&& load.totalPieces > 0
		&& load.freePieces * TOKENS_PER_KV_BLOCK < promptTokens + maxTokens;
}

/**
 * Computes the slowness of a target after a response: the moving average of the
 * ratio of observed to expected time to first token.
 *
 * @param slowness - previous slowness
 * @param observedMs - observed time to first token
 * @param expectedMs - expected time to first token, which includes the previous slowness
 * @returns the new slowness
 */
export function computeSlowness(slowness: number, observedMs: number, expectedMs: number): number {
	const newest = slowness * observedMs / Math.max(1, expectedMs);
	const averaged = (slowness * (1 - SLOWNESS_GAIN)) + (newest * SLOWNESS_GAIN);
	return Math.min(Math.max(averaged, SLOWNESS_BOUNDS[0]), SLOWNESS_BOUNDS[1]);
}
