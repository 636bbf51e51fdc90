/**
 * Estimates how long work takes at a target that shares its machine, from what the target stated last. Such a statement
 * holds for some hundred milliseconds only, so that it is weighted by its age against the mean of earlier ones.
 */

/** Time that work takes at a target, as a multiple of the usual time. */
export type WorkTime = {
	/** What the target stated last, to this entry or a peer. */
	readonly factor: number;
	readonly statedAtMs: number;
	/** Mean of what it stated to this entry. */
	readonly mean: number;
	/** Whether peers are to be told, since this entry expected something else. */
	isUnreported: boolean;
};

/** Time within which a stated value loses all but 1/e of its weight against the mean. The delays of a shared machine last some hundred milliseconds. */
const WORK_TIME_DECAY_MS = 140;
/** Weight of a new value in the mean of a target. */
const MEAN_GAIN = 1 / 16;
/** Limits of a stated time of work. Beyond them the statement would decide more than what the target does. */
const MIN_WORK_TIME = 0.25;
const MAX_WORK_TIME = 8;
/** Ratio of a stated value to the expected one from which peers are told. */
const REPORTED_RATIO = 1.3;

/** Options of {@link estimateWorkTime}. */
export type WorkTimeOptions = {
	/** Mean of the service, for a target that has stated nothing. */
	readonly meanWorkTime: number;
	readonly nowMs: number;
	/** Time from now over which the mean is taken. */
	readonly horizonMs: number;
};

/** Estimates the mean time that work takes at a target from now on, as a multiple of the usual time. */
export function estimateWorkTime(workTime: WorkTime | undefined, {meanWorkTime, nowMs, horizonMs}: WorkTimeOptions): number {
	if (workTime === undefined) {
		return meanWorkTime;
	}

	const horizon = Math.max(0, horizonMs) / WORK_TIME_DECAY_MS;
	const horizonShare = horizon === 0 ? 1 : (1 - Math.exp(-horizon)) / horizon;
	const weight = horizonShare * Math.exp(-Math.max(0, nowMs - workTime.statedAtMs) / WORK_TIME_DECAY_MS);
	return workTime.mean + (weight * (workTime.factor - workTime.mean));
}

/** Records what a target stated to this entry. */
export function recordStatedWorkTime(workTime: WorkTime | undefined, statedFactor: number, {meanWorkTime, nowMs}: Pick<WorkTimeOptions, 'meanWorkTime' | 'nowMs'>): WorkTime {
	const factor = fitFactor(statedFactor);
	const ratio = factor / estimateWorkTime(workTime, {meanWorkTime, nowMs, horizonMs: 0});
	const previousMean = workTime?.mean ?? meanWorkTime;
	return {
		factor, statedAtMs: nowMs, mean: previousMean + (MEAN_GAIN * (factor - previousMean)), isUnreported: ratio > REPORTED_RATIO || ratio < 1 / REPORTED_RATIO,
	};
}

/** Records what a target stated to a peer at a given time, unless this entry knows something newer. */
export function mergeReportedWorkTime(workTime: WorkTime | undefined, reportedFactor: number, {meanWorkTime, statedAtMs}: {meanWorkTime: number; statedAtMs: number}): WorkTime {
	return workTime !== undefined && workTime.statedAtMs >= statedAtMs
		? workTime
		: {
			factor: fitFactor(reportedFactor), statedAtMs, mean: workTime?.mean ?? meanWorkTime, isUnreported: false,
		};
}

function fitFactor(factor: number): number {
	return Math.min(MAX_WORK_TIME, Math.max(MIN_WORK_TIME, factor));
}
