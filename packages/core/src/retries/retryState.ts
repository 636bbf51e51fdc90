import {type RetryBudgets} from './retryBudget.js';
import {type TargetRamps} from './targetRamps.js';

/** State on which an entry bases its retry decisions. */
export type RetryState = {
	readonly budgets: RetryBudgets;
	readonly ramps: TargetRamps;
	lastTickMs: number;
	/** Time since which this process has run without a pause. */
	runningSinceMs: number;
};

/** Gap between two ticks above which this process counts as paused. */
const MIN_PAUSE_MS = 1000;
/** Time without a load report after which a sidecar counts as unresponsive. It spans several reports. */
const MAX_REPORT_GAP_MS = 5000;

/** Creates the state of an entry that has sent no attempt. */
export function createRetryState(): RetryState {
	return {
		budgets: new Map(), ramps: new Map(), lastTickMs: 0, runningSinceMs: 0,
	};
}

/** Records a tick and detects from the gap to the previous one whether this process was paused. Changes the state in place. */
export function recordTick(state: RetryState, nowMs: number): void {
	if (nowMs - state.lastTickMs > MIN_PAUSE_MS) {
		state.runningSinceMs = nowMs;
	}

	state.lastTickMs = nowMs;
}

/**
 * Checks whether a sidecar has sent no load report for too long. If this process
 * was paused, the time counts from the end of the pause.
 *
 * @param lastContactAtMs - time of the sidecar's last report, or of sending the attempt if that is later
 */
export function isUnresponsive(state: RetryState, lastContactAtMs: number, nowMs: number): boolean {
	return nowMs - Math.max(lastContactAtMs, state.runningSinceMs) > MAX_REPORT_GAP_MS;
}
