import {type Engine, type PlainService} from '@damaskspool/stand-ins';
import {type RequestResult, type ObservedOutcome} from './sendPlannedRequest.js';

/** What a run must show: the last four are zero in a sound one. */
export type RunSummary = {
	readonly requests: number;
	readonly answered: number;
	readonly refusedNotRun: number;
	readonly refusedUnknown: number;
	/** Requests without an outcome. */
	readonly lost: number;
	/** Requests that were given another one's answer. */
	readonly crossed: number;
	/** Calls that may not be repeated and ran more than once. */
	readonly ranTwice: number;
	/** Requests to targets that held an API key. */
	readonly keysSeenByTargets: number;
};

/**
 * Sums up a run from what callers saw and what targets counted.
 *
 * @param results - what callers saw
 * @param standIns - the targets
 * @returns the summary
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
 * Tells whether a run kept its promises.
 *
 * @param summary - the run
 * @returns whether nothing was lost, crossed, run twice or leaked
 */
export function hasNoViolations(summary: RunSummary): boolean {
	return summary.lost + summary.crossed + summary.ranTwice + summary.keysSeenByTargets === 0;
}
