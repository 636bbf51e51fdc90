import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {describe, it, type TestContext} from 'node:test';
import {Pool} from 'undici';
import {createResetDetector} from '../createResetDetector.js';

const HEAD = 'HTTP/1.1 200 OK\r\n\r\nwhole';

/** Ends answers without a length on connections of their own, all in one turn of the event loop, and returns what the detector says at the end of each. */
async function detectResets(context: TestContext, ends: ReadonlyArray<'close' | 'reset'>): Promise<ReadonlyArray<boolean | undefined>> {
	const detector = createResetDetector({timeoutMs: 1000});
	const sockets = new Map<string, Socket>();
	const server = createServer(socket => {
		socket.on('error', () => {
			// The client resets connections that it does not need any more.
		});
		socket.once('data', (bytes: Uint8Array) => {
			sockets.set(new TextDecoder().decode(bytes).split(' ')[1]!, socket);
			socket.write(HEAD);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {connections: ends.length, connect: detector.connect});
	let begun = 0;
	context.after(async () => {
		server.close();
		await pool.destroy();
	});
	const results = ends.map(async (_, index) => new Promise<boolean | undefined>(resolve => {
		pool.dispatch({path: `/${index}`, method: 'GET'}, {
			onRequestStart() {
				// The answer alone is of interest.
			},
			onResponseData() {
				begun += 1;
				if (begun === ends.length) {
					for (const [place, end] of ends.entries()) {
						const socket = sockets.get(`/${place}`)!;
						if (end === 'reset') {
							socket.resetAndDestroy();
						} else {
							socket.end();
						}
					}
				}
			},
			onResponseEnd() {
				resolve(detector.isHandlingReset());
			},
			onResponseError() {
				resolve(undefined);
			},
		});
	}));
	return Promise.all(results);
}

describe('createResetDetector', () => {
	for (const [form, ends] of Object.entries({
		'one that is closed': ['close'],
		'one that is reset': ['reset'],
		'several that are closed at once': Array.from({length: 6}, () => 'close' as const),
		'several that are closed and reset in turn': Array.from({length: 8}, (_, index) => index % 2 === 0 ? 'reset' as const : 'close' as const),
	} satisfies Readonly<Record<string, ReadonlyArray<'close' | 'reset'>>>)) {
		it(`tells the end of an answer from that of another connection: ${form}`, async context => {
			assert.deepEqual(await detectResets(context, ends), ends.map(end => end === 'reset'));
		});
	}
});
