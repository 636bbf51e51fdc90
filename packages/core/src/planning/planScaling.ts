import {computeHeadroom, type DemandEstimates, hasSuitableTargets} from './headroom.js';
import {type PlanSettings} from './planSettings.js';
import {type TargetSnapshot, type ZonePlan} from './zonePlan.js';

/** Options of {@link planScaling}. */
export type ScalingOptions = {
	readonly nowMs: number;
	readonly serviceId: string;
	/** All targets of the service in the zone, whatever their state. */
	readonly targets: readonly TargetSnapshot[];
	readonly estimates: DemandEstimates;
	readonly settings: PlanSettings;
	readonly hasCheaperZone: boolean;
	/** Whether the demand says what is to come; nothing is stopped without. */
	readonly hasForecast: boolean;
};

/** Headroom below which even a dearer zone starts a target: the demand takes all capacity. */
const URGENT_HEADROOM = 1;

/**
 * Plans the start of a target ahead of the demand that its start takes, or the
 * stop of one that neither present nor forecast demand needs.
 *
 * @param options - targets of a service and the demand for it
 * @returns the start or stop, or undefined where the number of targets stays
 */
export function planScaling(options: ScalingOptions): ZonePlan | undefined {
	const {targets, estimates, settings, serviceId, hasCheaperZone} = options;
	if (targets.some(target => target.state === 'starting')) {
		return undefined;
	}

	const retained = targets.filter(target => target.state === 'serving' || target.state === 'changingRole');
	const headroom = computeHeadroom(retained.map(target => target.role), estimates.sustained, settings.capacities);
	if (headroom < (hasCheaperZone ? URGENT_HEADROOM : settings.startHeadroom)) {
		return {step: {kind: 'startTarget', serviceId}, reason: `headroom ${headroom.toFixed(2)} calls for one more target`};
	}

	return planStop(options, retained);
}

/** A stop needs a forecast that holds beyond the time in which the target could be started again. */
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
