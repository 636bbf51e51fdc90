import {computeHeadroom, type DemandEstimates, hasSuitableTargets} from './headroom.js';
import {type PlanSettings} from './planSettings.js';
import {type TargetSnapshot, type ZonePlan} from './zonePlan.js';

/** Options of {@link planScaling}. */
export type ScalingOptions = {
	readonly nowMs: number;
	readonly serviceId: string;
	/** All targets of the service in the zone, in any state. */
	readonly targets: readonly TargetSnapshot[];
	readonly estimates: DemandEstimates;
	readonly settings: PlanSettings;
	readonly hasCheaperZone: boolean;
	/** Whether the demand includes a forecast. No target is stopped without one. */
	readonly hasForecast: boolean;
};

/** Headroom below which a target is started even if another zone is cheaper. At 1 the demand uses all capacity. */
const URGENT_HEADROOM = 1;

/**
 * Plans the start of a target ahead of the demand that it is to serve, or the stop of a target that neither current nor
 * forecast demand needs.
 *
 * @returns the start or stop, or undefined if the number of targets stays
 */
export function planScaling(options: ScalingOptions): ZonePlan | undefined {
	const {targets, estimates, settings, serviceId, hasCheaperZone} = options;
	if (targets.some(target => target.state === 'starting')) {
		return undefined;
	}

	const retained = targets.filter(target => target.state === 'serving' || target.state === 'changingRole');
	const headroom = computeHeadroom(retained.map(target => target.role), estimates.sustained, settings.capacities);
	if (headroom < (hasCheaperZone ? URGENT_HEADROOM : settings.startHeadroom)) {
		return {step: {kind: 'startTarget', serviceId}, reason: `headroom ${headroom.toFixed(2)} requires one more target`};
	}

	return planStop(options, retained);
}

/** Plans a stop. It requires a forecast that extends beyond the time needed to start the target again. */
function planStop({nowMs, estimates, settings, hasForecast}: ScalingOptions, retained: readonly TargetSnapshot[]): ZonePlan | undefined {
	if (!hasForecast || retained.length <= settings.minTargets || retained.some(target => target.state !== 'serving')) {
		return undefined;
	}

	const candidate = retained
		.filter(target => nowMs - target.inRoleSinceMs >= Math.max(settings.startLeadMs, settings.dwellMs))
		.filter(target => hasHeadroomWithout(target))
		.toSorted((left, right) => left.running - right.running || left.targetId.localeCompare(right.targetId))
		.at(0);
	return candidate === undefined
		? undefined
		: {step: {kind: 'stopTarget', targetId: candidate.targetId}, reason: 'the forecast leaves enough headroom without this target'};

	function hasHeadroomWithout(target: TargetSnapshot): boolean {
		const roles = retained.filter(other => other !== target).map(other => other.role);
		return hasSuitableTargets(roles, estimates.peak) && computeHeadroom(roles, estimates.peak, settings.capacities) >= settings.stopHeadroom;
	}
}
