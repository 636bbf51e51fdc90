/**
 * Waits until socket events that are already pending are processed, so that a
 * caller that has already disconnected is detected.
 *
 * @param onWaited - called afterwards with the time that the event loop took
 */
export function waitForPendingDisconnects(onWaited: (lagMs: number) => void): void {
	const startedAtMs = performance.now();
	setImmediate(() => {
		setImmediate(() => {
			onWaited(performance.now() - startedAtMs);
		});
	});
}
