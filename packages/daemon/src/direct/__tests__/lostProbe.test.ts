/** Load: connections that wait to be accepted, while a probe of the accept queue is lost. */
import assert from 'node:assert/strict';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {after, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createArrivalMonitor} from '../createArrivalMonitor.js';

const BLOCKED_MS = 200;
const LATER_MS = 500;
/** More than the interval between two marks of the event loop takes. */
const MAX_WAITED_MS = 200;

async function startServer(onConnection: (socket: Socket) => void): Promise<Server> {
	const server = createServer(onConnection);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return server;
}

function openConnection(server: Server): Socket {
	return connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {
		// The server may be closed first.
	});
}

function blockLoop(): void {
	const endMs = performance.now() + BLOCKED_MS;
	while (performance.now() < endMs) {
		// Other processes connect meanwhile.
	}
}

describe('a monitor of arrivals whose probe is never accepted', () => {
	const closers: Array<() => void> = [];

	after(() => {
		for (const close of closers) {
			close();
		}
	});

	it('takes no later request for one that was sent when the probe was', async () => {
		const elsewhere = await startServer(() => {
			// The probe waits here for good.
		});
		let probeCount = 0;
		const monitor = createArrivalMonitor({
			onBlocked() {
				// Not of interest here.
			},
			connectToSelf() {
				probeCount += 1;
				return openConnection(elsewhere);
			},
		});
		let sentMs: number | undefined;
		const server = await startServer(socket => {
			monitor.recordConnection(socket);
			sentMs = monitor.measureSentMs(socket);
		});
		closers.push(() => {
			monitor.stop();
			server.close();
			elsewhere.close();
		});
		const early = openConnection(server);
		blockLoop();
		await wait(LATER_MS);
		assert.equal(probeCount, 1);
		const later = openConnection(server);
		await wait(50);
		assert.ok(sentMs !== undefined && sentMs < MAX_WAITED_MS, `${sentMs} ms`);
		early.destroy();
		later.destroy();
	});
});
