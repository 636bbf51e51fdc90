/** Describes for the log how long an attempt took, what was expected of it, and what was learned. */
import {roundSignificant} from '@damaskspool/shared';
import {type PlacedTarget} from '../placement/placementState.js';
import {SPEED_KINDS, type SpeedKind} from '../placement/speedKinds.js';
import {type AttemptExpectation} from '../placement/targetSpeed.js';

/** A measured attempt, as it is logged with the end of its call. Times are in milliseconds. */
export type AttemptMeasurement = {
	readonly target: string;
	readonly measuredMs: number;
	readonly expectedMs: number;
	/** Part of the expected time that is the wait for known work. */
	readonly backlogMs: number;
	/** Prefill time by the settings alone. */
	readonly unitMs: number;
	readonly prefillFactor: number;
	readonly workTime: number;
	/** Requests known at the target when the attempt was sent. */
	readonly knownRunning: number | undefined;
	/** Requests that the target stated last, running and waiting, and the age of that. */
	readonly stated: readonly [running: number, waiting: number, ageMs: number] | undefined;
	/** Figure of the target that was learned from the attempt; undefined if it may have met a queue that is not known. */
	readonly learned: keyof typeof SPEED_KINDS | undefined;
};

const KIND_NAMES: Readonly<Record<SpeedKind, keyof typeof SPEED_KINDS>> = {[SPEED_KINDS.prefill]: 'prefill', [SPEED_KINDS.fixed]: 'fixed'};
const SIGNIFICANT_DIGITS = 3;

/** Options of {@link describeMeasurement}. */
export type MeasurementOptions = {
	readonly measuredMs: number;
	/** Figure that was learned from the attempt. */
	readonly kind: SpeedKind | undefined;
	readonly nowMs: number;
};

/** Describes an attempt whose first bytes, or whose prefill, took a measured time. */
export function describeMeasurement({record, statedLoad}: PlacedTarget, expectation: AttemptExpectation, {measuredMs, kind, nowMs}: MeasurementOptions): AttemptMeasurement {
	const {unitPrefillMs, prefillFactor, backlogMs, otherMs, fixedMs, workTime, knownRunning} = expectation;
	return {
		target: record.targetId,
		measuredMs: Math.round(measuredMs),
		expectedMs: Math.round((unitPrefillMs * prefillFactor) + backlogMs + otherMs + fixedMs),
		backlogMs: Math.round(backlogMs),
		unitMs: roundSignificant(unitPrefillMs, SIGNIFICANT_DIGITS),
		prefillFactor: roundSignificant(prefillFactor, SIGNIFICANT_DIGITS),
		workTime: roundSignificant(workTime, SIGNIFICANT_DIGITS),
		knownRunning: knownRunning === undefined ? undefined : roundSignificant(knownRunning, SIGNIFICANT_DIGITS),
		stated: statedLoad && [statedLoad.running, statedLoad.waiting, Math.round(nowMs - statedLoad.statedAtMs)],
		learned: kind === undefined ? undefined : KIND_NAMES[kind],
	};
}
