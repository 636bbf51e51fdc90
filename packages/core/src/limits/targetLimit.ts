/**
 * Limits that targets name: the requests per second that a target takes from all entries together. A limit holds until
 * the target answers a request without naming one.
 */

/** What an entry knows about the limit of one incarnation of a target. */
export type TargetLimit = {
	/** `Infinity` if the target has ended its limit. */
	readonly requestsPerSecond: number;
	/** Time of the answer that says so, by the local clock. */
	readonly observedAtMs: number;
};

/**
 * Decides whether an answer changes or confirms the limit of a target. An answer without a limit ends it only if its
 * request was sent after the target last named the limit: answers may overtake one another.
 *
 * @param answer - the limit in the answer, and when its request was sent; undefined for a control call
 * @returns the limit, or undefined if the answer says nothing new
 */
export function resolveLimit(
	known: TargetLimit | undefined,
	answer: {readonly requestsPerSecond: number; readonly requestSentAtMs: number | undefined},
	nowMs: number,
): TargetLimit | undefined {
	const isEnd = answer.requestsPerSecond === Number.POSITIVE_INFINITY;
	const isLater = known !== undefined && answer.requestSentAtMs !== undefined && answer.requestSentAtMs >= known.observedAtMs;
	return isEnd && !isLater ? undefined : {requestsPerSecond: answer.requestsPerSecond, observedAtMs: nowMs};
}
