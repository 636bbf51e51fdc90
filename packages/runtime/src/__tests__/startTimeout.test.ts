import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {startTimeout} from '../startTimeout.js';

const BLOCKED_MS = 60;

/** Lets the event loop stand still. */
function blockLoop(): void {
	const untilMs = performance.now() + BLOCKED_MS;
	while (performance.now() < untilMs) {
		// All timers that were started become due together.
	}
}

/** Opens a connection whose other end sends a byte, and stands still until the byte and the timeout are both due. */
async function receiveWhileBlocked(start: (onExpired: () => void, afterMs: number) => unknown): Promise<readonly string[]> {
	const events: string[] = [];
	const server = createServer(socket => {
		socket.end('a');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	await once(socket, 'connect');
	socket.on('data', () => {
		events.push('data');
	});
	const expired = new Promise<void>(resolve => {
		start(() => {
			events.push('timeout');
			resolve();
		}, BLOCKED_MS / 2);
	});
	blockLoop();
	await expired;
	socket.destroy();
	server.close();
	return events;
}

describe('startTimeout', () => {
	it('fires after what has arrived while the process stood still', async () => {
		assert.deepEqual(await receiveWhileBlocked(startTimeout), ['data', 'timeout']);
	});

	it('does not fire once it is cancelled, also between its timer and its end', async () => {
		const events: string[] = [];
		const cancel = startTimeout(() => {
			events.push('timeout');
		}, 1);
		const cancelled = new Promise<void>(resolve => {
			setTimeout(() => {
				cancel();
				resolve();
			}, 1);
		});
		blockLoop();
		await cancelled;
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
		assert.deepEqual(events, []);
	});
});
