import {computeHeadroom, type DemandViews, isServingBoth} from './headroom.js';
import {type PlanSettings} from './planSettings.js';
import {type PlannedTarget, type ZonePlan} from './zonePlan.js';

/** Options of {@link planSpending}. */
export type SpendingOptions = {
	readonly nowMs: number;
	readonly serviceId: string;
	/** All targets of the service in the zone, whatever their state. */
	readonly targets: readonly PlannedTarget[];
	readonly views: DemandViews;
	readonly settings: PlanSettings;
	readonly isDearerZone: boolean;
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
export function planSpending(options: SpendingOptions): ZonePlan | undefined {
	const {targets, views, settings, serviceId, isDearerZone} = options;
	if (targets.some(target => target.state === 'starting')) {
		return undefined;
	}

	const staying = targets.filter(target => target.state === 'serving' || target.state === 'changingRole');
	const headroom = computeHeadroom(staying.map(target => target.role), views.sustained, settings.capacities);
	if (headroom < (isDearerZone ? URGENT_HEADROOM : settings.startHeadroom)) {
		return {step: {kind: 'startTarget', serviceId}, reason: `headroom ${headroom.toFixed(2)} calls for one more target`};
	}

	return planStop(options, staying);
}

/** A stop needs a forecast that holds beyond the time in which the target could be started again. */
function planStop({nowMs, views, settings, hasForecast}: SpendingOptions, staying: readonly PlannedTarget[]): ZonePlan | undefined {
	if (!hasForecast || staying.length <= settings.minimumTargets || staying.some(target => target.state !== 'serving')) {
		return undefined;
	}

	const stopped = staying
		.filter(target => nowMs - target.inRoleSinceMs >= Math.max(settings.startLeadMs, settings.dwellMs))
		.filter(target => isEnoughWithout(target))
		.toSorted((left, right) => left.running - right.running || left.targetId.localeCompare(right.targetId))
		.at(0);
	return stopped === undefined
		? undefined
		: {step: {kind: 'stopTarget', targetId: stopped.targetId}, reason: 'the forecast leaves enough headroom without this target'};

	function isEnoughWithout(target: PlannedTarget): boolean {
		const roles = staying.filter(other => other !== target).map(other => other.role);
		return isServingBoth(roles, views.peak) && computeHeadroom(roles, views.peak, settings.capacities) >= settings.stopHeadroom;
	}
}
