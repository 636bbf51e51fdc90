/**
 * Spreads the choices of generations over targets, for the load that `spreadChoice.ts` describes. Prompts with shared parts
 * are spread by where these are cached already.
 */
import {
	type Candidate, type CandidatePlan, type GenerationPlan, type PlanContext,
} from './generationPlan.js';
import {type PlacedTarget} from './placementState.js';
import {computeSlotCost, planPrefill} from './planPrefill.js';
import {
	chooseSpread, MAX_SAMPLED_TARGETS, sampleUsable, type SpreadOptions,
} from './spreadChoice.js';

/** Rise of the cost with one more request that is assumed at least, so that no target counts as able to take any number. */
const MIN_COST_STEP = 0.001;

/** Picks the plan with the lowest cost, the first one if several have it. */
export function pickCheapest(plans: readonly CandidatePlan[]): CandidatePlan | undefined {
	let best: CandidatePlan | undefined;
	for (const candidate of plans) {
		if (best === undefined || candidate.plan.cost < best.plan.cost) {
			best = candidate;
		}
	}

	return best;
}

/**
 * Chooses the cheapest plan if it uses cached tokens: prompts with shared parts are spread by where these are cached, and cached parts
 * go before an even load. Otherwise chooses among the plans without cached tokens that meet the objective if the cheapest one does.
 */
export function chooseSpreadPlan(options: PlanContext, plans: readonly CandidatePlan[], {newRequests, position}: SpreadOptions): GenerationPlan | undefined {
	const cheapest = pickCheapest(plans)?.plan;
	if (cheapest === undefined || cheapest.cachedTokens > 0) {
		return cheapest;
	}

	const {goalRemainingMs} = options.demand;
	const alike = plans.filter(({plan}) => plan.cachedTokens === 0
		&& (plan.expectedFirstEventMs <= goalRemainingMs || cheapest.expectedFirstEventMs > goalRemainingMs));
	const chosen = chooseSpread(
		alike.map(candidate => ({choice: candidate.plan, score: candidate.plan.cost, step: computeCostStep(options, candidate)})),
		{newRequests: newRequests * alike.length / plans.length, position},
	);
	return chosen === undefined ? undefined : {...chosen.choice, spread: {rank: chosen.rank, candidateCount: chosen.candidateCount}};
}

/** Computes by how much the cost of a plan rises if another request like this one goes to the same targets. */
function computeCostStep(options: PlanContext, {plan, prefillCandidate, decodeCandidate}: CandidatePlan): number {
	const addRequest = (candidate: Candidate, prefillMs: number): Candidate =>
		({...candidate, running: candidate.running + 1, backlogMs: candidate.backlogMs + prefillMs});
	const next = planPrefill(options, addRequest(prefillCandidate, plan.prefillMs), decodeCandidate === undefined ? undefined : addRequest(decodeCandidate, 0));
	return Math.max(MIN_COST_STEP, (next?.cost ?? 0) - plan.cost);
}

/** Samples the targets of a service. The sample includes those that have the last shared part of the prompt cached. */
export function sampleCandidateTargets({state, demand, nowMs, cachedParts}: PlanContext, targets: readonly PlacedTarget[], position: number): readonly PlacedTarget[] {
	if (targets.length <= MAX_SAMPLED_TARGETS) {
		return targets;
	}

	const sample = new Set(sampleUsable(targets, {position, mayChoose: ({backoffUntilMs}) => backoffUntilMs <= nowMs}).sample);
	for (const {target} of cachedParts.locations.slice(0, MAX_SAMPLED_TARGETS)) {
		if (target.record.serviceId === demand.serviceId) {
			sample.add(target);
		}
	}

	return [...sample];
}

/** Chooses the target that decodes a prompt which another target prefills, at the given cost. */
export function chooseSpreadDecode(
	options: PlanContext,
	candidates: readonly Candidate[],
	{computeCost, spread}: {computeCost: (candidate: Candidate) => number; spread: SpreadOptions},
): Candidate | undefined {
	const scored = candidates.map(candidate => ({
		choice: candidate,
		score: computeCost(candidate),
		step: Math.max(MIN_COST_STEP, computeSlotCost(options, candidate.target, candidate.running + 1) - computeSlotCost(options, candidate.target, candidate.running)),
	}));
	return chooseSpread(scored, spread)?.choice;
}
