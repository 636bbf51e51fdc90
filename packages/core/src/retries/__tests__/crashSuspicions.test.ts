import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCrashSuspicions} from '../crashSuspicions.js';

describe('suspicions against requests', () => {
	it('hold back a request that broke three targets, at a peer too', () => {
		const own = createCrashSuspicions();
		const peer = createCrashSuspicions();
		for (const targetId of ['a', 'b', 'c']) {
			assert.equal(peer.isQuarantined('poison', 0), false);
			own.recordBreak('poison', targetId, 0);
			peer.merge(own.takeNews(), 0);
		}

		assert.equal(own.isQuarantined('poison', 0), true);
		assert.equal(peer.isQuarantined('poison', 0), true);
		assert.equal(own.isQuarantined('other', 0), false);
	});

	it('do not grow by breaks of one target, and end with an answered run', () => {
		const own = createCrashSuspicions();
		for (let index = 0; index < 5; index += 1) {
			own.recordBreak('request', 'a', 0);
		}

		assert.equal(own.isQuarantined('request', 0), false);
		own.recordBreak('request', 'b', 0);
		own.recordAnswer('request');
		own.recordBreak('request', 'c', 0);
		assert.equal(own.isQuarantined('request', 0), false);
	});
});
