/**
 * Creates a wall clock that does not jump when the system clock is set. It reads
 * the system clock once and then advances with the monotonic clock.
 *
 * @returns a function that returns milliseconds since 1970
 */
export function createMonotonicWallClock(): () => number {
	const originWallMs = Date.now() - performance.now();
	return () => Math.round(originWallMs + performance.now());
}
