import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createFailure, ERROR_CODES, OUTCOMES} from '@damaskspool/shared';
import fc from 'fast-check';
import {type SendAttempt} from '../../reducer/entryEffects.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {type EntryState} from '../../reducer/entryState.js';
import {createAttributes, createReadyState, createTestTarget} from '../../request/__tests__/requestFixtures.js';
import {takeRetry, recordSuccess, type RetryBudgets} from '../retryBudget.js';
import {
	listTargetsAtRampLimit, recordRampAnswer, recordRampFailure, type TargetRamps,
} from '../targetRamps.js';

const SEED = 20_261_204;
const MAY_HAVE_RUN_FAILURE = createFailure(ERROR_CODES.targetFailed, {outcome: OUTCOMES.refusedUnknown});

function receiveRequest(state: EntryState, requestId: string, nowMs: number) {
	return reduceEntry(state, {type: 'request.received', nowMs, attributes: createAttributes({requestId})});
}

function failAttempt(state: EntryState, {requestId, attemptId}: SendAttempt, nowMs: number) {
	return reduceEntry(state, {
		type: 'attempt.failed', nowMs, requestId, attemptId, load: undefined, isTargetFault: true, failure: MAY_HAVE_RUN_FAILURE,
	});
}

describe('retry budget', () => {
	it('limits retries to a fifth of recent successes plus a fixed allowance', () => {
		const steps = fc.array(fc.tuple(fc.constantFrom('success', 'retry'), fc.nat(50)), {maxLength: 400});
		fc.assert(fc.property(steps, list => {
			const budgets: RetryBudgets = new Map();
			let nowMs = 0;
			let successes = 0;
			let retries = 0;
			for (const [step, gapMs] of list) {
				nowMs += gapMs;
				if (step === 'success') {
					recordSuccess(budgets, 's', nowMs);
					successes += 1;
				} else if (takeRetry(budgets, 's', nowMs)) {
					retries += 1;
				}
			}

			// The allowance is restored about once per decay time.
			assert.ok(retries <= ((32 + (successes * 0.2)) * (1 + (nowMs / 10_000))) + 1);
		}), {seed: SEED, numRuns: 200});
	});

	it('stops a retry storm: with every target failing, the attempts exceed the requests by a fixed number only', () => {
		const state = createReadyState();
		let attempts = 0;
		for (let index = 0; index < 500; index += 1) {
			const nowMs = 10_000 + (index * 6000 / 500);
			// Backoff and slow start are reset, so that only the budget limits the retries.
			for (const target of state.membership.targets.values()) {
				target.backoffUntilMs = 0;
			}

			state.retries.ramps.clear();
			let effects = receiveRequest(state, `r${index}`, nowMs);
			for (let effect = effects.at(-1); effect?.type === 'attempt.send'; effect = effects.at(-1)) {
				attempts += 1;
				for (const target of state.membership.targets.values()) {
					target.backoffUntilMs = 0;
				}

				state.retries.ramps.clear();
				effects = failAttempt(state, effect, nowMs);
			}

			assert.equal(effects.at(-1)?.type, 'request.refuse');
		}

		assert.ok(attempts <= 500 + (32 * 2), `${attempts} attempts of 500 requests`);
	});

	it('returns a retry delay to the caller when no target is available', () => {
		const state = createReadyState();
		reduceEntry(state, {type: 'instances.listed', nowMs: 1, instances: []});
		const [effect] = receiveRequest(state, 'r', 2);
		assert.ok(effect?.type === 'request.refuse' && effect.failure.retryAfterMs !== undefined);
		assert.equal(effect.failure.outcome, OUTCOMES.refusedNotRun);
	});
});

describe('retries after target failures', () => {
	it('limits the concurrent attempts at a recovering target and doubles the limit as attempts are answered', () => {
		const ramps: TargetRamps = new Map();
		recordRampFailure(ramps, 't');
		assert.deepEqual(listTargetsAtRampLimit(ramps, () => 2), ['t']);
		for (const limit of [2, 4, 8, 16, 32]) {
			assert.deepEqual(listTargetsAtRampLimit(ramps, () => limit - 1), []);
			assert.deepEqual(listTargetsAtRampLimit(ramps, () => limit), ['t']);
			for (let answer = 0; answer < limit; answer += 1) {
				recordRampAnswer(ramps, 't');
			}
		}

		assert.deepEqual(listTargetsAtRampLimit(ramps, () => 1000), []);
	});

	it('retries in another zone when several targets of a zone fail', () => {
		const instances = ['a', 'a', 'a', 'b', 'b'].map((availabilityZone, index) =>
			({...createTestTarget(`t${index}`, 'assistant'), availabilityZone}));
		for (let index = 0; index < 20; index += 1) {
			const state = createReadyState();
			reduceEntry(state, {type: 'instances.listed', nowMs: 1, instances});
			for (const targetId of ['t0', 't1']) {
				state.membership.targets.get(targetId)!.failuresInRow = 1;
			}

			const [first] = receiveRequest(state, `r${index}`, 10);
			assert.ok(first?.type === 'attempt.send');
			const retry = failAttempt(state, first, 10).at(-1);
			assert.ok(retry?.type === 'attempt.send');
			assert.ok(['t3', 't4'].includes(retry.targetId));
		}
	});

	it('cancels the attempt when the sidecar is unresponsive, but not after a pause of the entry itself', () => {
		const load = {
			targetId: 'assistant-1', role: 'mixed', state: 'serving', models: ['m'], running: 0, waiting: 0, queuedPrefillTokens: 0,
			freePieces: 0, totalPieces: 0, prefillTokensTotal: 0, generatedTokensTotal: 0, ageMs: 0,
		} as const;
		const run = (ticks: readonly number[]) => {
			const state = createReadyState();
			for (const targetId of ['assistant-1', 'assistant-2', 'assistant-3']) {
				reduceEntry(state, {type: 'load.reported', nowMs: 100, load: {...load, models: ['m'], targetId}});
			}

			receiveRequest(state, 'r', 100);
			return ticks
				.flatMap(nowMs => reduceEntry(state, {type: 'tick', nowMs}))
				.map(({type}) => type)
				.filter(type => type.startsWith('attempt.'));
		};

		const effectTypes = run(Array.from({length: 70}, (_, index) => 100 + (index * 100)));
		assert.deepEqual(effectTypes.slice(0, 2), ['attempt.cancel', 'attempt.send']);
		assert.deepEqual(run([100, 200, 7000]), []);
	});
});
