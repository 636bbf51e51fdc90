/**
 * Estimates how long work takes at each target from what the target did before. It is made for targets that differ in
 * speed, turn slow, and share their machines with other programs, which delay them for some hundred milliseconds at a
 * time. Learned are two figures of a target: its prefill time as a multiple of what the settings expect, attention and
 * decode steps included, and its fixed time; and of a service the time of a handover and the time before a copy.
 *
 * Only services whose targets state how long work takes at the moment have learned speeds. For all others the settings hold.
 */
import {type TargetRecord} from '../serving/servingRecords.js';
import {
	createLearnedFigure, getLearnedValue, isLearned, type LearnedFigure, recordSample, updateUnused,
} from './learnedFigure.js';
import {findEvidence} from './speedEvidence.js';
import {SPEED_KINDS, type SpeedKind} from './speedKinds.js';
import {type PlacementSettings} from './placementSettings.js';
import {
	listServiceTargets, type PlacedTarget, type PlacementState, sumRunning,
} from './placementState.js';
import {estimateWorkTime} from './workTime.js';

/** What is known about the speed of one incarnation of a target. Its times are those of a machine that nothing delays. */
export type TargetSpeed = {
	/** Prefill time as a multiple of what the settings expect; 1 is the first guess for a service. */
	readonly prefillFactor: LearnedFigure;
	/** Time to the first event of a fully cached prompt, or to the first bytes of a plain call. Undefined for a plain service of which no call was answered yet. */
	fixedMs: LearnedFigure | undefined;
	/** Time of the last sample. */
	sampledAtMs: number;
	/** Logarithm of the prefill factor that was logged last. */
	loggedLogValue: number;
	/** Time from which a change may be logged again. */
	nextLogAtMs: number;
	/** Samples of this entry that its peers do not know, by kind. */
	readonly unreported: Map<SpeedKind, {readonly samples: number[]; isUrgent: boolean}>;
};

/** Figures at which a target begins that has not been used yet, and those that belong to no single target. */
export type ServiceSpeed = {
	/** Median over the targets of the service in each stage. The settings' ratio of both stages is a guess as well. */
	readonly prefillFactors: Map<TargetRecord['stage'], number>;
	/** Median over the targets of the service. Undefined for a plain service of which no call was answered yet. */
	fixedMs: number | undefined;
	/** Time of a handover beside prefill and copy of KV cache. */
	readonly handoverMs: LearnedFigure;
	/** Time by which a prefill takes longer if shared parts are fetched from another target, beside the copy itself. */
	readonly copySetupMs: LearnedFigure;
	/** Median over the targets of the mean time that work takes, as a multiple of the usual time. */
	workTime: number;
};

/** How long work takes at a target now. */
export type SpeedEstimate = {
	/** Prefill time as a multiple of what the settings expect, whatever delays the machine included. */
	readonly prefillFactor: number;
	readonly fixedMs: number;
	/** Time that work takes as a multiple of the usual time, contained in the other figures. */
	readonly workTime: number;
};

/** What was expected of an attempt when it was sent. Compared with its first bytes, it tells the speed of its target. */
export type AttemptExpectation = {
	/** Prefill time by the settings alone. */
	readonly unitPrefillMs: number;
	/** Wait for other work of the target, as estimated. */
	readonly backlogMs: number;
	/** Time that does not depend on the target's speed: copies of KV cache. */
	readonly otherMs: number;
	readonly prefillFactor: number;
	readonly fixedMs: number;
	/** Time that work takes at the target, as stated by then. */
	readonly workTime: number;
	/** Whether the first bytes follow a handover instead of a prefill. */
	readonly isHandover: boolean;
	/** Whether all shared parts are believed to be cached, or there are none. Others may be cached nevertheless, since an entry does not know of all. Omitted: yes. */
	readonly isCacheKnown?: boolean;
	/** Part of `otherMs` that a copy takes before it begins. Omitted: none. */
	readonly copySetupMs?: number;
	/** Requests of all entries at the target when the attempt was sent, without this one. Omitted: none. */
	readonly knownRunning?: number;
};

