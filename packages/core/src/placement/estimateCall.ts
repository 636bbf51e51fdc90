/** Estimates when a call of a plain service begins to be answered, from the learned time of a call and the requests that run or wait at the target. */
import {type PlacedTarget, type PlacementState} from './placementState.js';
import {type AttemptExpectation, estimateCallMs} from './targetSpeed.js';

/**
 * Describes what is expected of a call at a target.
 *
 * @param running - requests that run or wait there
 * @returns undefined where no speeds are learned, and until the first call of the service was answered
 */
export function estimateCall(state: PlacementState, {target, running}: {target: PlacedTarget; running: number}, nowMs: number): AttemptExpectation | undefined {
	const estimate = estimateCallMs(state, target, nowMs);
	if (estimate === undefined) {
		return undefined;
	}

	const {callMs, workTime} = estimate;
	const ahead = Math.max(0, running + 1 - target.record.slots);
	return {
		unitPrefillMs: 0, backlogMs: callMs * ahead / target.record.slots, otherMs: 0, prefillFactor: workTime, fixedMs: callMs, workTime, isHandover: false,
	};
}

/** Estimates the time that a call takes at a target, as a multiple of the median of its service; 1 where no speeds are learned. */
export function estimateRelativeCallTime(state: PlacementState, target: PlacedTarget, nowMs: number): number {
	const usualMs = state.serviceSpeeds.get(target.record.serviceId)?.fixedMs;
	const estimate = estimateCallMs(state, target, nowMs);
	if (estimate === undefined) {
		return 1;
	}

	return usualMs === undefined || usualMs === 0 ? estimate.workTime : estimate.callMs / usualMs;
}
