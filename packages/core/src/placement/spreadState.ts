import {HASH_RANGE, hashIdentifier} from '../routing/rendezvous.js';

/** When choices are spread: never, for all services, or for services of which a target has stated how long its work takes. */
export const SPREAD_MODES = {off: 'off', on: 'on', auto: 'auto'} as const;
export type SpreadMode = typeof SPREAD_MODES[keyof typeof SPREAD_MODES];

/** Choices that an entry has made among the targets of a service. Sums are weighted by age. */
type RecentChoices = {
	recentCount: number;
	/** Sum over these choices of the entry's own requests that were unfinished at that time. */
	recentRunning: number;
	totalCount: number;
	updatedAtMs: number;
};

/** What an entry remembers of its own choices. */
export type SpreadState = {
	readonly mode: SpreadMode;
	/** By kind of choice, of which there are at most three for each service. */
	readonly choices: Map<string, RecentChoices>;
};

/** Time over which an entry's own choices are averaged. Follows a change of the load within a few reports, and covers several choices of an entry with little traffic. */
const RATE_WINDOW_MS = 1000;
/** Limits of the estimate of how long a request stays unfinished. It rests on few requests if an entry has little traffic. */
const HOLD_MS = {min: 10, max: 5000} as const;
/** Multiples of this ratio, without their integer parts, cover the range from 0 to 1 evenly, however many there are. */
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

/** Creates the state of an entry that has made no choice. */
export function createSpreadState(mode: SpreadMode): SpreadState {
	return {mode, choices: new Map()};
}

/**
 * Counts a choice.
 *
 * @param state - changed in place
 * @param kind - see `SpreadState.choices`
 * @param running - unfinished requests of this entry at targets of the service, without the new one
 */
export function recordSpreadChoice({choices}: SpreadState, kind: string, {running, nowMs}: {running: number; nowMs: number}): void {
	const previous = choices.get(kind);
	const decay = previous === undefined ? 0 : computeDecay(previous, nowMs);
	choices.set(kind, {
		recentCount: 1 + ((previous?.recentCount ?? 0) * decay),
		recentRunning: running + ((previous?.recentRunning ?? 0) * decay),
		totalCount: (previous?.totalCount ?? 0) + 1,
		updatedAtMs: nowMs,
	});
}

/**
 * Estimates this entry's choices per millisecond, and how long a request stays unfinished: by Little's law, its mean
 * number of unfinished requests divided by that rate.
 *
 * @returns undefined before the first choice
 */
export function estimateOwnLoad({choices}: SpreadState, kind: string, nowMs: number): {choicesPerMs: number; holdMs: number} | undefined {
	const recent = choices.get(kind);
	if (recent === undefined) {
		return undefined;
	}

	const choicesPerMs = recent.recentCount * computeDecay(recent, nowMs) / RATE_WINDOW_MS;
	const meanRunning = recent.recentRunning / recent.recentCount;
	return {choicesPerMs, holdMs: Math.min(HOLD_MS.max, Math.max(HOLD_MS.min, meanRunning / choicesPerMs))};
}

/**
 * Computes the position of an entry's next choice between 0 and 1. Successive positions of an entry lie far apart, and those of
 * two entries differ by the hashes of their identifiers.
 */
export function computePosition({choices}: SpreadState, kind: string, entryId: string): number {
	return ((hashIdentifier(entryId) / HASH_RANGE) + ((choices.get(kind)?.totalCount ?? 0) * GOLDEN_RATIO)) % 1;
}

function computeDecay({updatedAtMs}: RecentChoices, nowMs: number): number {
	return Math.exp(Math.min(0, updatedAtMs - nowMs) / RATE_WINDOW_MS);
}
