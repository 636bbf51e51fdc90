/** Load: connections whose bytes cost much to read, without end, beside sound ones. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	computeTurnWaitMs, createReadTurns, endTurn, enqueueConnection, removeConnection, takeTurn,
} from '../readTurns.js';

const MAX_SHARE = 0.2;

describe('the turns of connections that cost much to read', () => {
	it('take at most a fifth of the time, however long each takes and however many wait', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 50}), fc.array(fc.double({min: 0.1, max: 40, noNaN: true}), {minLength: 20, maxLength: 60}), (connectionCount, works) => {
			const turns = createReadTurns();
			for (let connectionId = 0; connectionId < connectionCount; connectionId += 1) {
				enqueueConnection(turns, connectionId, {isRepeated: false});
			}

			let nowMs = 0;
			let totalMs = 0;
			for (const workMs of works) {
				nowMs += computeTurnWaitMs(turns, nowMs)!;
				const connectionId = takeTurn(turns, nowMs);
				assert.notEqual(connectionId, undefined);
				nowMs += workMs;
				totalMs += workMs;
				enqueueConnection(turns, connectionId!, {isRepeated: true});
				endTurn(turns, workMs, nowMs);
			}

			nowMs += computeTurnWaitMs(turns, nowMs)!;
			assert.ok(totalMs <= nowMs * MAX_SHARE * 1.001, `${totalMs} of ${nowMs} ms`);
		}));
	});

	it('come to each connection, and first to one that waits for the first time', () => {
		const turns = createReadTurns();
		for (const connectionId of [1, 2, 3]) {
			enqueueConnection(turns, connectionId, {isRepeated: true});
		}

		enqueueConnection(turns, 4, {isRepeated: false});
		assert.deepEqual([0, 1, 2, 3].map(nowMs => takeTurn(turns, nowMs)), [4, 1, 2, 3]);
		assert.equal(computeTurnWaitMs(turns, 4), undefined);
	});

	it('leave out connections that are closed', () => {
		const turns = createReadTurns();
		enqueueConnection(turns, 1, {isRepeated: false});
		enqueueConnection(turns, 2, {isRepeated: true});
		removeConnection(turns, 1);
		removeConnection(turns, 2);
		assert.equal(takeTurn(turns, 0), undefined);
	});
});
