import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createSharedRetryBudget} from '../sharedRetryBudget.js';

const OPTIONS = {retryRatio: 0.2, allowance: 58, windowMs: 10_000} as const;

function countInWindow(times: readonly number[], nowMs: number): number {
	return times.filter(atMs => atMs > nowMs - OPTIONS.windowMs).length;
}

describe('shared retry budget', () => {
	it('bounds the retries of all entries in any window although no entry knows the retries of the others', () => {
		const step = fc.record({entry: fc.integer({min: 0, max: 5}), afterMs: fc.integer({min: 0, max: 20}), isRequest: fc.boolean()});
		fc.assert(fc.property(fc.array(step, {minLength: 300, maxLength: 600}), steps => {
			const budgets = Array.from({length: 6}, () => createSharedRetryBudget(OPTIONS));
			const requests: number[] = [];
			const retries: number[] = [];
			let nowMs = 0;
			for (const {entry, afterMs, isRequest} of steps) {
				nowMs += afterMs;
				if (isRequest) {
					requests.push(nowMs);
					budgets[entry]!.recordRequest('service', nowMs);
				} else if (budgets[entry]!.take('service', 6, nowMs)) {
					retries.push(nowMs);
				}

				assert.ok(countInWindow(retries, nowMs) <= (OPTIONS.retryRatio * countInWindow(requests, nowMs)) + OPTIONS.allowance);
			}
		}));
	});

	it('permits a retry before any request is recorded', () => {
		assert.equal(createSharedRetryBudget(OPTIONS).take('service', 6, 0), true);
	});

	it('leaves a part of the budget to others that take from all of it, and counts no retry that is given back', () => {
		const budget = createSharedRetryBudget(OPTIONS);
		const takeAll = (share?: number) => {
			let count = 0;
			while (budget.take('service', 1, 0, share)) {
				count += 1;
			}

			return count;
		};

		assert.deepEqual([takeAll(0.5), takeAll(), takeAll()], [14, 15, 0]);
		budget.release('service', 2);
		assert.equal(takeAll(), 2);
	});
});