/** A measured time of an attempt. */
export type MeasuredTime = {
	readonly measuredMs: number;
	/** Whether the first bytes have not come yet, long after they were expected. */
	readonly isOverdue?: boolean;
	readonly nowMs: number;
};

/** When speeds are learned: never, or for services whose targets state how long work takes. */
export const SPEED_LEARNING_MODES = {off: 'off', auto: 'auto'} as const;

/** One of {@link SPEED_LEARNING_MODES}. */
export type SpeedLearningMode = typeof SPEED_LEARNING_MODES[keyof typeof SPEED_LEARNING_MODES];

/** Shortest time that counts as measured. Estimates of copies and queues can exceed the measured time. */
const MIN_MEASURED_MS = 1;
/** Ratio of a learned figure to the median of others beyond which it does not count. Targets differ by less, also one that turns slow. */
const MAX_DISTANCE = 6;
/** Time without samples from which a target returns to the median of its service. */
const UNUSED_MS = 4000;
/** Share of the way that it returns at each tick. */
const UNUSED_SHARE = 0.1;
/** Logarithm of the ratio by which a figure must differ from a sample for peers to be told at once. */
const URGENT_DISTANCE = Math.log(1.3);

/** Returns whether speeds are learned for a service. */
export function hasLearnedSpeeds({serviceSpeeds}: PlacementState, serviceId: string): boolean {
	return serviceSpeeds.has(serviceId);
}

/** Begins to learn the speeds of a service, one of whose targets states how long work takes. Does nothing if it has begun. Changes the state in place. */
export function beginLearning({serviceSpeeds}: PlacementState, {serviceId, isEngine, settings}: {serviceId: string; isEngine: boolean; settings: PlacementSettings}): void {
	if (!serviceSpeeds.has(serviceId)) {
		serviceSpeeds.set(serviceId, {
			prefillFactors: new Map(),
			fixedMs: isEngine ? settings.firstEventMs : undefined,
			handoverMs: createLearnedFigure(settings.handoverMs),
			copySetupMs: createLearnedFigure(settings.copySetupMs),
			workTime: 1,
		});
	}
}

/**
 * Estimates the speed of a target.
 *
 * @param settings - hold for services without learned speeds
 * @param horizonMs - time that the work takes about, over which delays of the machine are averaged
 */
export function estimateSpeed(state: PlacementState, target: PlacedTarget, settings: PlacementSettings, {nowMs, horizonMs}: {nowMs: number; horizonMs: number}): SpeedEstimate {
	const service = state.serviceSpeeds.get(target.record.serviceId);
	if (service === undefined) {
		return {prefillFactor: 1, fixedMs: settings.firstEventMs, workTime: 1};
	}

	const workTime = estimateWorkTime(target.workTime, {meanWorkTime: service.workTime, nowMs, horizonMs});
	const {speed} = target;
	return {
		prefillFactor: workTime * resolvePrefillFactor(target, service),
		fixedMs: workTime * resolveFixedMs(target, service),
		workTime,
	};
}

/** Estimates the time that a plain call takes at a target with a free slot; zero before the first answer of the service, and undefined where no speeds are learned. */
export function estimateCallMs({serviceSpeeds}: PlacementState, target: PlacedTarget, nowMs: number): {callMs: number; workTime: number} | undefined {
	const service = serviceSpeeds.get(target.record.serviceId);
	if (service === undefined) {
		return undefined;
	}

	const usualMs = resolveFixedMs(target, service);
	const workTime = estimateWorkTime(target.workTime, {meanWorkTime: service.workTime, nowMs, horizonMs: usualMs});
	return {callMs: usualMs * workTime, workTime};
}

