/** Load: peers that send more reports than can be handled. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createWorkWindow, hasWorkTime, recordWork} from '../workWindow.js';

describe('the window of work', () => {
	it('leaves half of the time to other work, and goes on in the next window', () => {
		const window = createWorkWindow();
		let workMs = 0;
		for (let nowMs = 1000; nowMs < 2000; nowMs += 1) {
			if (hasWorkTime(window, nowMs)) {
				recordWork(window, 1);
				workMs += 1;
			}
		}

		assert.equal(workMs, 500);
	});

	it('handles all reports of a fleet of usual size', () => {
		const window = createWorkWindow();
		for (let nowMs = 0; nowMs < 1000; nowMs += 1) {
			assert.ok(hasWorkTime(window, nowMs));
			recordWork(window, 0.1);
		}
	});
});
