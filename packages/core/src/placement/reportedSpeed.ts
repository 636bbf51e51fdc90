/** What entries tell one another of the speed of targets: samples that they measured since the last report, and rarely what they have learned. */
import {roundSignificant} from '@damaskspool/shared';
import {createLearnedFigure, getLearnedValue, pickMedian} from './learnedFigure.js';
import {type PlacedTarget, type PlacementState} from './placementState.js';
import {SPEED_KINDS, type SpeedKind} from './speedKinds.js';
import {recordSpeedSample} from './targetSpeed.js';
import {mergeReportedWorkTime} from './workTime.js';

/**
 * Samples of one figure of a target. `incarnation` is derived from its start time. `value` is their median, and
 * `sampleCount` their number; with zero, it is the figure that the entry has learned, which counts only for an entry that has none.
 * With kind {@link WORK_TIME_KIND}, `value` is how long the target stated that work takes, and the last figure the age of that in milliseconds.
 */
export type ReportedSpeed = readonly [targetId: string, incarnation: number, kind: number, value: number, sampleCount: number];

/** Figures in one report, so that a report stays within a datagram. */
const MAX_REPORTED = 16;
/** Learned figures in a complete report. They take turns. */
const MAX_REPORTED_LEARNED = 4;
/** Samples near the learned figure that are gathered before they are reported. Samples far from it are reported at once. */
const GATHERED_SAMPLES = 3;
/** Samples for which a report counts at most. Four replace a figure: what one entry measured while it stood still must not be enough. */
const MAX_COUNTED_SAMPLES = 2;
/** Weight up to which a figure gives way to one that a peer has learned. */
const MAX_REPLACED_WEIGHT = 1;
/** Kind of a reported figure that is a statement of the target, not a sample. */
export const WORK_TIME_KIND = 2;
/** Age from which a statement of a target tells nothing of the present. */
const MAX_WORK_TIME_AGE_MS = 1000;
const INCARNATION_RANGE = 100_000;
const SIGNIFICANT_DIGITS = 3;

/** Returns a short number that tells two incarnations of a target apart. */
function toIncarnation({record}: PlacedTarget): number {
	return record.startedAtMs % INCARNATION_RANGE;
}

/**
 * Takes the samples that peers do not know.
 *
 * @param state - changed in place: what is returned counts as reported
 * @param isComplete - whether all samples are taken, and some learned figures beginning with number `firstLearned`
 */
export function takeReportedSpeeds({targets, serviceSpeeds}: PlacementState, {isComplete, firstLearned, nowMs}: {isComplete: boolean; firstLearned: number; nowMs: number}): ReportedSpeed[] {
	const reported: ReportedSpeed[] = [];
	if (serviceSpeeds.size === 0) {
		return reported;
	}

	for (const [targetId, target] of targets) {
		const {workTime} = target;
		if (workTime?.isUnreported === true && reported.length < MAX_REPORTED) {
			reported.push([targetId, toIncarnation(target), WORK_TIME_KIND, roundSignificant(workTime.factor, SIGNIFICANT_DIGITS), Math.round(nowMs - workTime.statedAtMs)]);
			workTime.isUnreported = false;
		}

		for (const [kind, {samples, isUrgent}] of target.speed?.unreported ?? []) {
			if (reported.length < MAX_REPORTED && (isComplete || isUrgent || samples.length >= GATHERED_SAMPLES)) {
				reported.push([targetId, toIncarnation(target), kind, roundSignificant(pickMedian(samples), SIGNIFICANT_DIGITS), samples.length]);
				target.speed!.unreported.delete(kind);
			}
		}
	}

	return isComplete ? [...reported, ...listLearned([...targets.values()], firstLearned)] : reported;
}

function listLearned(targets: readonly PlacedTarget[], firstLearned: number): ReportedSpeed[] {
	const used = targets.filter(({speed}) => speed !== undefined);
	return Array.from({length: Math.min(MAX_REPORTED_LEARNED, used.length)}, (_, index) => used[(firstLearned + index) % used.length]!).flatMap(target => {
		const {prefillFactor, fixedMs} = target.speed!;
		return [
			...(prefillFactor.weight > MAX_REPLACED_WEIGHT ? [[SPEED_KINDS.prefill, getLearnedValue(prefillFactor)] as const] : []),
			...(fixedMs !== undefined && fixedMs.weight > MAX_REPLACED_WEIGHT ? [[SPEED_KINDS.fixed, getLearnedValue(fixedMs)] as const] : []),
		].map(([kind, value]): ReportedSpeed => [target.record.targetId, toIncarnation(target), kind, roundSignificant(value, SIGNIFICANT_DIGITS), 0]);
	});
}

/** Returns the kind of a reported figure; undefined for one that this version does not know. */
function findKind(kind: number): SpeedKind | undefined {
	return Object.values(SPEED_KINDS).find(known => known === kind);
}

/**
 * Merges what a peer reports of the speed of a target. What concerns another incarnation, or an unknown kind, is ignored.
 *
 * @param state - changed in place
 */
export function mergeReportedSpeed(state: PlacementState, [targetId, incarnation, reportedKind, value, sampleCount]: ReportedSpeed, nowMs: number): void {
	const target = state.targets.get(targetId);
	const service = target && state.serviceSpeeds.get(target.record.serviceId);
	if (target === undefined || service === undefined || toIncarnation(target) !== incarnation || !(value > 0)) {
		return;
	}

	const kind = findKind(reportedKind);
	if (kind === undefined) {
		if (reportedKind === WORK_TIME_KIND && sampleCount <= MAX_WORK_TIME_AGE_MS) {
			target.workTime = mergeReportedWorkTime(target.workTime, value, {meanWorkTime: service.workTime, statedAtMs: nowMs - sampleCount});
		}

		return;
	}

	if (sampleCount > 0) {
		for (let sample = 0; sample < Math.min(sampleCount, MAX_COUNTED_SAMPLES); sample += 1) {
			recordSpeedSample(state, target, {kind, sample: value}, nowMs);
		}

		return;
	}

	applyLearned(state, target, {kind, value}, nowMs);
}

/** Takes over the figure that a peer has learned, unless this entry has learned more. */
function applyLearned(state: PlacementState, target: PlacedTarget, {kind, value}: {kind: SpeedKind; value: number}, nowMs: number): void {
	const {speed} = target;
	const figure = kind === SPEED_KINDS.prefill ? speed?.prefillFactor : speed?.fixedMs;
	if (figure === undefined) {
		recordSpeedSample(state, target, {kind, sample: value}, nowMs);
	} else if (figure.weight <= MAX_REPLACED_WEIGHT) {
		Object.assign(figure, createLearnedFigure(value), {weight: 2 * MAX_REPLACED_WEIGHT});
	}
}
