import {type Server} from 'node:http';

/** Time between looks at what is still under way. */
const DRAIN_POLL_MS = 50;

/** Options of {@link stopServer}. */
export type StopServerOptions = {
	readonly server: Server;
	/** Tells whether work is still under way. */
	readonly isBusy: () => boolean;
	/** Longest wait. */
	readonly maxWaitMs: number;
};

/**
 * Closes a server gracefully: work under way ends first, idle connections are
 * closed at once.
 *
 * @param options - server, how to tell that it is busy, and the longest wait
 */
export async function stopServer({server, isBusy, maxWaitMs: maxWaitMs}: StopServerOptions): Promise<void> {
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
