import {type LoadReport} from '@damaskspool/shared';
import {createMembershipState, type MembershipState, type TargetView} from '../../membership/membershipState.js';
import {type ChooseTargetOptions} from '../chooseTarget.js';
import {createRoutingState} from '../routingState.js';
import {type RoutingDemand} from '../routingDemand.js';

/**
 * Builds a load report of an idle, serving target.
 *
 * @param fields - what differs
 * @returns the report
 */
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
 * Builds the view of an idle target.
 *
 * @param targetId - identifier
 * @param fields - what differs from a target of service `s` in zone `a`
 * @returns the view
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
		avoidUntilMs: 0,
		...fields,
	};
}

/**
 * Builds the request of a test.
 *
 * @param fields - what differs from a prompt of 500 tokens for model `m`
 * @returns the demand
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
 * Builds what a choice is made from.
 *
 * @param targets - known targets
 * @param fields - what differs from entry `e` in zone `a` at time 0
 * @returns the options
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

/**
 * Builds identical targets.
 *
 * @param count - how many
 * @returns targets named t0, t1 and so on
 */
export function createTargets(count: number): TargetView[] {
	return Array.from({length: count}, (_, index) => createTarget(`t${index}`));
}
