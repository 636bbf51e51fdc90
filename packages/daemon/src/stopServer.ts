import {type Server} from 'node:http';

/** Interval between checks for work in progress. */
const DRAIN_POLL_MS = 50;

/** Options of {@link stopServer}. */
export type StopServerOptions = {
	readonly server: Server;
	/** Whether work is still in progress. */
	readonly isBusy: () => boolean;
	/** Time after which the remaining connections are closed even if work is in progress. */
	readonly maxWaitMs: number;
};

/**
 * Closes a server gracefully. Idle connections are closed immediately; the others
 * are closed when no work is in progress or `maxWaitMs` has passed.
 */
export async function stopServer({server, isBusy, maxWaitMs}: StopServerOptions): Promise<void> {
	const closed = new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	const endAtMs = performance.now() + maxWaitMs;
	server.closeIdleConnections();
	while (isBusy() && performance.now() < endAtMs) {
		await new Promise(resolve => {
			setTimeout(resolve, DRAIN_POLL_MS);
		});
		server.closeIdleConnections();
	}

	server.closeAllConnections();
	await closed;
}
