/**
 * Limits that targets name: the requests per second that a target takes from all entries together. A limit holds until
 * the target answers a request without naming one. Entries tell one another what they hear, because most of them send
 * nothing to a target with a low limit.
 */

/** What an entry knows about the limit of one incarnation of a target. */
export type TargetLimit = {
	/** `Infinity` if the target has ended its limit. */
	readonly requestsPerSecond: number;
	/** Time since which the target names this limit, or none. */
	readonly sinceMs: number;
	/** Time of the latest answer that says so, by the local clock. */
	readonly observedAtMs: number;
	/** Whether this entry received that answer, not a peer. */
	readonly isObservedLocally: boolean;
};

/** What an answer says about the limit of its target. */
export type AnsweredLimit = {
	/** `Infinity` if the answer names no limit. */
	readonly requestsPerSecond: number;
	/** When the request was sent; undefined for a control call. */
	readonly requestSentAtMs: number | undefined;
};

/** A limit as told to peers: the requests per second, -1 if the target has ended its limit, and how long ago it said so. */
export type ReportedLimit = readonly [targetId: string, startedAtMs: number, requestsPerSecond: number, ageMs: number];

/** Number that stands for the end of a limit in reports, which cannot contain `Infinity`. */
const ENDED = -1;
/** Time by which the delay of a report may hide its age. A reported end counts only if it is later than the limit by more than that. */
const MAX_REPORT_DELAY_MS = 500;
/** Time for which an entry repeats to its peers what a target has said. */
const REPORT_RETENTION_MS = 5000;

/** Returns whether a target has named a limit that it has not ended. */
export function isLimited(limit: TargetLimit | undefined): boolean {
	return limit !== undefined && Number.isFinite(limit.requestsPerSecond);
}

/**
 * Decides whether an answer that this entry received changes or confirms the limit of its target. An answer without a
 * limit ends it only if its request was sent after the target last named the limit: answers may overtake one another.
 *
 * @returns the limit, or undefined if the answer says nothing new
 */
export function resolveLimit(known: TargetLimit | undefined, {requestsPerSecond, requestSentAtMs}: AnsweredLimit, nowMs: number): TargetLimit | undefined {
	const isEnd = requestsPerSecond === Number.POSITIVE_INFINITY;
	const isLater = known !== undefined && requestSentAtMs !== undefined && requestSentAtMs >= known.observedAtMs;
	return isEnd && !isLater ? undefined : createLimit(known, {requestsPerSecond, observedAtMs: nowMs, isObservedLocally: true});
}

/** Decides whether the report of a peer changes or confirms the limit of a target. Returns undefined if it says nothing new. */
export function resolveReportedLimit(known: TargetLimit | undefined, reported: ReportedLimit, nowMs: number): TargetLimit | undefined {
	const requestsPerSecond = reported[2];
	const ageMs = reported[3];
	const isEnd = requestsPerSecond === ENDED;
	const observedAtMs = nowMs - Math.max(0, ageMs);
	const isNew = known === undefined ? !isEnd : observedAtMs > known.observedAtMs + (isEnd ? MAX_REPORT_DELAY_MS : 0);
	return isNew
		? createLimit(known, {requestsPerSecond: isEnd ? Number.POSITIVE_INFINITY : Math.max(0, requestsPerSecond), observedAtMs, isObservedLocally: false})
		: undefined;
}

function createLimit(known: TargetLimit | undefined, limit: Omit<TargetLimit, 'sinceMs'>): TargetLimit {
	return {...limit, sinceMs: known?.requestsPerSecond === limit.requestsPerSecond ? known.sinceMs : limit.observedAtMs};
}

/** Returns whether a limit has ended so long ago that all peers have been told. */
export function isForgettable(limit: TargetLimit, nowMs: number): boolean {
	return !isLimited(limit) && nowMs - limit.sinceMs > REPORT_RETENTION_MS;
}

/** Returns what peers are told about a limit, or undefined if this entry has not heard it from the target itself lately. */
export function toReportedLimit({targetId, startedAtMs}: {targetId: string; startedAtMs: number}, limit: TargetLimit, nowMs: number): ReportedLimit | undefined {
	return limit.isObservedLocally && nowMs - limit.observedAtMs <= REPORT_RETENTION_MS
		? [targetId, startedAtMs, isLimited(limit) ? limit.requestsPerSecond : ENDED, Math.round(nowMs - limit.observedAtMs)]
		: undefined;
}
