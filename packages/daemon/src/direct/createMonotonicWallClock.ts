/**
 * Creates a reader of the time of day that a step of the instance's clock does
 * not move: it was read once and goes on by the steady clock.
 *
 * @returns a function that tells milliseconds since 1970
 */
export function createMonotonicWallClock(): () => number {
	const originWallMs = Date.now() - performance.now();
	return () => Math.round(originWallMs + performance.now());
}
