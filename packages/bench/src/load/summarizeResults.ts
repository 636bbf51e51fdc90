import {type Engine, type PlainService} from '@damaskspool/stand-ins';
import {type RequestResult, type ObservedOutcome} from './sendPlannedRequest.js';

/** Counts of a run; the last four are zero in a run without violations. */
export type RunSummary = {
	readonly requests: number;
	readonly answered: number;
	readonly refusedNotRun: number;
	readonly refusedUnknown: number;
	/** Requests without an outcome. */
	readonly lost: number;
	/** Requests that received the answer to another request. */
	readonly crossed: number;
	/** Non-repeatable calls that were executed more than once. */
	readonly ranTwice: number;
	/** Requests received by targets that contained an API key. */
	readonly keysSeenByTargets: number;
};

/**
 * Summarizes a run from the results that callers observed and the counts of the
 * target stand-ins.
 */
export function summarizeResults(
	results: readonly RequestResult[],
	standIns: ReadonlyArray<Engine | PlainService>,
): RunSummary {
	const countOutcome = (outcome: ObservedOutcome) => results.filter(result => result.outcome === outcome).length;
	const runCounts = new Map<string, number>();
	let keysSeenByTargets = 0;
	for (const standIn of standIns) {
		const stats = standIn.readStats();
		keysSeenByTargets += stats.keysSeen;
		if ('runsByReference' in stats) {
			for (const [reference, count] of stats.runsByReference) {
				runCounts.set(reference, (runCounts.get(reference) ?? 0) + count);
			}
		}
	}

	return {
		requests: results.length,
		answered: countOutcome('answered'),
		refusedNotRun: countOutcome('refusedNotRun'),
		refusedUnknown: countOutcome('refusedUnknown'),
		lost: countOutcome('lost'),
		crossed: countOutcome('crossed'),
		ranTwice: [...runCounts.values()].filter(count => count > 1).length,
		keysSeenByTargets,
	};
}

/**
 * Checks that no request of a run was lost, crossed or run twice, and that no API
 * key reached a target.
 */
export function hasNoViolations(summary: RunSummary): boolean {
	return summary.lost + summary.crossed + summary.ranTwice + summary.keysSeenByTargets === 0;
}
