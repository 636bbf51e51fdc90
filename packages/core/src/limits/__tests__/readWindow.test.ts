/** Load: connections that read without end in passes that follow each other, beside sound ones. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createReadWindow, DIVIDED_WORK_MS, isReadFree, MIN_OWN_WORK_MS, recordReadWork, SHARED_WORK_MS,
} from '../readWindow.js';

const WINDOW_MS = 100;

describe('the window of reads', () => {
	it('leaves other work its time, however many connections read in pieces of whatever cost', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.double({min: 0.01, max: 2, noNaN: true}), (connectionCount, pieceMs) => {
			const window = createReadWindow();
			let workMs = 0;
			const ids = Array.from({length: connectionCount}, (_, connectionId) => connectionId);
			for (let nowMs = 200; nowMs < 200 + WINDOW_MS; nowMs += 5) {
				for (const connectionId of ids.filter(id => isReadFree(window, id, nowMs))) {
					recordReadWork(window, connectionId, pieceMs);
					workMs += pieceMs;
				}
			}

			assert.ok(workMs <= SHARED_WORK_MS + DIVIDED_WORK_MS + ((connectionCount + 1) * (MIN_OWN_WORK_MS + pieceMs)), `${workMs} ms`);
		}));
	});

	it('holds back no connection whose work is small, nor any in the next window', () => {
		const window = createReadWindow();
		assert.ok(isReadFree(window, 1, 200));
		recordReadWork(window, 1, SHARED_WORK_MS + DIVIDED_WORK_MS);
		assert.ok(!isReadFree(window, 1, 250));
		assert.ok(isReadFree(window, 2, 250));
		recordReadWork(window, 2, MIN_OWN_WORK_MS);
		assert.ok(isReadFree(window, 2, 260));
		assert.ok(isReadFree(window, 1, 200 + WINDOW_MS));
	});
});
