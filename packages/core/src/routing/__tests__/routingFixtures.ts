import {type LoadReport} from '@damaskspool/shared';
import {createMembershipState, type MembershipState, type TargetView} from '../../membership/membershipState.js';
import {type ChooseTargetOptions} from '../chooseTarget.js';
import {createRoutingState} from '../routingState.js';
import {type RoutingDemand} from '../routingDemand.js';

/** Creates the load report of an idle, serving target, with overrides. */
export function createLoad(fields: Partial<LoadReport> = {}): LoadReport {
	return {
		targetId: 't1',
		role: 'mixed',
		state: 'serving',
		models: ['m'],
		running: 0,
		waiting: 0,
		queuedPrefillTokens: 0,
		freePieces: 64,
		totalPieces: 64,
		prefillTokensTotal: 0,
		generatedTokensTotal: 0,
		ageMs: 0,
		...fields,
	};
}

/**
 * Creates the view of an idle target.
 *
 * @param fields - overrides of a target of service `s` in zone `a`
 */
export function createTarget(targetId: string, fields: Partial<TargetView> = {}): TargetView {
	return {
		targetId,
		address: '127.0.0.1:1',
		availabilityZone: 'a',
		serviceId: 's',
		incarnation: 1,
		isLeaving: false,
		load: createLoad({targetId}),
		loadAtMs: 0,
		inFlight: 0,
		inFlightPromptTokens: 0,
		failuresInRow: 0,
		backoffUntilMs: 0,
		...fields,
	};
}

/**
 * Creates the demand of a request.
 *
 * @param fields - overrides of a prompt of 500 tokens for model `m`
 */
export function createDemand(fields: Partial<RoutingDemand> = {}): RoutingDemand {
	return {
		serviceId: 's',
		modelId: 'm',
		promptTokens: 500,
		maxTokens: 20,
		excludedTargetIds: new Set(),
		randomSeed: 1,
		firstTokenGoalMs: 720,
		betweenTokensGoalMs: 41,
		...fields,
	};
}

/**
 * Creates the options of a choice among the given targets.
 *
 * @param fields - overrides of entry `e` in zone `a` at time 0
 */
export function createChoice(targets: readonly TargetView[], fields: Partial<ChooseTargetOptions> = {}): ChooseTargetOptions {
	const membership: MembershipState = {...createMembershipState(), targets: new Map(targets.map(target => [target.targetId, target]))};
	return {
		routing: createRoutingState(),
		membership,
		demand: createDemand(),
		entryId: 'e',
		availabilityZone: 'a',
		nowMs: 0,
		...fields,
	};
}

/** Creates identical targets with the identifiers `t0`, `t1` and so on. */
export function createTargets(count: number): TargetView[] {
	return Array.from({length: count}, (_, index) => createTarget(`t${index}`));
}
