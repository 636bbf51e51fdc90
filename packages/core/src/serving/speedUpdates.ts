/** Keeps what targets and peers tell of the speed of targets, and learns from the attempts of this entry. */
import {type HandlerTable} from '../reducer/createReducer.js';
import {type PlacedTarget, sumRunning} from '../placement/placementState.js';
import {mergeReportedSpeed, takeReportedSpeeds} from '../placement/reportedSpeed.js';
import {getLearnedValue} from '../placement/learnedFigure.js';
import {
	beginLearning, hasLearnedSpeeds, recordMeasuredTime, SPEED_LEARNING_MODES, updateServiceSpeeds,
} from '../placement/targetSpeed.js';
import {recordStatedWorkTime} from '../placement/workTime.js';
import {describeMeasurement} from './describeMeasurement.js';
import {type PeerReport, type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type TargetLoad} from './servingRecords.js';
import {type CallAttempt, type ServingCall, type ServingState} from './servingState.js';

/** Multiple of the expected time from which a missing response shows that a target is slow. */
const OVERDUE_FACTOR = 2;
/** Time beyond that multiple, for which entry and target may be busy with other work. */
const OVERDUE_MARGIN_MS = 100;
/** Logarithm of the ratio by which a figure must change to be logged again. */
const LOGGED_DISTANCE = Math.log(1.5);
/** Shortest time between two such lines of one target. */
const LOG_INTERVAL_MS = 10_000;

/** Handlers that keep learned speeds at each tick. */
export const speedHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	'process.suspended'(state) {
		// What is measured from now on contains the time in which this process stood still.
		for (const {attempt} of state.calls.values()) {
			if (attempt !== undefined) {
				attempt.expectation = undefined;
			}
		}

		return [];
	},
	tick(state, {nowMs}) {
		if (state.placement.serviceSpeeds.size === 0) {
			return [];
		}

		for (const call of state.calls.values()) {
			if (call.attempt !== undefined && isOverdue(call.attempt, nowMs)) {
				recordAttemptSpeed(state, call, {isOverdue: true, nowMs});
			}
		}

		updateServiceSpeeds(state.placement, nowMs);
		return [...state.placement.targets.values()].flatMap(target => recordSpeedChange(state, target, nowMs));
	},
};

/** Returns whether an attempt has waited so long that its target must be slower than was expected. */
function isOverdue({expectation, firstBytesAtMs, isEnded, sentAtMs}: CallAttempt, nowMs: number): boolean {
	if (expectation === undefined || firstBytesAtMs !== undefined || isEnded) {
		return false;
	}

	const {unitPrefillMs, prefillFactor, backlogMs, otherMs, fixedMs} = expectation;
	return nowMs - sentAtMs > OVERDUE_MARGIN_MS + (OVERDUE_FACTOR * ((unitPrefillMs * prefillFactor) + backlogMs + otherMs + fixedMs));
}

/** Logs a figure of a target that has changed clearly since it was logged last. */
function recordSpeedChange({placement: {serviceSpeeds}}: ServingState, target: PlacedTarget, nowMs: number): readonly ServingEffect[] {
	const {speed, workTime} = target;
	if (speed === undefined || nowMs < speed.nextLogAtMs || Math.abs(speed.prefillFactor.logValue - speed.loggedLogValue) < LOGGED_DISTANCE) {
		return [];
	}

	const copySetupMs = serviceSpeeds.get(target.record.serviceId)?.copySetupMs;
	speed.loggedLogValue = speed.prefillFactor.logValue;
	speed.nextLogAtMs = nowMs + LOG_INTERVAL_MS;
	return [{
		type: 'decision.record',
		name: 'target.speed',
		subject: target.record.targetId,
		detail: {
			prefillFactor: Number(getLearnedValue(speed.prefillFactor).toFixed(2)),
			fixedMs: speed.fixedMs && Math.round(getLearnedValue(speed.fixedMs)),
			copySetupMs: copySetupMs && Math.round(getLearnedValue(copySetupMs)),
			meanWorkTime: workTime && Number(workTime.mean.toFixed(2)),
		},
	}];
}

/** Records the load that a target states, if the target also states how long work takes. Only then are speeds of its service learned. */
export function applyStatedLoad(state: ServingState, target: PlacedTarget, load: TargetLoad, nowMs: number): void {
	if (load.workTimeFactor === undefined || state.speedLearningMode === SPEED_LEARNING_MODES.off) {
		return;
	}

	beginServiceLearning(state, target);
	const {running, waiting, workTimeFactor} = load;
	target.statedLoad = {
		running, waiting, statedAtMs: nowMs, knownRunning: sumRunning(target, nowMs),
	};
	target.workTime = recordStatedWorkTime(target.workTime, workTimeFactor, {meanWorkTime: state.placement.serviceSpeeds.get(target.record.serviceId)!.workTime, nowMs});
}

function beginServiceLearning({placement, placementSettings, configuration}: ServingState, {record: {serviceId}}: PlacedTarget): void {
	beginLearning(placement, {serviceId, isEngine: configuration?.services.get(serviceId)?.engine !== undefined, settings: placementSettings});
}

/** Learns the speed of a target from a call whose current attempt took until now for its first bytes, or for its prefill. Changes state and call in place. */
export function recordAttemptSpeed({placement}: ServingState, call: ServingCall, {isOverdue = false, nowMs}: {isOverdue?: boolean; nowMs: number}): void {
	const {attempt} = call;
	if (attempt?.expectation === undefined || placement.targets.get(attempt.target.record.targetId) !== attempt.target) {
		return;
	}

	const {expectation, target, sentAtMs} = attempt;
	const measuredMs = nowMs - sentAtMs;
	attempt.expectation = undefined;
	const kind = recordMeasuredTime(placement, target, expectation, {measuredMs, isOverdue, nowMs});
	call.measurements.push(describeMeasurement(target, expectation, {measuredMs, kind, nowMs}));
}

/** Merges the speeds that a peer reports. A service has learned speeds at this entry too once a peer reports some. */
export function mergeSpeeds(state: ServingState, {speeds}: PeerReport, nowMs: number): void {
	if (state.speedLearningMode === SPEED_LEARNING_MODES.off) {
		return;
	}

	for (const reported of speeds) {
		const target = state.placement.targets.get(reported[0]);
		if (target !== undefined && !hasLearnedSpeeds(state.placement, target.record.serviceId)) {
			beginServiceLearning(state, target);
		}

		mergeReportedSpeed(state.placement, reported, nowMs);
	}
}

/** Takes what peers are told of the speed of targets. Changes the state in place. */
export function takeSpeedUpdates(state: ServingState, nowMs: number, isComplete: boolean): PeerReport['speeds'] {
	const speeds = takeReportedSpeeds(state.placement, {isComplete, firstLearned: state.nextReportedSpeed, nowMs});
	state.nextReportedSpeed += isComplete ? 1 : 0;
	return speeds;
}
