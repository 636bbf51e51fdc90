/** Measures how even the load of targets is, as one entry knows it from its own requests and the reports of its peers. Decides nothing. */
import {
	isAvailable, listServiceTargets, type PlacedTarget, type PlacementState, sumRunning,
} from './placementState.js';
import {MAX_SAMPLED_TARGETS, sampleTargets} from './spreadChoice.js';
import {estimateRunning} from './statedLoad.js';

/** Sums over the samples and choices of one kind of target since the last summary. */
type EvennessSums = {sampleCount: number; peakToMean: number; fullWhileIdle: number; choices: number; unevenChoices: number};

/** Sums by kind of target: service and stage. */
export type EvennessState = {readonly kinds: Map<string, EvennessSums>; sampledAtMs: number; summarizedAtMs: number | undefined};

/** How even the load of one kind of target was. */
export type EvennessSummary = {
	/** Service, and the stage of engines. */
	readonly kind: string;
	/** Unfinished requests per slot of the target with the most, over the mean of all; a mean over the samples. Undefined without samples. */
	readonly peakToMean: number | undefined;
	/** Share of the targets that were full while another had half of its slots free; a mean over the samples. Undefined without samples. */
	readonly fullWhileIdle: number | undefined;
	readonly choices: number;
	/** Choices of a full target while another of its kind had half of its slots free. */
	readonly unevenChoices: number;
};

/** Time between two samples. A sample looks at all targets once. */
const SAMPLE_INTERVAL_MS = 500;
/** Time between two summaries. Together with the number of kinds it bounds the volume of the log. */
const SUMMARY_INTERVAL_MS = 10_000;
/** Kinds of targets that are summarized. */
const MAX_KINDS = 32;
/** Share of its slots up to which a target counts as idle. */
const IDLE_SHARE = 0.5;

/** Creates the state of an entry that has measured nothing. */
export function createEvennessState(): EvennessState {
	return {kinds: new Map(), sampledAtMs: Number.NEGATIVE_INFINITY, summarizedAtMs: undefined};
}

/**
 * Counts a choice, before its request is counted at the target. Looks at other targets only if the chosen one is full, and
 * at a bounded number of them.
 *
 * @param evenness - changed in place
 */
export function recordChoice(evenness: EvennessState, state: PlacementState, target: PlacedTarget, nowMs: number): void {
	const sums = resolveSums(evenness, toKind(target));
	if (sums === undefined) {
		return;
	}

	sums.choices += 1;
	if (computeOccupancy(target, nowMs) >= 1) {
		const position = sums.choices / MAX_SAMPLED_TARGETS % 1;
		const isOtherIdle = sampleTargets(listServiceTargets(state, target.record.serviceId), position).some(other =>
			other.record.stage === target.record.stage && isAvailable(other, nowMs) && computeOccupancy(other, nowMs) <= IDLE_SHARE);
		sums.unevenChoices += isOtherIdle ? 1 : 0;
	}
}

/**
 * Samples the load of all targets if it is time.
 *
 * @param evenness - changed in place
 */
export function updateEvenness(evenness: EvennessState, state: PlacementState, nowMs: number): void {
	if (nowMs - evenness.sampledAtMs < SAMPLE_INTERVAL_MS) {
		return;
	}

	evenness.sampledAtMs = nowMs;
	const occupanciesByKind = new Map<string, number[]>();
	for (const target of state.targets.values()) {
		if (isAvailable(target, nowMs)) {
			const kind = toKind(target);
			const occupancies = occupanciesByKind.get(kind) ?? [];
			occupancies.push(computeOccupancy(target, nowMs));
			occupanciesByKind.set(kind, occupancies);
		}
	}

	for (const [kind, occupancies] of occupanciesByKind) {
		addSample(resolveSums(evenness, kind), occupancies);
	}
}

/** Adds a sample to sums, which change in place. A kind without load is neither even nor uneven. */
function addSample(sums: EvennessSums | undefined, occupancies: readonly number[]): void {
	let sum = 0;
	let peak = 0;
	let lowest = Number.POSITIVE_INFINITY;
	let fullCount = 0;
	for (const occupancy of occupancies) {
		sum += occupancy;
		peak = Math.max(peak, occupancy);
		lowest = Math.min(lowest, occupancy);
		fullCount += occupancy >= 1 ? 1 : 0;
	}

	if (sums !== undefined && sum > 0) {
		sums.sampleCount += 1;
		sums.peakToMean += peak * occupancies.length / sum;
		sums.fullWhileIdle += lowest <= IDLE_SHARE ? fullCount / occupancies.length : 0;
	}
}

/**
 * Summarizes each kind of target that was chosen since the last summary if it is time, and begins anew.
 *
 * @param evenness - changed in place
 */
export function takeEvenness(evenness: EvennessState, nowMs: number): readonly EvennessSummary[] {
	const {summarizedAtMs} = evenness;
	if (summarizedAtMs !== undefined && nowMs - summarizedAtMs < SUMMARY_INTERVAL_MS) {
		return [];
	}

	evenness.summarizedAtMs = nowMs;
	if (summarizedAtMs === undefined) {
		return [];
	}

	const summaries = [...evenness.kinds].filter(([, {choices}]) => choices > 0).map(([kind, {
		sampleCount, peakToMean, fullWhileIdle, choices, unevenChoices,
	}]): EvennessSummary => ({
		kind,
		peakToMean: sampleCount === 0 ? undefined : peakToMean / sampleCount,
		fullWhileIdle: sampleCount === 0 ? undefined : fullWhileIdle / sampleCount,
		choices,
		unevenChoices,
	}));
	evenness.kinds.clear();
	return summaries;
}

function toKind({record: {serviceId, stage}}: PlacedTarget): string {
	return stage === undefined ? serviceId : `${serviceId}/${stage}`;
}

function computeOccupancy(target: PlacedTarget, nowMs: number): number {
	return estimateRunning(target, sumRunning(target, nowMs), nowMs) / target.record.slots;
}

/** Returns the sums of a kind; undefined for kinds beyond the number that is summarized. */
function resolveSums({kinds}: EvennessState, kind: string): EvennessSums | undefined {
	const known = kinds.get(kind);
	if (known !== undefined || kinds.size >= MAX_KINDS) {
		return known;
	}

	const sums = {
		sampleCount: 0, peakToMean: 0, fullWhileIdle: 0, choices: 0, unevenChoices: 0,
	};
	kinds.set(kind, sums);
	return sums;
}
