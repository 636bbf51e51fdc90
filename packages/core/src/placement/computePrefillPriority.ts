/**
 * Orders the prefills that wait at one target. It is made for bursts in which more prompts arrive than the targets can
 * prefill in time: served in order of arrival, all of them are late, and those with time in hand delay those without.
 */

/** Options of {@link computePrefillPriority}. */
export type PrefillPriorityOptions = {
	/** Time until the latency objective; negative if it has passed. */
	readonly goalRemainingMs: number;
	/** Whether the wait before the prefill leaves time to meet the objective. */
	readonly isTimely: boolean;
};

/** Priority of a prefill that has waited, or will wait, for too long to meet its objective. */
export const LATE_PREFILL_PRIORITY = 9;
/** Last priority of a prefill that can meet its objective. */
const MAX_TIMELY_PRIORITY = 8;
/** Remaining time up to which a prefill is first in order. */
const FIRST_PRIORITY_MS = 200;
/** Priorities for each doubling of the remaining time. */
const PRIORITIES_PER_DOUBLING = 2;

/**
 * Computes the priority of a prefill on the target's scale, where 0 goes first. What is late by its wait goes last, since
 * it would make others late; the rest goes by the time that is left.
 */
export function computePrefillPriority({goalRemainingMs, isTimely}: PrefillPriorityOptions): number {
	if (!isTimely) {
		return LATE_PREFILL_PRIORITY;
	}

	const doublings = Math.log2(Math.max(goalRemainingMs, FIRST_PRIORITY_MS) / FIRST_PRIORITY_MS);
	return Math.min(MAX_TIMELY_PRIORITY, Math.floor(PRIORITIES_PER_DOUBLING * doublings));
}
