import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type Socket} from 'node:net';
import process from 'node:process';
import {describe, it, type TestContext} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {createTargetWatches} from '../createTargetWatches.js';
import {startListeningTarget} from './startListeningTarget.js';

const SETTLE_MS = 100;
/** Longer than a process needs to end all of its connections. */
const OUTLIVED_MS = 400;

/** Starts a target and what watches it. */
async function startTarget(context: TestContext) {
	let unread = false;
	let unreadChecks = 0;
	const watches = createTargetWatches({
		hasUnread() {
			unreadChecks += 1;
			return unread;
		},
	});
	context.after(() => {
		watches.close();
	});
	return {
		...await startListeningTarget(context),
		watches,
		setUnread(isUnread: boolean) {
			unread = isUnread;
		},
		countUnreadChecks: () => unreadChecks,
	};
}

/** A target whose loop stands still for a while when it is told to, and which stops listening before it accepts what has connected meanwhile. */
const BUSY_TARGET = `
const {parentPort} = require('node:worker_threads');
const server = require('node:net').createServer(socket => {
	socket.resume();
});
server.listen(0, '127.0.0.1', () => {
	parentPort.postMessage(server.address().port);
});
parentPort.on('message', standsStillMs => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, standsStillMs);
	server.close();
});
`;

/** Starts a target in a thread of its own. Returns its address and a function that makes it stand still and then stop listening. */
async function startBusyTarget(context: TestContext) {
	const worker = new Worker(BUSY_TARGET, {eval: true});
	context.after(async () => worker.terminate());
	const [port] = await once(worker, 'message') as [number];
	return {
		address: `127.0.0.1:${port}`,
		stopAfterStandstill() {
			worker.postMessage(SETTLE_MS);
		},
	};
}

