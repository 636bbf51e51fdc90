import {type MembershipState, type TargetView} from '../membership/membershipState.js';
import {computeExpectedTime} from './expectedTime.js';
import {recordPrefixes} from './prefixIndex.js';
import {type RoutingDemand} from './routingDemand.js';
import {ROUTING_POLICIES} from './routingPolicies.js';
import {getLocalLoad, type RoutingState} from './routingState.js';
import {mayServeModel, selectSubset} from './selectSubset.js';

/** Options of {@link chooseTarget}. */
export type ChooseTargetOptions = {
	readonly routing: RoutingState;
	readonly membership: MembershipState;
	readonly demand: RoutingDemand;
	readonly entryId: string;
	readonly availabilityZone: string;
	readonly nowMs: number;
};

/**
 * Chooses a target for a request with the routing policy in use. Considers the
 * eligible targets of the entry's subset, or all eligible targets if the subset
 * contains none.
 *
 * @returns the target, or undefined if no target is eligible
 */
export function chooseTarget(options: ChooseTargetOptions): TargetView | undefined {
	const {routing, membership, demand, availabilityZone, nowMs} = options;
	const subset = selectSubset({...options, serviceId: demand.serviceId, modelId: demand.modelId});
	let eligible: TargetView[] = [];
	for (const targetId of subset) {
		const target = membership.targets.get(targetId);
		if (target !== undefined && isEligible(target, options)) {
			eligible.push(target);
		}
	}

	if (eligible.length === 0) {
		eligible = [...membership.targets.values()].filter(target => isEligible(target, options));
	}

	if (eligible.length === 0) {
		return undefined;
	}

	routing.choiceCount += 1;
	return ROUTING_POLICIES[routing.policyName]({
		routing, eligible, demand, availabilityZone, nowMs,
	});
}

/** Options of {@link recordChoice}. */
export type RecordChoiceOptions = Omit<ChooseTargetOptions, 'membership' | 'entryId'> & {
	readonly requestId: string;
	readonly attemptId: string;
	readonly target: TargetView;
};

/**
 * Adds an attempt to the local load of its target, before a load report can
 * include it. Changes the routing state in place.
 *
 * @returns the number of prompt tokens that the target is expected to prefill
 */
export function recordChoice(options: RecordChoiceOptions): number {
	const {routing, target, demand, nowMs, attemptId} = options;
	const expected = computeExpectedTime({...options, usesAffinity: routing.policyName !== 'noAffinity', usesAgeDiscount: true});
	const localLoad = getLocalLoad(routing, target.targetId);
	if (target.loadAtMs > localLoad.reportReceivedAtMs) {
		localLoad.reportReceivedAtMs = target.loadAtMs;
		localLoad.runningSinceReport = 0;
		localLoad.prefillTokensSinceReport = 0;
	}

	localLoad.running += 1;
	localLoad.runningSinceReport += 1;
	localLoad.prefillTokens += expected.prefillTokens;
	localLoad.prefillTokensSinceReport += expected.prefillTokens;
	routing.sentAttempts.set(attemptId, {
		requestId: options.requestId,
		targetId: target.targetId,
		sentAtMs: nowMs,
		prefillTokens: expected.prefillTokens,
		expectedFirstTokenMs: expected.firstTokenMs,
		isAnswered: false,
	});
	recordPrefixes(routing.prefixes, target.targetId, demand.prefixHashes ?? []);
	return expected.prefillTokens;
}

function isEligible(target: TargetView, {demand, nowMs}: ChooseTargetOptions): boolean {
	return target.serviceId === demand.serviceId
		&& !target.isLeaving
		&& (target.load === undefined || target.load.state === 'serving')
		&& target.backoffUntilMs <= nowMs
		&& !demand.excludedTargetIds.has(target.targetId)
		&& mayServeModel(target, demand.modelId);
}
