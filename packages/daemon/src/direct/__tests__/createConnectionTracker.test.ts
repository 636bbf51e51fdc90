/** Connections that the HTTP server is told nothing of, because their bytes lead to no request. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createReadGovernor, type ReadGovernor} from '@damaskspool/runtime';
import {createCallerThrottle} from '../createCallerThrottle.js';
import {createConnectionTracker} from '../createConnectionTracker.js';

const MAX_HEAD_BYTES = 16_384;
/** What a connection may send without a request, as the server sets it. */
const MAX_UNPRODUCTIVE_BYTES = 98_304;
const READ_MS = 200;
const BODY_BYTES = 1_000_000;
/** A governor whose turns all go to other connections. */
const CONTENDED_GOVERNOR: ReadGovernor = {
	open: () => ({
		mayRead: () => false,
		record() {
			// Nothing depends on it.
		},
		enqueue() {
			// No turn comes.
		},
		close() {
			// Nothing is held.
		},
	}),
};

const LONG_REQUEST = `POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES)}`;

const CASES = [
	{
		name: 'not one whose request with a long body waits for its turn', readGovernor: CONTENDED_GOVERNOR, bytes: LONG_REQUEST, count: 0,
	},
	{
		name: 'one with endless line breaks', readGovernor: createReadGovernor(), bytes: '\r\n'.repeat(BODY_BYTES / 2), count: 1,
	},
];

describe('connections that are closed because they send no request', () => {
	for (const {name, readGovernor, bytes, count} of CASES) {
		it(`are ${name}`, async context => {
			const tracker = createConnectionTracker({
				onCut() {
					// No request is cut.
				},
			});
			const throttle = createCallerThrottle({
				readGovernor, findMaxHeadBytes: () => MAX_HEAD_BYTES, measureUnreadMs: () => 0, onRejected(socket) {
					socket.destroy();
				},
			});
			const server = createServer();
			context.after(() => {
				server.closeAllConnections();
				server.close();
			});
			server.on('connection', socket => {
				tracker.recordConnection(socket, throttle.recordConnection(socket));
			});
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
			caller.on('error', () => {
				// The connection closes at the end.
			});
			caller.write(Buffer.from(bytes));
			await wait(READ_MS);
			assert.equal(tracker.listUnproductive(MAX_UNPRODUCTIVE_BYTES).length, count);
			caller.destroy();
		});
	}
});
