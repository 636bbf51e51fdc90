/**
 * Slow start of targets that failed: once the wait after a failure is over, a
 * target is given a few attempts at once, and twice as many each time that so
 * many answered, until it is trusted like any other.
 */

/** How far a target has come back. */
export type TargetRamp = {
	/** Attempts that may be under way at once. */
	limit: number;
	/** Answers since the limit was last raised. */
	answers: number;
};

/** Ramps by target; a target without one is trusted. */
export type TargetRamps = Map<string, TargetRamp>;

/** Attempts at once that test whether a target is back. */
const MIN_RAMP_LIMIT = 2;
/** Limit above which no ramp is needed: more than one entry sends one target. */
const MAX_RAMP_LIMIT = 32;

/**
 * Begins the ramp of a target that failed anew.
 *
 * @param ramps - ramps of an entry, changed
 * @param targetId - the target
 */
export function recordRampFailure(ramps: TargetRamps, targetId: string): void {
	ramps.set(targetId, {limit: MIN_RAMP_LIMIT, answers: 0});
}

/**
 * Counts an answer of a target that is coming back.
 *
 * @param ramps - ramps of an entry, changed
 * @param targetId - the target
 */
export function recordRampAnswer(ramps: TargetRamps, targetId: string): void {
	const ramp = ramps.get(targetId);
	if (ramp === undefined) {
		return;
	}

	ramp.answers += 1;
	if (ramp.answers < ramp.limit) {
		return;
	}

	ramp.limit *= 2;
	ramp.answers = 0;
	if (ramp.limit > MAX_RAMP_LIMIT) {
		ramps.delete(targetId);
	}
}

/**
 * Lists the targets that have as many attempts under way as they may.
 *
 * @param ramps - ramps of an entry
 * @param countInFlight - attempts of this entry under way at a target
 * @returns targets that are given no further attempt now
 */
export function listTargetsAtRampLimit(ramps: TargetRamps, countInFlight: (targetId: string) => number): string[] {
	return [...ramps].filter(([targetId, {limit}]) => countInFlight(targetId) >= limit).map(([targetId]) => targetId);
}