/** Returns the learned prefill factor of a target, or the median of its stage. */
function resolvePrefillFactor({speed, record}: PlacedTarget, {prefillFactors}: ServiceSpeed): number {
	return speed !== undefined && isLearned(speed.prefillFactor)
		? fitToMedian(getLearnedValue(speed.prefillFactor), prefillFactors.get(record.stage))
		: resolveStageFactor(prefillFactors, record.stage);
}

/** Returns the median prefill factor of a stage; before its first sample that of the other stage, and 1 before the first sample of all. */
function resolveStageFactor(prefillFactors: ServiceSpeed['prefillFactors'], stage: TargetRecord['stage']): number {
	return prefillFactors.get(stage) ?? [...prefillFactors.values()][0] ?? 1;
}

/** Limits what was learned of a target by the median of others. What lies beyond is a wait that was not noticed, or a fault. */
function fitToMedian(value: number, median: number | undefined): number {
	return median === undefined ? value : Math.min(median * MAX_DISTANCE, Math.max(median / MAX_DISTANCE, value));
}

/** Returns the learned fixed time of a target, or the median of its service; zero before the first answer of a plain service. */
function resolveFixedMs({speed}: PlacedTarget, service: ServiceSpeed): number {
	return speed?.fixedMs === undefined || !isLearned(speed.fixedMs) ? service.fixedMs ?? 0 : fitToMedian(getLearnedValue(speed.fixedMs), service.fixedMs);
}

/** Returns the time of a handover in a service beside prefill and copy of KV cache. */
export function getHandoverMs({serviceSpeeds}: PlacementState, serviceId: string, settings: PlacementSettings): number {
	const service = serviceSpeeds.get(serviceId);
	return service === undefined ? settings.handoverMs : getLearnedValue(service.handoverMs);
}

/** Returns the settings of placement for a service, with the learned time before a copy. */
export function resolveServiceSettings({serviceSpeeds}: PlacementState, serviceId: string, settings: PlacementSettings): PlacementSettings {
	const service = serviceSpeeds.get(serviceId);
	return service === undefined ? settings : {...settings, copySetupMs: getLearnedValue(service.copySetupMs)};
}

/**
 * Learns from the first bytes of an attempt, or from the end of its prefill.
 *
 * @param state - changed in place
 * @param target - changed in place
 * @param expectation - what was expected when the attempt was sent
 * @returns the figure of the target that was learned; undefined if the attempt may have met a queue that is not known
 */
export function recordMeasuredTime(state: PlacementState, target: PlacedTarget, expectation: AttemptExpectation, {measuredMs, isOverdue = false, nowMs}: MeasuredTime): SpeedKind | undefined {
	const service = state.serviceSpeeds.get(target.record.serviceId);
	if (service === undefined) {
		return undefined;
	}

	// What the target stated before the work holds for its begin, what it states with its answer for its end.
	const statedTime = estimateWorkTime(target.workTime, {meanWorkTime: service.workTime, nowMs, horizonMs: measuredMs / 2});
	const workTime = (expectation.workTime + statedTime) / 2;
	const usualMs = Math.max(MIN_MEASURED_MS, measuredMs - expectation.otherMs) / workTime;
	const {statedLoad, record: {slots}} = target;
	const knownRunning = sumRunning(target, nowMs);
	const kind = findEvidence(expectation, {
		statedLoad, slots, knownRunning, isOverdue, nowMs,
	});
	if (kind === undefined) {
		return undefined;
	}

	if (expectation.isHandover) {
		recordSample(service.handoverMs, usualMs);
		return undefined;
	}

	const prefillFactor = expectation.prefillFactor / expectation.workTime;
	const fixedMs = expectation.fixedMs / expectation.workTime;
	const queuedMs = (expectation.unitPrefillMs * prefillFactor) + (expectation.backlogMs / expectation.workTime);
	if (expectation.otherMs > 0) {
		const {otherMs, copySetupMs = 0} = expectation;
		recordSample(service.copySetupMs, Math.max(MIN_MEASURED_MS, measuredMs - (otherMs - copySetupMs) - (workTime * (queuedMs + fixedMs))));
		return undefined;
	}

	const sample = kind === SPEED_KINDS.prefill
		? prefillFactor * Math.max(MIN_MEASURED_MS, usualMs - fixedMs) / queuedMs
		: Math.max(MIN_MEASURED_MS, usualMs - queuedMs);
	recordSpeedSample(state, target, {kind, sample}, nowMs);
	recordUnreported(target.speed!, {kind, sample});
	return kind;
}

