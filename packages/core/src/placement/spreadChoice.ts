/**
 * Spreads the choices of many entries over targets when what they know of each other's work is old. It is made for loads
 * in which all entries together send several requests between two reports: entries that all pick the target with the
 * lowest score overrun one target after the other, while the rest idle until the next report.
 *
 * An entry expects that its peers have sent as many requests since their last reports as it has sent itself in that time,
 * and that reported requests have ended as fast as its own do. It makes each choice with a frequency that levels the scores
 * once the expected requests have arrived. If none are expected, that is the choice with the lowest score.
 */
import {computeReportInterval} from '../membership/reportRoutes.js';
import {PEER_TIMEOUT_MS, type PlacedTarget, type PlacementState} from './placementState.js';
import {estimateOwnLoad, SPREAD_MODES} from './spreadState.js';
import {hasLearnedSpeeds} from './targetSpeed.js';

/** A choice with its score. The lowest score is the best. */
export type ScoredChoice<T> = {
	readonly choice: T;
	readonly score: number;
	/** Increase of the score with each further request. Positive. */
	readonly step: number;
};

/** Place of a choice among the candidates. */
export type SpreadRank = {
	/** Number of candidates with a lower score. */
	readonly rank: number;
	readonly candidateCount: number;
};

/** What has probably changed at the targets since the reports of the peers. */
export type ReportDrift = {
	/** Unfinished requests that peers have sent since. */
	readonly newRequests: number;
	/** Share of the reported requests that is still unfinished. */
	readonly remainingShare: number;
};

/** Options of {@link chooseSpread}. */
export type SpreadOptions = {
	/** Requests that peers are expected to have sent to the candidates. */
	readonly newRequests: number;
	/** Position of the choice between 0 and 1. */
	readonly position: number;
};

/** Requests that are expected at least, so that equal scores are shared also by an entry without peers. Too few to change the order of scores that differ. */
const MIN_NEW_REQUESTS = 0.01;
/** Targets whose load is compared for one choice. The best of so many is nearly the best of all; each costs a look at the report of every peer. */
export const MAX_SAMPLED_TARGETS = 32;
/** Makes the offset of a sample independent of the position at which a choice is made in the sample. Larger than the sample and prime. */
const OFFSET_FACTOR = 997;

/** Returns whether choices among the targets of a service are spread. */
export function isSpread(state: PlacementState, serviceId: string): boolean {
	const {mode} = state.spread;
	return mode === SPREAD_MODES.auto ? hasLearnedSpeeds(state, serviceId) : mode === SPREAD_MODES.on;
}

/**
 * Estimates what has changed at the targets of a service since the reports of the peers. A report may have waited for one
 * interval at the entry that forwarded it. A silent peer still sends, so it counts with the age at which its report expired.
 *
 * @param kind - see `SpreadState.choices`
 */
export function estimateDrift({spread, peers}: PlacementState, kind: string, nowMs: number): ReportDrift {
	const ownLoad = estimateOwnLoad(spread, kind, nowMs);
	if (ownLoad === undefined || peers.size === 0) {
		return {newRequests: 0, remainingShare: 1};
	}

	const delayMs = computeReportInterval(peers.size);
	let ageSumMs = 0;
	for (const {receivedAtMs} of peers.values()) {
		ageSumMs += Math.min(PEER_TIMEOUT_MS, nowMs - receivedAtMs + delayMs);
	}

	const {choicesPerMs, holdMs} = ownLoad;
	const remainingShare = Math.exp(-ageSumMs / peers.size / holdMs);
	return {newRequests: peers.size * choicesPerMs * holdMs * (1 - remainingShare), remainingShare};
}

/**
 * Makes one of several choices, each with the frequency that levels the scores once the new requests of peers have arrived.
 *
 * @param candidates - in an order that remains the same from choice to choice
 * @returns undefined if there are no candidates
 */
export function chooseSpread<T>(candidates: ReadonlyArray<ScoredChoice<T>>, {newRequests, position}: SpreadOptions): ({choice: T} & SpreadRank) | undefined {
	const requests = Math.max(MIN_NEW_REQUESTS, newRequests);
	const level = computeLevel(candidates, requests);
	let remaining = position * requests;
	let chosen: ScoredChoice<T> | undefined;
	for (const candidate of candidates) {
		if (candidate.score < level) {
			chosen = candidate;
			remaining -= (level - candidate.score) / candidate.step;
		}

		if (remaining < 0) {
			break;
		}
	}

	return chosen === undefined
		? undefined
		: {choice: chosen.choice, rank: candidates.filter(({score}) => score < chosen.score).length, candidateCount: candidates.length};
}

/** Computes the score that the candidates with the lowest scores have in common once they have taken the given requests. */
function computeLevel(candidates: ReadonlyArray<ScoredChoice<unknown>>, requests: number): number {
	let level = Number.POSITIVE_INFINITY;
	let requestsPerScore = 0;
	let scoreSum = 0;
	for (const {score, step} of candidates.toSorted((left, right) => left.score - right.score)) {
		if (score >= level) {
			break;
		}

		requestsPerScore += 1 / step;
		scoreSum += score / step;
		level = (requests + scoreSum) / requestsPerScore;
	}

	return level;
}

/** Samples targets at even intervals, so that a choice costs the same for any number of targets. The offset follows from the position of the choice. */
export function sampleTargets(targets: readonly PlacedTarget[], position: number): readonly PlacedTarget[] {
	const interval = targets.length / MAX_SAMPLED_TARGETS;
	const offset = position * OFFSET_FACTOR % 1;
	return interval <= 1
		? targets
		: Array.from({length: MAX_SAMPLED_TARGETS}, (_, index) => targets[Math.floor((index + offset) * interval)]!);
}

/**
 * Samples the targets that may be chosen. Looks at all of them only if they are few in number or most of a sample may not be chosen.
 *
 * @returns the sample, and its share of all targets that may be chosen, by estimate
 */
export function sampleUsable(
	targets: readonly PlacedTarget[],
	{position, mayChoose}: {position: number; mayChoose: (target: PlacedTarget) => boolean},
): {sample: readonly PlacedTarget[]; shareOfAll: number} {
	const sample = sampleTargets(targets, position);
	const usable = sample.filter(target => mayChoose(target));
	if (sample.length === targets.length || usable.length >= sample.length / 2) {
		return {sample: usable, shareOfAll: sample.length / Math.max(1, targets.length)};
	}

	const allUsable = targets.filter(target => mayChoose(target));
	const usableSample = sampleTargets(allUsable, position);
	return {sample: usableSample, shareOfAll: usableSample.length / Math.max(1, allUsable.length)};
}
