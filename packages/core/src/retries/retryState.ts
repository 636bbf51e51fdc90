import {type RetryBudgets} from './retryBudget.js';
import {type TargetRamps} from './targetRamps.js';

/** What an entry keeps to decide on retries. */
export type RetryState = {
	readonly budgets: RetryBudgets;
	readonly ramps: TargetRamps;
	lastTickMs: number;
	/** Since when this entry itself has run without a pause. */
	runningSinceMs: number;
};

/** Gap between ticks that tells of a pause of this process itself. */
const MIN_PAUSE_MS = 1000;
/** Silence of a target's sidecar after which its attempts are given up: several load reports were missed. */
const MAX_REPORT_GAP_MS = 5000;

/**
 * Creates the state of an entry that has sent nothing.
 *
 * @returns an empty state
 */
export function createRetryState(): RetryState {
	return {
		budgets: new Map(), ramps: new Map(), lastTickMs: 0, runningSinceMs: 0,
	};
}

/**
 * Counts a tick, by which the entry knows of its own pauses.
 *
 * @param state - state to change
 * @param nowMs - time of the tick
 */
export function recordTick(state: RetryState, nowMs: number): void {
	if (nowMs - state.lastTickMs > MIN_PAUSE_MS) {
		state.runningSinceMs = nowMs;
	}

	state.lastTickMs = nowMs;
}

/**
 * Tells whether a sidecar has been silent too long for an attempt to wait on it.
 *
 * @param state - retry state; an entry that was paused itself waits anew
 * @param lastContactAtMs - when the sidecar last reported, or the attempt was sent if later
 * @param nowMs - present time
 * @returns whether the attempt is given up
 */
export function isUnresponsive(state: RetryState, lastContactAtMs: number, nowMs: number): boolean {
	return nowMs - Math.max(lastContactAtMs, state.runningSinceMs) > MAX_REPORT_GAP_MS;
}
