import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPoisonRequestTracker} from '../poisonRequestTracker.js';

describe('poison request tracker', () => {
	it('quarantines a request that crashed three targets, also on a peer that merged the updates', () => {
		const local = createPoisonRequestTracker();
		const peer = createPoisonRequestTracker();
		for (const targetId of ['a', 'b', 'c']) {
			assert.equal(peer.isQuarantined('poison', 0), false);
			local.recordCrash('poison', targetId, 0);
			peer.merge(local.takeUpdates(), 0);
		}

		assert.equal(local.isQuarantined('poison', 0), true);
		assert.equal(peer.isQuarantined('poison', 0), true);
		assert.equal(local.isQuarantined('other', 0), false);
	});

	it('counts repeated crashes of one target once and clears the crashes when the request is answered', () => {
		const tracker = createPoisonRequestTracker();
		for (let index = 0; index < 5; index += 1) {
			tracker.recordCrash('request', 'a', 0);
		}

		assert.equal(tracker.isQuarantined('request', 0), false);
		tracker.recordCrash('request', 'b', 0);
		tracker.recordAnswer('request');
		tracker.recordCrash('request', 'c', 0);
		assert.equal(tracker.isQuarantined('request', 0), false);
	});
});
