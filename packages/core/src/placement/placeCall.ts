/**
 * Places a call of a plain service: the target with the least work for each of
 * its slots, the own zone first. Answers the load of short calls that may not
 * be repeated, where a wrong queue is a late answer.
 */
import {type PlacedTarget, type PlacementState, sumWork} from './placementState.js';

/** Options of {@link placeCall}. */
export type PlaceCallOptions = {
	readonly state: PlacementState;
	readonly serviceId: string;
	/** Targets that already refused or failed this request. */
	readonly excludedTargetIds: ReadonlySet<string>;
	readonly nowMs: number;
};

/** A target for a call, with the work it was chosen by. */
export type CallPlan = {readonly target: PlacedTarget; readonly running: number};

/** Free slots in the own zone are worth this share of all slots against another zone. */
const OTHER_ZONE_PENALTY = 0.35;
/** Requests for each slot above which a target's queue is taken as full. */
const MAX_REQUESTS_PER_SLOT = 4;

/**
 * Places a call.
 *
 * @param options - what is known and what is asked
 * @returns the target, or undefined where none is in use or all queues are full
 */
export function placeCall({state, serviceId, excludedTargetIds, nowMs}: PlaceCallOptions): CallPlan | undefined {
	let best: CallPlan | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const target of state.targets.values()) {
		const {record} = target;
		if (record.serviceId !== serviceId || record.isLeaving || excludedTargetIds.has(record.targetId)) {
			continue;
		}

		const {running} = sumWork(state, target, nowMs);
		if (running >= record.slots * MAX_REQUESTS_PER_SLOT) {
			continue;
		}

		const score = (running / record.slots)
			+ (record.availabilityZone === state.availabilityZone ? 0 : OTHER_ZONE_PENALTY)
			+ (target.backoffUntilMs > nowMs ? MAX_REQUESTS_PER_SLOT * 2 : 0);
		if (score < bestScore) {
			best = {target, running};
			bestScore = score;
		}
	}

	return best;
}
