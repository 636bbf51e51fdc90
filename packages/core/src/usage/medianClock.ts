/**
 * Time of day as most entries have it. The clock of a single instance may step
 * by seconds, which would move its counts into another usage window.
 */

/** See {@link createMedianClock}. */
export type MedianClock = {
	/** Records how far a peer's time of day is ahead of the own one. */
	readonly recordOffset: (entryId: string, offsetMs: number) => void;
	/** Forgets a peer. */
	readonly remove: (entryId: string) => void;
	/** Turns the own time of day into the agreed one. */
	readonly toMedianTime: (wallMs: number) => number;
};

/**
 * Creates a clock that agrees with itself until peers are heard.
 *
 * @returns the clock
 */
export function createMedianClock(): MedianClock {
	const offsets = new Map<string, number>();
	return {
		recordOffset(entryId, offsetMs) {
			offsets.set(entryId, offsetMs);
		},
		remove(entryId) {
			offsets.delete(entryId);
		},
		toMedianTime(wallMs) {
			// The own clock is one of those that are asked; of an even number the lower middle one counts.
			const sorted = [0, ...offsets.values()].toSorted((left, right) => left - right);
			return wallMs + sorted[Math.floor((sorted.length - 1) / 2)]!;
		},
	};
}
