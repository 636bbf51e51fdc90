/**
 * Slow start for targets that failed. After the backoff, an entry limits its
 * concurrent attempts at the target. Once as many attempts as the limit were
 * answered, the limit doubles, until the target needs no limit any more.
 */

/** Slow start of one target. */
export type TargetRamp = {
	/** Maximum number of concurrent attempts. */
	limit: number;
	/** Number of answered attempts since the limit was last raised. */
	answers: number;
};

/** Slow starts by target identifier. A target without one has no limit. */
export type TargetRamps = Map<string, TargetRamp>;

/** Number of concurrent attempts that test whether a target has recovered. */
const MIN_RAMP_LIMIT = 2;
/** Limit above which the slow start ends. A single entry has fewer concurrent attempts at one target. */
const MAX_RAMP_LIMIT = 32;

/** Starts or restarts the slow start of a target that failed. Changes `ramps` in place. */
export function recordRampFailure(ramps: TargetRamps, targetId: string): void {
	ramps.set(targetId, {limit: MIN_RAMP_LIMIT, answers: 0});
}

/** Records an answered attempt of a target and raises its limit when enough were answered. Changes `ramps` in place. */
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
 * Lists the targets that have reached their limit of concurrent attempts.
 *
 * @param countInFlight - returns the number of this entry's attempts in progress at a target
 */
export function listTargetsAtRampLimit(ramps: TargetRamps, countInFlight: (targetId: string) => number): string[] {
	return [...ramps].filter(([targetId, {limit}]) => countInFlight(targetId) >= limit).map(([targetId]) => targetId);
}
