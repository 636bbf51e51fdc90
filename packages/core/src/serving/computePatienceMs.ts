import {type RouteRecord} from './servingRecords.js';

/** A caller leaves a stream after a gap of this length, of four latency objectives or of eight allowed pauses, whichever is longest. */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_GOALS = 4;
const PATIENCE_GAPS = 8;

/** Computes how long a caller waits for the next event of a stream. */
export function computePatienceMs({goalMs, gapMs = 0}: Pick<RouteRecord, 'goalMs' | 'gapMs'>): number {
	return Math.max(MIN_PATIENCE_MS, PATIENCE_GOALS * goalMs, PATIENCE_GAPS * gapMs);
}
