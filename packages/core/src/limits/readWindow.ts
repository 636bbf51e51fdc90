/**
 * Time that reading has taken in the present window, of all connections and of each. It answers the load of many connections
 * whose bytes cost much to read: each may stay within what is free in a pass of the event loop, and all of them together
 * still make each pass long.
 */
export type ReadWindow = {
	startedAtMs: number;
	workMs: number;
	readonly workByConnection: Map<number, number>;
	/** Connections that read in the window before. */
	previousConnections: number;
};

/** Length of a window. */
const WINDOW_MS = 100;
/** Time of all connections in a window up to which none is held back. */
export const SHARED_WORK_MS = 20;
/** Time in a window of which each connection may take an equal part beyond that. */
export const DIVIDED_WORK_MS = 20;
/** Least such part. Most answers take less. */
export const MIN_OWN_WORK_MS = 0.5;

/** Creates a window without work. */
export function createReadWindow(): ReadWindow {
	return {
		startedAtMs: 0, workMs: 0, workByConnection: new Map(), previousConnections: 0,
	};
}

/** Records work of a connection beside its turns. */
export function recordReadWork(window: ReadWindow, connectionId: number, workMs: number): void {
	window.workMs += workMs;
	window.workByConnection.set(connectionId, (window.workByConnection.get(connectionId) ?? 0) + workMs);
}

/** Returns whether a connection may read without a turn. Begins a new window if the present one is over. */
export function isReadFree(window: ReadWindow, connectionId: number, nowMs: number): boolean {
	if (nowMs - window.startedAtMs >= WINDOW_MS) {
		window.startedAtMs = nowMs;
		window.workMs = 0;
		window.previousConnections = window.workByConnection.size;
		window.workByConnection.clear();
	}

	const ownWorkMs = Math.max(MIN_OWN_WORK_MS, DIVIDED_WORK_MS / Math.max(window.previousConnections, window.workByConnection.size));
	return window.workMs < SHARED_WORK_MS || (window.workByConnection.get(connectionId) ?? 0) < ownWorkMs;
}
