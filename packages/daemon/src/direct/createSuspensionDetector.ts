/** Clocks that a suspension sets apart, in milliseconds. */
export type SuspensionClocks = {
	/** Does not advance while the instance is suspended. */
	readonly readMonotonicClock: () => number;
	/** Advances while the instance is suspended. It may also be set. */
	readonly readWallClock: () => number;
};

/** Difference between the clocks that is not taken for a suspension. */
const MIN_SUSPENSION_MS = 200;

/**
 * Creates a function that returns the time for which the instance was suspended since the last call, or zero. A wall
 * clock that is set forward looks like a suspension: the caller gives up terms early then, which is safe.
 */
export function createSuspensionDetector(clocks: SuspensionClocks): () => number {
	const {readMonotonicClock, readWallClock} = clocks;
	let lastOffsetMs = readWallClock() - readMonotonicClock();
	return () => {
		const offsetMs = readWallClock() - readMonotonicClock();
		const aheadMs = offsetMs - lastOffsetMs;
		if (Math.abs(aheadMs) < MIN_SUSPENSION_MS) {
			return 0;
		}

		lastOffsetMs = offsetMs;
		return Math.max(0, Math.round(aheadMs));
	};
}
