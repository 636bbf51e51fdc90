import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createMedianClock} from '../medianClock.js';

describe('the median clock', () => {
	it('stays accurate at every entry while the clocks of fewer than half of the entries are stepped', () => {
		const steps = fc.array(fc.integer({min: -5000, max: 5000}), {minLength: 1, maxLength: 3});
		fc.assert(fc.property(steps, fc.array(fc.integer({min: -20, max: 20}), {minLength: 4, maxLength: 6}), (stepped, accurate) => {
			const clocks = [...stepped, ...accurate];
			for (const [local, localMs] of clocks.entries()) {
				const clock = createMedianClock();
				for (const [peer, peerMs] of clocks.entries()) {
					if (peer !== local) {
						clock.recordOffset(`entry${peer}`, peerMs - localMs);
					}
				}

				assert.ok(Math.abs(clock.toMedianTime(1_000_000 + localMs) - 1_000_000) <= 20);
			}
		}));
	});
});
