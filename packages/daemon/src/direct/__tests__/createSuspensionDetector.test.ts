import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSuspensionDetector} from '../createSuspensionDetector.js';

/** Creates a detector on clocks that the test sets. */
function createTestDetector() {
	const clocks = {monotonicMs: 1000, wallMs: 5_000_000};
	const measureSuspension = createSuspensionDetector({readMonotonicClock: () => clocks.monotonicMs, readWallClock: () => clocks.wallMs});
	const advance = (monotonicMs: number, wallMs = monotonicMs) => {
		clocks.monotonicMs += monotonicMs;
		clocks.wallMs += wallMs;
		return measureSuspension();
	};

	return {advance};
}

describe('createSuspensionDetector', () => {
	it('reports suspended time once, and nothing for time that both clocks count', () => {
		const {advance} = createTestDetector();
		assert.equal(advance(10_000), 0);
		assert.equal(advance(10, 4010), 4000);
		assert.equal(advance(10), 0);
	});

	it('adds up small differences, takes a clock set forward for a suspension, and ignores one that is set back', () => {
		const {advance} = createTestDetector();
		assert.equal(advance(1000, 1150), 0);
		assert.equal(advance(1000, 1150), 300);
		assert.equal(advance(10, -3000), 0);
		assert.equal(advance(10, 3020), 3010);
	});
});
