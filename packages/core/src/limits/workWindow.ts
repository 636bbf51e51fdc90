/** Time that one kind of work has taken in the present window. It answers the load of peers that send more than can be handled. */
export type WorkWindow = {startedAtMs: number; workMs: number};

/** Length of a window. */
const WINDOW_MS = 100;
/** Longest work in a window, so that other work gets at least as much time. */
const MAX_WORK_MS = 50;

/** Creates a window without work. */
export function createWorkWindow(): WorkWindow {
	return {startedAtMs: 0, workMs: 0};
}

/** Returns whether the window has time left. Begins a new one if it is over. */
export function hasWorkTime(window: WorkWindow, nowMs: number): boolean {
	if (nowMs - window.startedAtMs >= WINDOW_MS) {
		window.startedAtMs = nowMs;
		window.workMs = 0;
	}

	return window.workMs < MAX_WORK_MS;
}

/** Records work in the present window. */
export function recordWork(window: WorkWindow, workMs: number): void {
	window.workMs += workMs;
}