/** Records a sample of a target's speed that this entry or a peer measured. Changes the target in place. */
export function recordSpeedSample({serviceSpeeds}: PlacementState, target: PlacedTarget, {kind, sample}: {kind: SpeedKind; sample: number}, nowMs: number): void {
	const service = serviceSpeeds.get(target.record.serviceId);
	if (service === undefined || !(sample > 0)) {
		return;
	}

	target.speed ??= {
		prefillFactor: createLearnedFigure(resolveStageFactor(service.prefillFactors, target.record.stage)),
		fixedMs: service.fixedMs === undefined ? undefined : createLearnedFigure(service.fixedMs),
		sampledAtMs: nowMs,
		loggedLogValue: 0,
		nextLogAtMs: 0,
		unreported: new Map(),
	};
	const {speed} = target;
	speed.sampledAtMs = nowMs;
	if (kind === SPEED_KINDS.prefill) {
		recordSample(speed.prefillFactor, sample);
		return;
	}

	if (speed.fixedMs === undefined) {
		speed.fixedMs = createLearnedFigure(sample);
		service.fixedMs ??= sample;
		return;
	}

	recordSample(speed.fixedMs, sample);
}

/** Sums a sample up for the next report to peers. Changes the speed in place. */
function recordUnreported({unreported, prefillFactor, fixedMs}: TargetSpeed, {kind, sample}: {kind: SpeedKind; sample: number}): void {
	const figure = kind === SPEED_KINDS.prefill ? prefillFactor : fixedMs!;
	const gathered = unreported.get(kind) ?? {samples: [], isUrgent: false};
	gathered.samples.push(sample);
	gathered.isUrgent ||= Math.abs(Math.log(sample) - figure.logValue) > URGENT_DISTANCE;
	unreported.set(kind, gathered);
}

/**
 * Computes the medians of all services with learned speeds anew. A target without samples for a time returns to the median: one that seemed
 * slow gets no requests that could show otherwise. Changes the state in place.
 */
export function updateServiceSpeeds(state: PlacementState, nowMs: number): void {
	for (const [serviceId, service] of state.serviceSpeeds) {
		const used = listServiceTargets(state, serviceId).filter(({speed, workTime}) => speed !== undefined || workTime !== undefined);
		for (const stage of new Set(used.map(({record}) => record.stage))) {
			const inStage = used.filter(({record}) => record.stage === stage);
			const median = computeMedian(inStage.map(({speed}) => speed && isLearned(speed.prefillFactor) ? getLearnedValue(speed.prefillFactor) : undefined));
			if (median !== undefined) {
				service.prefillFactors.set(stage, median);
			}
		}

		service.fixedMs = computeMedian(used.map(({speed}) => speed?.fixedMs && isLearned(speed.fixedMs) ? getLearnedValue(speed.fixedMs) : undefined)) ?? service.fixedMs;
		service.workTime = computeMedian(used.map(({workTime}) => workTime?.mean)) ?? service.workTime;
		for (const {speed, record} of used) {
			if (speed !== undefined && nowMs - speed.sampledAtMs > UNUSED_MS) {
				updateUnused(speed.prefillFactor, resolveStageFactor(service.prefillFactors, record.stage), UNUSED_SHARE);
				if (speed.fixedMs !== undefined && service.fixedMs !== undefined) {
					updateUnused(speed.fixedMs, service.fixedMs, UNUSED_SHARE);
				}
			}
		}
	}
}

function computeMedian(values: ReadonlyArray<number | undefined>): number | undefined {
	const sorted = values.filter(value => value !== undefined).toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)];
}
