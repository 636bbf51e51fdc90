import {estimateDemand} from './headroom.js';
import {planRoleChange} from './planRoleChange.js';
import {DEFAULT_PLAN_SETTINGS, type PlanSettings} from './planSettings.js';
import {planScaling} from './planScaling.js';
import {
	type PlanZone, type ServiceDemand, type TargetSnapshot, type ZonePlan, type ZonePlanInput,
} from './zonePlan.js';

/** States of a target that is out of service because of an earlier step. */
const STEP_IN_PROGRESS_STATES: ReadonlySet<TargetSnapshot['state']> = new Set(['changingRole', 'draining']);

/**
 * Plans the next step of an availability zone: a role change if the workload mix requires one, otherwise a start or stop.
 * Plans no step while an earlier one is in progress.
 */
export const planZone: PlanZone = input => {
	if (input.targets.some(target => STEP_IN_PROGRESS_STATES.has(target.state))) {
		return {step: {kind: 'none'}, reason: 'a step is in progress'};
	}

	const settings = {...DEFAULT_PLAN_SETTINGS, ...input.settings};
	const plans = input.demands.map(demand => planService(input, demand, settings)).filter(plan => plan !== undefined);
	return plans.find(plan => plan.step.kind === 'changeRole') ?? plans.at(0) ?? {step: {kind: 'none'}, reason: 'the targets fit the demand'};
};

function planService(input: ZonePlanInput, demand: ServiceDemand, settings: PlanSettings): ZonePlan | undefined {
	const targets = input.targets.filter(target => target.serviceId === demand.serviceId);
	if (targets.every(target => target.totalPieces === 0)) {
		// A plain service has no roles, and its work is not counted in tokens.
		return undefined;
	}

	const estimates = estimateDemand(demand, targets, settings);
	const serving = targets.filter(target => target.state === 'serving');
	const {nowMs, hasCheaperZone = false} = input;
	return planRoleChange({
		nowMs, serving, estimates, settings,
	}) ?? planScaling({
		nowMs,
		serviceId: demand.serviceId,
		targets,
		estimates,
		settings,
		hasCheaperZone,
		hasForecast: demand.forecastPrefillTokensRate !== undefined,
	});
}
