import {SECOND_MS, type TargetRole, TOKENS_PER_KV_BLOCK} from '@damaskspool/shared';
import {computeHeadroom, type DemandViews, isServingBoth} from './headroom.js';
import {type PlanSettings, type RoleCapacity} from './planSettings.js';
import {type PlannedTarget, type ZonePlan} from './zonePlan.js';

/** Options of {@link planRoleChange}. */
export type RoleChangeOptions = {
	readonly nowMs: number;
	/** Targets of one service that serve. */
	readonly serving: readonly PlannedTarget[];
	readonly views: DemandViews;
	readonly settings: PlanSettings;
};

type Candidate = {
	readonly target: PlannedTarget;
	readonly role: TargetRole;
	readonly gain: number;
};

const ROLES: readonly TargetRole[] = ['mixed', 'prefill', 'decode'];

/**
 * Plans the change of one target's role that adds most headroom, if it adds
 * enough by the short average and takes none away by the long one.
 *
 * @param options - serving targets of a service and the demand for it
 * @returns the change, or undefined where the roles stay
 */
export function planRoleChange(options: RoleChangeOptions): ZonePlan | undefined {
	const {nowMs, serving, views, settings} = options;
	const roles = serving.map(target => target.role);
	const current = computeHeadroom(roles, views.short, settings.capacities);
	if (current >= settings.enoughHeadroom) {
		return undefined;
	}

	const best = serving
		.filter(target => nowMs - target.inRoleSinceMs >= settings.dwellMs)
		.flatMap(target => listChanges(options, target))
		.filter(candidate => candidate.gain > 1 + (computeNeededGain(candidate.target, settings) / serving.length))
		.toSorted((left, right) => right.gain - left.gain || left.target.running - right.target.running
			|| left.target.targetId.localeCompare(right.target.targetId))
		.at(0);
	return best === undefined
		? undefined
		: {
			step: {kind: 'changeRole', targetId: best.target.targetId, role: best.role},
			reason: `headroom ${current.toFixed(2)} grows by a factor of ${best.gain.toFixed(2)} as ${best.target.role} becomes ${best.role}`,
		};
}

/**
 * Computes the gain that a change must bring, in capacities of one target. A
 * change takes its target out and empties its prefix cache; spread over the
 * dwell time, both must be won back beyond the band.
 */
function computeNeededGain({role, totalPieces}: PlannedTarget, settings: PlanSettings): number {
	const cacheTokens = totalPieces * TOKENS_PER_KV_BLOCK;
	const refillMs = cacheTokens * SECOND_MS / settings.capacities[role].prefillTokensRate;
	return settings.hysteresisGain + ((settings.roleChangeMs + refillMs) / Math.max(settings.dwellMs, 1));
}

function listChanges(options: RoleChangeOptions, target: PlannedTarget): Candidate[] {
	const {serving, views, settings} = options;
	const others = serving.filter(other => other !== target).map(other => other.role);
	const roles = serving.map(other => other.role);
	if (!isServingBoth(others, views.peak)) {
		return [];
	}

	return ROLES
		.filter(role => role !== target.role && isKeepingReserve(others, role, settings))
		.filter(role => computeGain(views.long, role) >= 1)
		.map(role => ({target, role, gain: computeGain(views.short, role)}));

	function computeGain(demand: RoleCapacity, role: TargetRole): number {
		const before = computeHeadroom(roles, demand, settings.capacities);
		const after = computeHeadroom([...others, role], demand, settings.capacities);
		return after === before ? 1 : after / before;
	}
}

function isKeepingReserve(others: readonly TargetRole[], role: TargetRole, {reserveShare}: PlanSettings): boolean {
	const mixed = others.filter(other => other === 'mixed').length;
	return role === 'mixed' || mixed >= Math.ceil((others.length + 1) * reserveShare);
}