describe('watches of a target', () => {
	it('share one connection, and close it with the last of them and at the stop', async context => {
		const {address, sockets, watches} = await startTarget(context);
		const [first, second] = [watches.begin(address), watches.begin(address)];
		await wait(SETTLE_MS);
		assert.equal(sockets.size, 1);
		first.stop();
		await wait(SETTLE_MS);
		assert.equal(sockets.size, 1);
		second.stop();
		await wait(SETTLE_MS);
		assert.equal(sockets.size, 0);
		watches.begin(address);
		await wait(SETTLE_MS);
		assert.equal(sockets.size, 1);
		watches.close();
		await wait(SETTLE_MS);
		assert.equal(sockets.size, 0);
	});

	it('open no connection for an answer that ends at once', async context => {
		const {address, server, watches} = await startTarget(context);
		let connectionCount = 0;
		server.on('connection', () => {
			connectionCount += 1;
		});
		watches.begin(address).stop();
		await wait(SETTLE_MS);
		assert.equal(connectionCount, 0);
	});

	for (const [name, isClosed, afterMs, expected] of [
		['stays open behind the end', false, 0, 'open'],
		['closes with the end', true, 0, 'closed'],
		['closes shortly before the end', true, SETTLE_MS, 'closed'],
		['has closed long before the end', true, OUTLIVED_MS, 'none'],
	] as const) {
		it(`tell that the connection ${name}`, async context => {
			const {address, server, watches, closeSockets} = await startTarget(context);
			const watch = watches.begin(address);
			await wait(SETTLE_MS);
			server.close();
			if (isClosed) {
				closeSockets();
			}

			await wait(afterMs);
			const {isListening, witness} = await watch.findSigns();
			assert.deepEqual([isListening, witness], [false, expected]);
		});
	}

	it('take a refusal for outlived only if the answer was read for a while after it', async context => {
		const {address, server, watches, setUnread} = await startTarget(context);
		server.close();
		const outlived = watches.begin(address);
		const [early, paused] = [watches.begin(address), watches.begin(address)];
		paused.setPaused(true);
		await wait(SETTLE_MS);
		const signs = [await early.findSigns()];
		await wait(OUTLIVED_MS);
		paused.setPaused(false);
		signs.push(await outlived.findSigns(), await paused.findSigns());
		setUnread(true);
		const unread = watches.begin(address);
		await wait(OUTLIVED_MS);
		signs.push(await unread.findSigns());
		assert.deepEqual(signs.map(({hasOutlivedRefusal}) => hasOutlivedRefusal), [false, true, false, false]);
	});

	it('outlive that a busy target stops listening before it has accepted their connection', async context => {
		const {address, stopAfterStandstill} = await startBusyTarget(context);
		const watches = createTargetWatches({hasUnread: () => false});
		context.after(() => {
			watches.close();
		});
		stopAfterStandstill();
		await wait(SETTLE_MS / 4);
		const watch = watches.begin(address);
		await wait(SETTLE_MS + OUTLIVED_MS);
		const {isListening, hasOutlivedRefusal} = await watch.findSigns();
		assert.deepEqual([isListening, hasOutlivedRefusal], [false, true]);
	});

	it('learn at once that a target listens no more which resets their connection, and outlive that', async context => {
		const {address, server, sockets, watches} = await startTarget(context);
		const watch = watches.begin(address);
		await wait(SETTLE_MS);
		server.close();
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}

		await wait(OUTLIVED_MS);
		const {isListening, hasOutlivedRefusal} = await watch.findSigns();
		assert.deepEqual([isListening, hasOutlivedRefusal], [false, true]);
	});

	// The rest of an answer may arrive long after its process was killed.
	it('do not outlive a process whose connections have ended', async context => {
		const {address, server, watches, closeSockets} = await startTarget(context);
		const watch = watches.begin(address);
		await wait(SETTLE_MS);
		server.close();
		closeSockets();
		await wait(2 * OUTLIVED_MS);
		const {isListening, hasOutlivedRefusal} = await watch.findSigns();
		assert.deepEqual([isListening, hasOutlivedRefusal], [false, false]);
	});

	it('tell no open connection when they are closed', async context => {
		const {address, server, watches} = await startTarget(context);
		const watch = watches.begin(address);
		await wait(SETTLE_MS);
		server.close();
		const signs = watch.findSigns();
		await wait(SETTLE_MS);
		watches.close();
		const {witness} = await signs;
		assert.equal(witness, 'closed');
	});

	for (const [end, connectionCount] of [['destroy', 1], ['resetAndDestroy', 2]] as const) {
		it(`open ${connectionCount} of the connections that the target ends with ${end} in less than a second`, async context => {
			const {address, server, watches} = await startTarget(context);
			let openedCount = 0;
			server.on('connection', (socket: Socket) => {
				openedCount += 1;
				setTimeout(() => {
					socket[end]();
				}, SETTLE_MS / 4);
			});
			watches.begin(address);
			await wait(OUTLIVED_MS);
			assert.equal(openedCount, connectionCount);
		});
	}

	it('take a refusal for outlived only if nothing paused the answer since, whatever is refused in between', async context => {
		const {address, server, watches} = await startTarget(context);
		server.close();
		const watch = watches.begin(address);
		watch.setPaused(true);
		watches.recordRefusal(address);
		await wait(2 * SETTLE_MS);
		watch.setPaused(false);
		watches.recordRefusal(address);
		await wait(SETTLE_MS);
		const {hasOutlivedRefusal} = await watch.findSigns();
		assert.equal(hasOutlivedRefusal, false);
	});

	it('leave no listeners behind many answers that end together', async context => {
		const {address, server, watches} = await startTarget(context);
		const warnings: string[] = [];
		const recordWarning = ({message}: Error) => {
			warnings.push(message);
		};

		process.on('warning', recordWarning);
		const all = Array.from({length: 12}, () => watches.begin(address));
		await wait(SETTLE_MS);
		server.close();
		await Promise.all(all.map(async watch => watch.findSigns()));
		await wait(SETTLE_MS);
		process.off('warning', recordWarning);
		assert.deepEqual(warnings, []);
	});

	it('check for unread bytes no more often when more connections are refused', async context => {
		const {address, server, watches, setUnread, countUnreadChecks} = await startTarget(context);
		server.close();
		setUnread(true);
		const watchCount = 24;
		for (let index = 0; index < watchCount; index += 1) {
			watches.begin(address);
		}

		for (let index = 0; index < 8; index += 1) {
			watches.recordRefusal(address);
			await wait(OUTLIVED_MS / 4);
		}

		// Four observations of 250 ms fit into the time.
		assert.ok(countUnreadChecks() <= 4 * watchCount, String(countUnreadChecks()));
	});

	it('tell the signs within the time that is left', async context => {
		const {address, server, watches} = await startTarget(context);
		const watch = watches.begin(address);
		await wait(SETTLE_MS);
		server.close();
		const beganAtMs = performance.now();
		const {witness} = await watch.findSigns({untilMs: beganAtMs + SETTLE_MS});
		assert.equal(witness, 'open');
		assert.ok(performance.now() - beganAtMs < 2 * SETTLE_MS);
	});
});
