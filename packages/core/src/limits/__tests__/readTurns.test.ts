/** Load: connections whose bytes cost much to read, without end, beside sound ones. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	computeRecentTurns, computeTurnWaitMs, countTurn, createReadTurns, endTurn, enqueueConnection, removeConnection, takeTurn,
} from '../readTurns.js';

const MAX_SHARE = 0.2;

describe('the turns of connections that cost much to read', () => {
	it('take at most a fifth of the time, however long each takes and however many wait', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 50}), fc.array(fc.double({min: 0.1, max: 40, noNaN: true}), {minLength: 20, maxLength: 60}), (connectionCount, works) => {
			const turns = createReadTurns();
			for (let connectionId = 0; connectionId < connectionCount; connectionId += 1) {
				enqueueConnection(turns, connectionId, {recentTurns: 0, nowMs: 0});
			}

			let nowMs = 0;
			let totalMs = 0;
			for (const workMs of works) {
				nowMs += computeTurnWaitMs(turns, nowMs)!;
				const connectionId = takeTurn(turns, nowMs);
				assert.notEqual(connectionId, undefined);
				nowMs += workMs;
				totalMs += workMs;
				enqueueConnection(turns, connectionId!, {recentTurns: 1, nowMs});
				endTurn(turns, workMs, nowMs);
			}

			nowMs += computeTurnWaitMs(turns, nowMs)!;
			assert.ok(totalMs <= nowMs * MAX_SHARE * 1.001, `${totalMs} of ${nowMs} ms`);
		}));
	});

	it('come to each connection, and first to the one with the fewest of late', () => {
		const turns = createReadTurns();
		for (const connectionId of [1, 2, 3]) {
			enqueueConnection(turns, connectionId, {recentTurns: 5, nowMs: 0});
		}

		enqueueConnection(turns, 4, {recentTurns: 0.5, nowMs: 1});
		assert.deepEqual([0, 1, 2, 3].map(nowMs => takeTurn(turns, nowMs)), [4, 1, 2, 3]);
		assert.equal(computeTurnWaitMs(turns, 4), undefined);
	});

	it('come to each of many connections that read without end, as often as to any other', () => {
		const turns = createReadTurns();
		const recents = Array.from({length: 24}, () => ({count: 0, atMs: 0}));
		const turnCounts = recents.map(() => 0);
		for (const connectionId of recents.keys()) {
			enqueueConnection(turns, connectionId, {recentTurns: 0, nowMs: 0});
		}

		for (let nowMs = 0; nowMs < 24 * 15 * 4; nowMs += 15) {
			const connectionId = takeTurn(turns, nowMs)!;
			turnCounts[connectionId]! += 1;
			countTurn(recents[connectionId]!, nowMs);
			enqueueConnection(turns, connectionId, {recentTurns: computeRecentTurns(recents[connectionId]!, nowMs), nowMs});
		}

		assert.ok(turnCounts.every(count => count >= 3 && count <= 5), JSON.stringify(turnCounts));
	});

	it('come to a connection that had some, while others come anew all the time', () => {
		const turns = createReadTurns();
		enqueueConnection(turns, 0, {recentTurns: 4, nowMs: 0});
		let takenAtMs: number | undefined;
		for (let nowMs = 0; nowMs < 2000 && takenAtMs === undefined; nowMs += 15) {
			enqueueConnection(turns, nowMs + 1, {recentTurns: 0, nowMs});
			takenAtMs = takeTurn(turns, nowMs) === 0 ? nowMs : undefined;
		}

		assert.ok(takenAtMs !== undefined && takenAtMs < 500, `after ${takenAtMs} ms`);
	});

	it('leave out connections that are closed', () => {
		const turns = createReadTurns();
		enqueueConnection(turns, 1, {recentTurns: 0, nowMs: 0});
		enqueueConnection(turns, 2, {recentTurns: 1, nowMs: 0});
		removeConnection(turns, 1);
		removeConnection(turns, 2);
		assert.equal(takeTurn(turns, 0), undefined);
	});
});
