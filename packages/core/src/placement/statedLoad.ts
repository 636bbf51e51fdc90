/**
 * Combines the load that a target states with what entries report. It is made for targets whose load the reports of entries
 * do not tell whole: an entry that was just lost, or is out of reach, leaves requests behind that no report contains.
 */
import {type TargetLoad} from '../serving/servingRecords.js';
import {type PlacedTarget} from './placementState.js';

/** Load that a target stated last to this entry, and what was known then. */
export type StatedLoad = Pick<TargetLoad, 'running' | 'waiting'> & {
	/** Time of the answer that stated it. */
	readonly statedAtMs: number;
	/** Requests of all entries at the target as reports told at that time. */
	readonly knownRunning: number;
};

/** Age up to which a statement of a target says something about its load. */
const MAX_STATED_AGE_MS = 1000;
/** Time within which a difference between statement and reports loses all but 1/e of its weight. Requests end, and reports arrive, in less. */
const DIFFERENCE_DECAY_MS = 300;

/**
 * Estimates the requests that run or wait at a target: those that all entries have sent, by their reports, and what the
 * target stated beyond or below that, weighted by its age.
 *
 * @param knownRunning - requests of all entries by their latest reports
 */
export function estimateRunning({statedLoad, localWork}: PlacedTarget, knownRunning: number, nowMs: number): number {
	const ageMs = statedLoad === undefined ? Number.POSITIVE_INFINITY : nowMs - statedLoad.statedAtMs;
	if (statedLoad === undefined || ageMs > MAX_STATED_AGE_MS) {
		return knownRunning;
	}

	const difference = statedLoad.running + statedLoad.waiting - statedLoad.knownRunning;
	return Math.max(localWork.running, knownRunning + (difference * Math.exp(-Math.max(0, ageMs) / DIFFERENCE_DECAY_MS)));
}
