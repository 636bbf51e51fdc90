/** Simulates bursts of prefills at one target, and checks how many callers get their first event in time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {computePrefillPriority, LATE_PREFILL_PRIORITY} from '../computePrefillPriority.js';

const GOAL_KINDS_MS = [400, 800] as const;
const PREFILL_MS = 50;
const SIMULATED_MS = 11_200;
/** The load swings between twice and half of what the target prefills. */
const SWING_MS = 2800;
const BURST_INTERVAL_MS = 25;
const CALM_INTERVAL_MS = 100;
/** Wait after which a caller gives up. */
const MAX_WAIT_MS = 2000;

type QueuedPrefill = {readonly arrivedAtMs: number; readonly goalMs: number; readonly priority: number};

/** Simulates the swings and returns the share of prompts that began in time and that began at all. */
function simulateSwings(resolvePriority: typeof computePrefillPriority): {readonly inTime: number; readonly served: number} {
	const queue: QueuedPrefill[] = [];
	let requested = 0;
	let inTime = 0;
	let served = 0;
	let nextArrivalMs = 0;
	let freeAtMs = 0;
	for (let nowMs = 0; nowMs < SIMULATED_MS; nowMs += 1) {
		if (nowMs >= nextArrivalMs) {
			const goalMs = GOAL_KINDS_MS[requested % GOAL_KINDS_MS.length]!;
			// As placement does: what goes last does not delay what goes first.
			const ahead = queue.filter(({priority}) => priority < LATE_PREFILL_PRIORITY).length;
			const priority = resolvePriority({goalRemainingMs: goalMs, isTimely: ((ahead + 1) * PREFILL_MS) + Math.max(0, freeAtMs - nowMs) <= goalMs});
			queue.push({arrivedAtMs: nowMs, goalMs, priority});
			requested += 1;
			nextArrivalMs += Math.floor(nowMs / SWING_MS) % 2 === 0 ? BURST_INTERVAL_MS : CALM_INTERVAL_MS;
		}

		if (nowMs >= freeAtMs && queue.length > 0) {
			const next = queue.toSorted((left, right) => left.priority - right.priority || left.arrivedAtMs - right.arrivedAtMs)[0]!;
			queue.splice(queue.indexOf(next), 1);
			freeAtMs = nowMs + PREFILL_MS;
			const tookMs = freeAtMs - next.arrivedAtMs;
			inTime += tookMs <= next.goalMs ? 1 : 0;
			served += tookMs <= MAX_WAIT_MS ? 1 : 0;
		}
	}

	return {inTime: inTime / requested, served: served / requested};
}

describe('computePrefillPriority', () => {
	it('serves far more prompts in time through swings than the order of arrival, and no fewer at all', () => {
		const byArrival = simulateSwings(() => 0);
		const byTimeLeft = simulateSwings(computePrefillPriority);
		assert.ok(byTimeLeft.inTime > 1.4 * byArrival.inTime, `${byTimeLeft.inTime} against ${byArrival.inTime}`);
		assert.ok(byTimeLeft.served >= 0.95 * byArrival.served, `${byTimeLeft.served} against ${byArrival.served}`);
	});

	it('puts prompts that are late anyway last, and others by the time that is left', () => {
		assert.equal(computePrefillPriority({goalRemainingMs: 400, isTimely: false}), LATE_PREFILL_PRIORITY);
		assert.equal(computePrefillPriority({goalRemainingMs: -1, isTimely: false}), LATE_PREFILL_PRIORITY);
		const time = fc.double({min: 0, max: 1e6, noNaN: true});
		fc.assert(fc.property(time, time, (first, second) => {
			const [shorter, longer] = [Math.min(first, second), Math.max(first, second)].map(goalRemainingMs => computePrefillPriority({goalRemainingMs, isTimely: true}));
			assert.ok(shorter! <= longer! && longer! < LATE_PREFILL_PRIORITY && shorter! >= 0);
		}));
	});
});
