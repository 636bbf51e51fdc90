import {type MembershipState, type TargetView} from '../membership/membershipState.js';

/** What the choice of a target needs to know of a request. */
export type RoutingDemand = {
	readonly serviceId: string;
	/** Model, adapter and version asked for; undefined for a plain service. */
	readonly modelId: string | undefined;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Targets already tried, which are not tried again. */
	readonly excludedTargetIds: ReadonlySet<string>;
};

/** Options of {@link chooseTarget}. */
export type ChooseTargetOptions = {
	readonly membership: MembershipState;
	readonly demand: RoutingDemand;
	readonly availabilityZone: string;
	readonly nowMs: number;
};

/** Cost, in prompt tokens, taken for one request that runs at a target. */
const RUNNING_COST_TOKENS = 200;
/** Added cost, in prompt tokens, of a target in another availability zone. */
const OTHER_ZONE_COST_TOKENS = 100;

/**
 * Chooses the target for a request: the lowest expected wait among those that may take it.
 *
 * @param options - what is known, and what is asked
 * @returns the target, or undefined where none may take the request
 */
export function chooseTarget(options: ChooseTargetOptions): TargetView | undefined {
	let best: TargetView | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const target of options.membership.targets.values()) {
		if (!isEligible(target, options)) {
			continue;
		}

		const cost = computeCost(target, options);
		if (cost < bestCost) {
			best = target;
			bestCost = cost;
		}
	}

	return best;
}

function isEligible(target: TargetView, {demand, nowMs}: ChooseTargetOptions): boolean {
	return target.serviceId === demand.serviceId
		&& !target.isLeaving
		&& target.avoidUntilMs <= nowMs
		&& !demand.excludedTargetIds.has(target.targetId)
		&& (demand.modelId === undefined || target.load === undefined || target.load.models.includes(demand.modelId));
}

function computeCost(target: TargetView, {availabilityZone}: ChooseTargetOptions): number {
	const reported = target.load === undefined
		? 0
		: target.load.queuedPrefillTokens + ((target.load.running + target.load.waiting) * RUNNING_COST_TOKENS);
	const own = target.inFlightPromptTokens + (target.inFlight * RUNNING_COST_TOKENS);
	const distance = target.availabilityZone === availabilityZone ? 0 : OTHER_ZONE_COST_TOKENS;
	return Math.max(reported, own) + distance;
}
