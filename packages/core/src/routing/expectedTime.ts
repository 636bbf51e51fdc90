import {type TargetRole, TOKENS_PER_KV_BLOCK} from '@damaskspool/shared';
import {type TargetView} from '../membership/membershipState.js';
import {countCachedPrefixes} from './prefixIndex.js';
import {findOwnLoad, type RoutingState} from './routingState.js';
import {type RoutingDemand} from './routingDemand.js';

/** Speeds that a role is expected to have before any answer was seen; a target's own slowness corrects them. */
type RoleSpeed = {
	readonly prefillTokensPerMs: number;
	/** Time of a step with prompts in it. */
	readonly stepMs: number;
};

const ROLE_SPEEDS: Readonly<Record<TargetRole, RoleSpeed>> = {
	mixed: {prefillTokensPerMs: 13, stepMs: 30},
	prefill: {prefillTokensPerMs: 17, stepMs: 48},
	decode: {prefillTokensPerMs: 6, stepMs: 14},
};
/** Added time between tokens for each sequence in a batch. */
const STEP_PER_SEQUENCE_MS = 0.5;
/** Time in which a load report loses two thirds of its weight. */
const REPORT_DECAY_MS = 2000;
/** Wait expected where the request's pieces do not fit beside what runs. */
const MEMORY_WAIT_MS = 250;
/** Time added for a target of another availability zone: two crossings, and the price of the traffic. */
const OTHER_ZONE_MS = 5;
/** Slowness is kept within these bounds, so that one odd answer neither hides a target nor draws all work to it. */
const SLOWNESS_LIMITS = [0.5, 4] as const;
/** Weight of the newest answer in a target's slowness. */
const SLOWNESS_GAIN = 0.2;

/** What the expected time at one target is made from. */
export type ExpectedTimeOptions = {
	readonly routing: RoutingState;
	readonly target: TargetView;
	readonly demand: RoutingDemand;
	readonly availabilityZone: string;
	readonly nowMs: number;
	readonly usesAffinity: boolean;
	readonly usesAgeDiscount: boolean;
};

/** Expected times at one target. */
export type ExpectedTime = {
	readonly firstTokenMs: number;
	readonly betweenTokensMs: number;
	/** Prompt tokens that the target would work through. */
	readonly prefillTokens: number;
	/** Cost by which targets are compared: parts of the service's goals. */
	readonly cost: number;
};

/**
 * Computes what a request may expect at a target: time to first token from the
 * prompts ahead of it and the part of its own that is not cached, and time
 * between tokens from the role and the batch.
 *
 * @param options - target, request, and what the entry knows
 * @returns the expected times and the cost
 */
export function computeExpectedTime(options: ExpectedTimeOptions): ExpectedTime {
	const {routing, target, demand} = options;
	const own = findOwnLoad(routing, target.targetId);
	const speed = ROLE_SPEEDS[target.load?.role ?? 'mixed'];
	const cachedPieces = options.usesAffinity ? countCachedPrefixes(routing.prefixes, target.targetId, demand.prefixHashes ?? []) : 0;
	const prefillTokens = Math.max(1, demand.promptTokens - (cachedPieces * TOKENS_PER_KV_BLOCK));
	const reported = computeReportedLoad(options, speed);
	const isReportNewer = target.load !== undefined && target.loadAtMs > own.reportAtMs;
	const queuedTokens = Math.max(own.prefillTokens, reported.queuedTokens + (isReportNewer ? 0 : own.prefillTokensSinceReport));
	const running = Math.max(own.running, reported.running + (isReportNewer ? 0 : own.runningSinceReport));
	const betweenTokensMs = speed.stepMs + (running * STEP_PER_SEQUENCE_MS);
	const prefillMs = (queuedTokens + prefillTokens) / speed.prefillTokensPerMs;
	const memoryWaitMs = isLackingMemory(target, demand) ? MEMORY_WAIT_MS : 0;
	const zoneMs = target.availabilityZone === options.availabilityZone ? 0 : OTHER_ZONE_MS;
	const firstTokenMs = ((prefillMs + betweenTokensMs) * own.slowness) + memoryWaitMs + zoneMs;
	const decodeCost = demand.maxTokens > 1 ? betweenTokensMs / demand.betweenTokensGoalMs : 0;
	return {
		firstTokenMs,
		betweenTokensMs,
		prefillTokens,
		cost: (firstTokenMs / demand.firstTokenGoalMs) + decodeCost + countOverGoal(betweenTokensMs, demand),
	};
}

/** A request whose tokens would come too slowly misses its goals whatever its first token. */
function countOverGoal(betweenTokensMs: number, demand: RoutingDemand): number {
	return demand.maxTokens > 1 && betweenTokensMs > demand.betweenTokensGoalMs ? 1 : 0;
}

/** What is left of a target's reported load: prompts were worked through since, and old reports say little. */
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
	const worked = ageMs * speed.prefillTokensPerMs;
	return {queuedTokens: Math.max(0, load.queuedPrefillTokens - worked) * weight, running: running * weight};
}

function isLackingMemory({load}: TargetView, {promptTokens, maxTokens}: RoutingDemand): boolean {
	return load !== undefined
		&& load.totalPieces > 0
		&& load.freePieces * TOKENS_PER_KV_BLOCK < promptTokens + maxTokens;
}

/**
 * Averages how much later than expected a target answers.
 *
 * @param slowness - average so far
 * @param observedMs - observed time to first token
 * @param expectedMs - expected time, with the slowness so far in it
 * @returns the new average
 */
export function computeSlowness(slowness: number, observedMs: number, expectedMs: number): number {
	const newest = slowness * observedMs / Math.max(1, expectedMs);
	const averaged = (slowness * (1 - SLOWNESS_GAIN)) + (newest * SLOWNESS_GAIN);
	return Math.min(Math.max(averaged, SLOWNESS_LIMITS[0]), SLOWNESS_LIMITS[1]);
}
