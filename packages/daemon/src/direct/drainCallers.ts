import {type Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {CLOSE_REASONS, recordCloseCause} from './closeReasons.js';
import {type ConnectionTracker} from './createConnectionTracker.js';

/** Interval between checks for requests in progress. */
const DRAIN_POLL_MS = 25;
/** Time for the last answers to reach callers that read, after the end of the grace. */
const FLUSH_MS = 200;

/** Options of {@link drainCallers}. */
export type DrainOptions = {
	readonly server: Server;
	readonly connections: ConnectionTracker;
	/** Time at which requests that are still in progress are ended. */
	readonly endsAtMs: number;
	/** Ends the requests that are still in progress, with an answer where that is possible. */
	readonly onGraceEnded: () => void;
	/** Called before all connections that are left are closed. */
	readonly onClosing: () => void;
};

/** Accepts no further connection, waits until no request is in progress or the grace ends, and closes all connections. */
export async function drainCallers({server, connections, endsAtMs, onGraceEnded, onClosing}: DrainOptions): Promise<void> {
	const closed = new Promise<void>(resolve => {
		// The HTTP server's own method also destroys connections whose answer is not read yet.
		NetServer.prototype.close.call(server, () => {
			resolve();
		});
	});
	await waitUntilIdle(connections, endsAtMs);
	if (connections.countRequests() > 0) {
		onGraceEnded();
		await waitUntilIdle(connections, performance.now() + FLUSH_MS);
	}

	await waitWhile(() => connections.countRequests() + connections.countLingering() > 0, endsAtMs + FLUSH_MS, connections.closeIdle);
	onClosing();
	for (const socket of connections.listSockets()) {
		recordCloseCause(socket, {reason: CLOSE_REASONS.stopping});
	}

	server.closeAllConnections();
	await closed;
}

async function waitUntilIdle(connections: ConnectionTracker, untilMs: number): Promise<void> {
	connections.closeIdle();
	await waitWhile(() => connections.countRequests() > 0, untilMs, connections.closeIdle);
}

async function waitWhile(isPending: () => boolean, untilMs: number, onWaited?: () => void): Promise<void> {
	while (isPending() && performance.now() < untilMs) {
		await wait(DRAIN_POLL_MS);
		onWaited?.();
	}
}
