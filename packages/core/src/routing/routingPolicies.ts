import {type TargetView} from '../membership/membershipState.js';
import {computeExpectedTime, type ExpectedTimeOptions} from './expectedTime.js';
import {computeRank, hashIdentifier} from './rendezvous.js';
import {type RoutingPolicyName} from './routingPolicyNames.js';
import {getLocalLoad, type RoutingState} from './routingState.js';
import {type RoutingDemand} from './routingDemand.js';

/** What a policy chooses from. */
export type PolicyOptions = {
	readonly routing: RoutingState;
	/** Targets that may take the request; at least one. */
	readonly eligible: readonly TargetView[];
	readonly demand: RoutingDemand;
	readonly availabilityZone: string;
	readonly nowMs: number;
};

/** Chooses one of the targets that may take a request. */
export type RoutingPolicy = (options: PolicyOptions) => TargetView;

/** Random targets compared in one choice. Entries that decide at once on the same reports thus spread over the targets. */
const RANDOM_CANDIDATE_COUNT = 4;
/** Prompt length from which the fixed split of roles sends a request to prefill targets. */
const MIN_LONG_PROMPT_TOKENS = 1000;

type ExpectedTimeFlags = Pick<ExpectedTimeOptions, 'usesAffinity' | 'usesAgeDiscount'>;

/** Policies by name; all but `expectedTime` are there to be compared with it. */
export const ROUTING_POLICIES = {
	expectedTime: options => chooseByExpectedTime(options, {usesAffinity: true, usesAgeDiscount: true}),
	noAffinity: options => chooseByExpectedTime(options, {usesAffinity: false, usesAgeDiscount: true}),
	noAgeDiscount: options => chooseByExpectedTime(options, {usesAffinity: true, usesAgeDiscount: false}),
	roundRobin: ({routing, eligible}) => eligible[routing.choiceCount % eligible.length]!,
	leastOutstanding: ({routing, eligible}) => findLowest(eligible, target => getLocalLoad(routing, target.targetId).running),
	/** Long prompts to targets in role prefill, others to those in role decode, each by least outstanding. */
	fixedSplit({routing, eligible, demand}) {
		const role = demand.promptTokens >= MIN_LONG_PROMPT_TOKENS ? 'prefill' : 'decode';
		const inRole = eligible.filter(target => target.load?.role === role);
		return findLowest(inRole.length > 0 ? inRole : eligible, target => getLocalLoad(routing, target.targetId).running);
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

	return findLowest(listCandidates(options, flags), computeCost);
}

/**
 * Lists the targets to compare: some at random, and with affinity those that
 * hold the prompt's prefix and the one that every entry would give a new prefix to.
 */
function listCandidates({routing, eligible, demand}: PolicyOptions, {usesAffinity}: ExpectedTimeFlags): Iterable<TargetView> {
	if (eligible.length <= RANDOM_CANDIDATE_COUNT) {
		return eligible;
	}

	const candidates = new Set<TargetView>();
	const prefix = demand.prefixHashes?.[0];
	if (usesAffinity && prefix !== undefined) {
		const prefixHash = hashIdentifier(prefix);
		candidates.add(findLowest(eligible, target => computeRank(prefixHash, getLocalLoad(routing, target.targetId).targetHash)));
		for (const target of eligible) {
			if (routing.prefixes.get(target.targetId)?.hashes.has(prefix)) {
				candidates.add(target);
			}
		}
	}

	let seed = demand.randomSeed ?? 0;
	for (let drawCount = 0; drawCount < RANDOM_CANDIDATE_COUNT; drawCount += 1) {
		seed = advanceSeed(seed);
		// The low bits of such a generator repeat soon; the high ones are used.
		candidates.add(eligible[Math.floor(seed / SEED_COUNT * eligible.length)]!);
	}

	return candidates;
}

/** Numbers that a seed may be. */
const SEED_COUNT = 2 ** 32;

/** One step of a linear congruential generator: draws several numbers from the one that came in with the event. */
function advanceSeed(seed: number): number {
	// eslint-disable-next-line no-bitwise
	return (Math.imul(seed, 1_664_525) + 1_013_904_223) >>> 0;
}

function findLowest<Item>(items: Iterable<Item>, computeValue: (item: Item) => number): Item {
	let best: Item | undefined;
	let bestValue = Number.POSITIVE_INFINITY;
	for (const item of items) {
		const value = computeValue(item);
		if (value < bestValue) {
			best = item;
			bestValue = value;
		}
	}

	return best!;
}
