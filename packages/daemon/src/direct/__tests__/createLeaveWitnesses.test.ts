import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {describe, it, type TestContext} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createLeaveWitnesses} from '../createLeaveWitnesses.js';
import {createTargetWatches} from '../createTargetWatches.js';
import {startListeningTarget} from './startListeningTarget.js';

const SETTLE_MS = 100;
const isLeaving = () => true;
const isStaying = () => false;

/** Starts a target and what watches it. */
async function startTarget(context: TestContext) {
	const [witnesses, watches] = [createLeaveWitnesses(), createTargetWatches({hasUnread: () => false})];
	context.after(() => {
		witnesses.close();
		watches.close();
	});
	return {...await startListeningTarget(context), witnesses, watches};
}

describe('witnesses of targets that leave', () => {
	it('share one connection from the announcement on, and close it with the last request', async context => {
		const {address, sockets, witnesses} = await startTarget(context);
		let hasAnnounced = false;
		const first = witnesses.add(address, () => hasAnnounced);
		witnesses.holdLeaving();
		await wait(SETTLE_MS);
		assert.equal(sockets.size, 0);
		hasAnnounced = true;
		witnesses.holdLeaving();
		witnesses.holdLeaving();
		const second = witnesses.add(address, () => hasAnnounced);
		await wait(SETTLE_MS);
		assert.equal(sockets.size, 1);
		first.release();
		first.release();
		await wait(SETTLE_MS);
		assert.equal(sockets.size, 1);
		second.release();
		await wait(SETTLE_MS);
		assert.equal(sockets.size, 0);
	});

	it('hear of the leave of any request at an address', async context => {
		const {address, sockets, witnesses} = await startTarget(context);
		witnesses.add(address, isStaying);
		let hasAnnounced = false;
		witnesses.add(address, () => hasAnnounced);
		hasAnnounced = true;
		witnesses.holdLeaving();
		await wait(SETTLE_MS);
		assert.equal(sockets.size, 1);
	});

	it('open one connection only, also to a target that refuses or closes it', async context => {
		const {address, server, witnesses} = await startTarget(context);
		let connectionCount = 0;
		server.on('connection', (socket: Socket) => {
			connectionCount += 1;
			socket.destroy();
		});
		witnesses.add(address, isLeaving);
		for (let index = 0; index < 4; index += 1) {
			await wait(SETTLE_MS);
			witnesses.holdLeaving();
		}

		assert.equal(connectionCount, 1);
	});

	for (const [name, isClosed, expected] of [['outlives', false, 'open'], ['closes with', true, 'none']] as const) {
		it(`tell by a connection that ${name} an answer in one packet: ${expected}`, async context => {
			const {address, server, witnesses, watches, closeSockets} = await startTarget(context);
			const {getConnection} = witnesses.add(address, isLeaving);
			await wait(SETTLE_MS);
			server.close();
			const signs = watches.begin(address).findSigns({connection: getConnection()});
			if (isClosed) {
				closeSockets();
			}

			const {isListening, hasOutlivedRefusal, witness} = await signs;
			assert.deepEqual([isListening, hasOutlivedRefusal, witness], [false, false, expected]);
		});
	}
});
