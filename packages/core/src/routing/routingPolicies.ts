import {type TargetView} from '../membership/membershipState.js';
import {computeExpectedTime, type ExpectedTimeOptions} from './expectedTime.js';
import {findLowest} from './findLowest.js';
import {computeRank, hashIdentifier} from './rendezvous.js';
import {type RoutingPolicyName} from './routingPolicyNames.js';
import {getLocalLoad, type RoutingState} from './routingState.js';
import {type RoutingDemand} from './routingDemand.js';

/** Input of a routing policy. */
export type PolicyOptions = {
	readonly routing: RoutingState;
	/** Targets that may receive the request. Must not be empty. */
	readonly eligible: readonly TargetView[];
	readonly demand: RoutingDemand;
	readonly availabilityZone: string;
	readonly nowMs: number;
};

/** Chooses one of the eligible targets. */
export type RoutingPolicy = (options: PolicyOptions) => TargetView;

/** Number of random targets compared in one choice. The random sample distributes entries over the targets when they decide at the same time on the same reports. */
const RANDOM_CANDIDATES = 4;
/** Prompt length from which the policy `fixedSplit` chooses prefill targets. */
const MIN_LONG_PROMPT_TOKENS = 1000;

type ExpectedTimeFlags = Pick<ExpectedTimeOptions, 'usesAffinity' | 'usesAgeDiscount'>;

/** Routing policies by name. All policies except `expectedTime` exist for comparison with it. */
export const ROUTING_POLICIES = {
	expectedTime: options => chooseByExpectedTime(options, {usesAffinity: true, usesAgeDiscount: true}),
	noAffinity: options => chooseByExpectedTime(options, {usesAffinity: false, usesAgeDiscount: true}),
	noAgeDiscount: options => chooseByExpectedTime(options, {usesAffinity: true, usesAgeDiscount: false}),
	roundRobin: ({routing, eligible}) => eligible[routing.choiceCount % eligible.length]!,
	leastOutstanding: ({routing, eligible}) => findLowest(eligible, target => getLocalLoad(routing, target.targetId).running)!,
	/** Sends long prompts to targets in role prefill and others to targets in role decode, to the least loaded of them. */
	fixedSplit({routing, eligible, demand}) {
		const role = demand.promptTokens >= MIN_LONG_PROMPT_TOKENS ? 'prefill' : 'decode';
		const inRole = eligible.filter(target => target.load?.role === role);
		return findLowest(inRole.length > 0 ? inRole : eligible, target => getLocalLoad(routing, target.targetId).running)!;
	},
} as const satisfies Readonly<Record<RoutingPolicyName, RoutingPolicy>>;

function chooseByExpectedTime(options: PolicyOptions, flags: ExpectedTimeFlags): TargetView {
	const {routing, eligible, demand, availabilityZone, nowMs} = options;
	const costs = new Map<TargetView, number>();
	const computeCost = (target: TargetView) => {
		let cost = costs.get(target);
		if (cost === undefined) {
			cost = computeExpectedTime({
				routing, target, demand, availabilityZone, nowMs, ...flags,
			}).cost;
			costs.set(target, cost);
		}

		return cost;
	};

	return findLowest(listCandidates(options, flags), computeCost)!;
}

/**
 * Lists the targets to compare: a random sample and, with affinity, the targets
 * that cache the prompt's first prefix and the target with the lowest rank for it.
 * All entries compute the same ranks, so they send a new prefix to the same target.
 */
function listCandidates({routing, eligible, demand}: PolicyOptions, {usesAffinity}: ExpectedTimeFlags): Iterable<TargetView> {
	if (eligible.length <= RANDOM_CANDIDATES) {
		return eligible;
	}

	const candidates = new Set<TargetView>();
	const prefix = demand.prefixHashes?.[0];
	if (usesAffinity && prefix !== undefined) {
		const prefixHash = hashIdentifier(prefix);
		candidates.add(findLowest(eligible, target => computeRank(prefixHash, getLocalLoad(routing, target.targetId).targetHash))!);
		for (const target of eligible) {
			if (routing.prefixes.get(target.targetId)?.hashes.has(prefix)) {
				candidates.add(target);
			}
		}
	}

	let seed = demand.randomSeed ?? 0;
	for (let drawCount = 0; drawCount < RANDOM_CANDIDATES; drawCount += 1) {
		seed = advanceSeed(seed);
		// The low bits of a linear congruential generator have a short period, so the index is taken from the high bits.
		candidates.add(eligible[Math.floor(seed / SEED_COUNT * eligible.length)]!);
	}

	return candidates;
}

/** Number of distinct seeds. */
const SEED_COUNT = 2 ** 32;

/** Advances a linear congruential generator, which derives several random numbers from the seed of the request. */
function advanceSeed(seed: number): number {
	// eslint-disable-next-line no-bitwise
	return (Math.imul(seed, 1_664_525) + 1_013_904_223) >>> 0;
}
