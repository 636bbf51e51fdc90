/**
 * Wall-clock time as the median of the entries' clocks. The clock of a single
 * instance may step by seconds, which would move its counts into another usage
 * window.
 */

/** See {@link createMedianClock}. */
export type MedianClock = {
	/** Records how far a peer's clock is ahead of the local clock. */
	readonly recordOffset: (entryId: string, offsetMs: number) => void;
	/** Removes a peer's offset. */
	readonly remove: (entryId: string) => void;
	/** Converts a local wall-clock time to the median time. */
	readonly toMedianTime: (wallMs: number) => number;
};

/** Creates a clock that equals the local clock until an offset is recorded. */
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
			// The median includes the local clock. With an even number of clocks, the lower of the middle two counts.
			const sorted = [0, ...offsets.values()].toSorted((left, right) => left - right);
			return wallMs + sorted[Math.floor((sorted.length - 1) / 2)]!;
		},
	};
}
