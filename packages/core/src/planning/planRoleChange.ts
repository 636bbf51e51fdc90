import {SECOND_MS, type TargetRole, TOKENS_PER_KV_BLOCK} from '@damaskspool/shared';
import {computeHeadroom, type DemandEstimates, hasSuitableTargets} from './headroom.js';
import {type PlanSettings, type TokenRates} from './planSettings.js';
import {type TargetSnapshot, type ZonePlan} from './zonePlan.js';

/** Options of {@link planRoleChange}. */
export type RoleChangeOptions = {
	readonly nowMs: number;
	/** Targets of one service in state `serving`. */
	readonly serving: readonly TargetSnapshot[];
	readonly estimates: DemandEstimates;
	readonly settings: PlanSettings;
};

type Candidate = {
	readonly target: TargetSnapshot;
	readonly role: TargetRole;
	readonly gain: number;
};

const ROLES: readonly TargetRole[] = ['mixed', 'prefill', 'decode'];

/**
 * Plans the role change of one target that adds the most headroom. It must add enough by the short average and must not
 * reduce headroom by the long average.
 *
 * @returns the change, or undefined if all roles stay
 */
export function planRoleChange(options: RoleChangeOptions): ZonePlan | undefined {
	const {nowMs, serving, estimates, settings} = options;
	const roles = serving.map(target => target.role);
	const currentHeadroom = computeHeadroom(roles, estimates.short, settings.capacities);
	if (currentHeadroom >= settings.roleChangeHeadroom) {
		return undefined;
	}

	const best = serving
		.filter(target => nowMs - target.inRoleSinceMs >= settings.dwellMs)
		.flatMap(target => listCandidates(options, target))
		.filter(candidate => candidate.gain > 1 + (computeMinGain(candidate.target, settings) / serving.length))
		.toSorted((left, right) => right.gain - left.gain || left.target.running - right.target.running
			|| left.target.targetId.localeCompare(right.target.targetId))
		.at(0);
	return best === undefined
		? undefined
		: {
			step: {kind: 'changeRole', targetId: best.target.targetId, role: best.role},
			reason: `headroom ${currentHeadroom.toFixed(2)} grows by a factor of ${best.gain.toFixed(2)} as ${best.target.role} becomes ${best.role}`,
		};
}

/**
 * Returns the gain that a change must exceed, in capacities of one target. A role change takes the target out of service
 * and empties its prefix cache. Both costs are spread over the dwell time and added to the hysteresis margin.
 */
function computeMinGain({role, totalPieces}: TargetSnapshot, settings: PlanSettings): number {
	const cacheTokens = totalPieces * TOKENS_PER_KV_BLOCK;
	const refillMs = cacheTokens * SECOND_MS / settings.capacities[role].prefillTokensRate;
	return settings.hysteresisGain + ((settings.roleChangeMs + refillMs) / Math.max(settings.dwellMs, 1));
}

function listCandidates(options: RoleChangeOptions, target: TargetSnapshot): Candidate[] {
	const {serving, estimates, settings} = options;
	const others = serving.filter(other => other !== target).map(other => other.role);
	const roles = serving.map(other => other.role);
	if (!hasSuitableTargets(others, estimates.peak)) {
		return [];
	}

	return ROLES
		.filter(role => role !== target.role && hasMixedReserve(others, role, settings))
		.filter(role => computeGain(estimates.long, role) >= 1)
		.map(role => ({target, role, gain: computeGain(estimates.short, role)}));

	function computeGain(demand: TokenRates, role: TargetRole): number {
		const before = computeHeadroom(roles, demand, settings.capacities);
		const after = computeHeadroom([...others, role], demand, settings.capacities);
		return after === before ? 1 : after / before;
	}
}

function hasMixedReserve(others: readonly TargetRole[], role: TargetRole, {mixedReserveShare}: PlanSettings): boolean {
	const mixed = others.filter(other => other === 'mixed').length;
	return role === 'mixed' || mixed >= Math.ceil((others.length + 1) * mixedReserveShare);
}
