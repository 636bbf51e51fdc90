import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type UsageRow} from '@damaskspool/shared';
import fc from 'fast-check';
import {createUsageCounts, mergeUsageCounts} from '../usageCounts.js';
import {planUsageParts} from '../usageWindows.js';
import {createUsageSimulation} from './usageFixtures.js';

const SEED = 20_261_204;
/** Limit of one object in the platform's object API. */
const OBJECT_LIMIT_BYTES = 1_000_000;

const index = fc.nat({max: 1});
const outcomes = fc.constantFrom('done', 'done', 'done', 'done', 'notDone', 'replyLost', 'delayed');
const steps = fc.oneof(
	{weight: 8, arbitrary: fc.record({type: fc.constant('call'), call: fc.nat({max: 7}), outcome: outcomes} as const)},
	{weight: 6, arbitrary: fc.record({type: fc.constant('calls'), calls: fc.array(fc.nat({max: 7}), {minLength: 5, maxLength: 40})} as const)},
	{
		weight: 3, arbitrary: fc.record({
			type: fc.constant('start'), entry: index, sidecar: index, tokens: fc.integer({min: 1, max: 99}),
		} as const),
	},
	{weight: 3, arbitrary: fc.record({type: fc.constant('end')} as const)},
	{weight: 3, arbitrary: fc.record({type: fc.constant('flush')} as const)},
	{weight: 2, arbitrary: fc.record({type: fc.constant('seal'), entry: index} as const)},
	{weight: 2, arbitrary: fc.record({type: fc.constant('time'), byMs: fc.integer({min: 50, max: 900})} as const)},
	{weight: 1, arbitrary: fc.record({type: fc.constant('killEntry'), entry: index} as const)},
	{weight: 1, arbitrary: fc.record({type: fc.constant('killSidecar'), sidecar: index} as const)},
	{weight: 1, arbitrary: fc.record({type: fc.constant('duty'), entry: index} as const)},
	{weight: 1, arbitrary: fc.record({type: fc.constant('delayed')} as const)},
);

type Step = typeof steps extends fc.Arbitrary<infer Value> ? Value : never;
type Simulation = ReturnType<typeof createUsageSimulation>;

const STEP_HANDLERS: {readonly [Type in Step['type']]: (simulation: Simulation, step: Extract<Step, {type: Type}>) => void} = {
	call(simulation, step) {
		simulation.completeCall(step.call, step.outcome);
	},
	calls(simulation, step) {
		for (const call of step.calls) {
			simulation.completeCall(call, 'done');
		}
	},
	duty(simulation, step) {
		simulation.changeDuty(step.entry);
	},
	start(simulation, step) {
		simulation.startAttempt(step.entry, step.sidecar, step.tokens);
	},
	end(simulation) {
		simulation.endOldestAttempt();
	},
	flush(simulation) {
		simulation.flush();
	},
	seal(simulation, step) {
		simulation.seal(step.entry);
	},
	time(simulation, step) {
		simulation.advanceTime(step.byMs);
	},
	killEntry(simulation, step) {
		simulation.killEntry(step.entry);
	},
	killSidecar(simulation, step) {
		simulation.killSidecar(step.sidecar);
	},
	delayed(simulation) {
		simulation.runDelayedCalls();
	},
};

describe('usage windows', () => {
	// Guards against lost or doubly counted attempts and changed reports. Crashes, lost replies, late writes and two holders of the duty can cause them.
	it('have the same figures in every report and include each attempt exactly once if its entry or its sidecar survives', () => {
		fc.assert(fc.property(fc.array(steps, {minLength: 20, maxLength: 200, size: 'max'}), script => {
			const simulation = createUsageSimulation();
			for (const step of script) {
				STEP_HANDLERS[step.type](simulation, step as never);
			}

			simulation.runToCompletion();
			const figuresByReport = new Map<string, string>();
			const rowsByReport = new Map<string, readonly UsageRow[]>();
			for (const {reportId, figures, rows} of simulation.reports) {
				assert.equal(figures, figuresByReport.get(reportId) ?? figures, `${reportId} was reported with different figures`);
				figuresByReport.set(reportId, figures);
				rowsByReport.set(reportId, rows);
			}

			const rows = [...rowsByReport.values()].flat();
			for (const attempt of simulation.attempts) {
				const customerRows = rows.filter(row => row.customerId === attempt.customerId);
				const isBothLost = attempt.entry.isDead && attempt.sidecar.isDead;
				const counts = customerRows.map(row => row.generatedTokens);
				if (isBothLost) {
					assert.ok(counts.length === 0 || (counts.length === 1 && counts[0] === attempt.tokens), `${attempt.customerId}: ${counts.join(', ')}`);
				} else {
					assert.deepEqual(counts, [attempt.tokens], `${attempt.customerId} of ${attempt.entry.usage.ledgerId}`);
				}
			}
		}), {seed: SEED, numRuns: 1500});
	});

	it('of 6,700 customers are split into parts that each fit in one object', () => {
		const rows: UsageRow[] = Array.from({length: 6700 * 3}, (_, row) => ({
			...createUsageCounts({
				requests: 123_456, promptTokens: 9_876_543_210, generatedTokens: 123_456_789, targetMs: 987_654_321,
			}),
			customerId: `customer-with-a-long-name-${Math.floor(row / 3)}`,
			serviceId: `service-${row % 3}`,
			servedIn: 1_796_000_000_000,
		}));
		const parts = planUsageParts(rows);
		assert.equal(parts.flat().length, rows.length);
		for (const part of parts) {
			assert.ok(JSON.stringify({rows: part}).length < OBJECT_LIMIT_BYTES);
		}
	});

	it('use the larger of two counts of the same attempt', () => {
		const merged = mergeUsageCounts(createUsageCounts({generatedTokens: 3, targetMs: 9}), createUsageCounts({generatedTokens: 5, requests: 1}));
		assert.deepEqual(merged, createUsageCounts({generatedTokens: 5, targetMs: 9, requests: 1}));
	});
});
