import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createAgreedClock} from '../agreedClock.js';

describe('the time of day that entries agree on', () => {
	it('is right at every entry while the clocks of fewer than half of them are stepped', () => {
		const steps = fc.array(fc.integer({min: -5000, max: 5000}), {minLength: 1, maxLength: 3});
		fc.assert(fc.property(steps, fc.array(fc.integer({min: -20, max: 20}), {minLength: 4, maxLength: 6}), (stepped, sound) => {
			const clocks = [...stepped, ...sound];
			for (const [own, ownMs] of clocks.entries()) {
				const clock = createAgreedClock();
				for (const [peer, peerMs] of clocks.entries()) {
					if (peer !== own) {
						clock.recordOffset(`entry${peer}`, peerMs - ownMs);
					}
				}

				assert.ok(Math.abs(clock.toAgreed(1_000_000 + ownMs) - 1_000_000) <= 20);
			}
		}));
	});
});
