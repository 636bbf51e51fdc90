/**
 * Decides whether a call that will miss its latency objective is taken nevertheless. It is made for short overloads: taken
 * without bound, late work makes a queue in which all later calls are late as well; refused at once, callers come back
 * when the overload has passed.
 */

/** Options of {@link mayBeLate}. */
export type LatenessOptions = {
	/** Time until the first event or the first bytes, as expected. */
	readonly expectedMs: number;
	/** Time until the latency objective; negative if it has passed. */
	readonly goalRemainingMs: number;
	/** Time for which the caller still waits for the first event or the first bytes. */
	readonly patienceRemainingMs: number;
	/** Whether the caller was refused before, or has the begin of the stream already. It may not come another time. */
	readonly hasWaitedBefore: boolean;
	/** Priority of the route or the customer, where zero is the first. */
	readonly priority: number;
	/** Recent work for the customer as a multiple of an equal share. */
	readonly customerShare: number;
};

/** Share of the remaining patience up to which a call can be expected to be answered. What is expected later than that mostly is not. */
const ANSWERABLE_SHARE = 0.75;
/** Share of the time between objective and end of patience that a call may be late if its caller has not waited before. */
const FIRST_TIME_SHARE = 0.5;
/** Factor on that share for each priority after the first. */
const SHARE_PER_PRIORITY = 0.8;
/** Multiple of an equal share from which a customer's calls may be late by less. */
const LARGE_CUSTOMER_SHARE = 2;

/** Returns whether a call is taken: it is timely, or late by no more than its caller, its priority and its customer's share of the work allow. */
export function mayBeLate({expectedMs, goalRemainingMs, patienceRemainingMs, hasWaitedBefore, priority, customerShare}: LatenessOptions): boolean {
	const answerableMs = patienceRemainingMs * ANSWERABLE_SHARE;
	const timelyMs = Math.min(Math.max(0, goalRemainingMs), answerableMs);
	if (expectedMs <= timelyMs) {
		return true;
	}

	const share = hasWaitedBefore ? 1 : FIRST_TIME_SHARE * (SHARE_PER_PRIORITY ** Math.max(0, priority)) * Math.min(1, LARGE_CUSTOMER_SHARE / Math.max(1, customerShare));
	return expectedMs <= timelyMs + (share * (answerableMs - timelyMs));
}
