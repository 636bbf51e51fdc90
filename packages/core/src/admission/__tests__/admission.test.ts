import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ERROR_CODES} from '@damaskspool/shared';
import fc from 'fast-check';
import {type SidecarEffect} from '../../reducer/sidecarEffects.js';
import {reduceSidecar} from '../../reducer/sidecarReducer.js';
import {createSidecarState, type SidecarState} from '../../reducer/sidecarState.js';
import {type Work} from '../admissionState.js';

const SEED = 20_261_204;

function createServingState(concurrency = 1, queueLimit = 100): SidecarState {
	const state = createSidecarState({instanceId: 't', capacity: {concurrency, kvBlocks: 0, queueLimit}});
	state.admission.lifecycleState = 'serving';
	return state;
}

function createWork(customerId: string, index: number, fields: Partial<Work> = {}): Work {
	const attemptId = `${customerId}.${index}`;
	return {
		requestId: attemptId, attemptId, customerId, weight: 1, priority: 'interactive', promptTokens: 100, prefillTokens: 100,
		maxTokens: 10, deadlineAtMs: 1e9, fingerprint: '', ...fields,
	};
}

const receive = (state: SidecarState, work: Work) => reduceSidecar(state, {type: 'work.received', nowMs: 1, work});

/** Ends running work `count` times, and returns the customers of the work that starts, in order. */
function completeWork(state: SidecarState, count: number): string[] {
	const started: string[] = [];
	for (let index = 0; index < count; index += 1) {
		const [running] = state.admission.running.values();
		if (running === undefined) {
			break;
		}

		const effects = reduceSidecar(state, {
			type: 'work.ended', nowMs: 2, attemptId: running.attemptId, generatedTokens: running.maxTokens,
		});
		started.push(...effects.filter(effect => effect.type === 'work.start').map(effect => effect.attemptId.split('.')[0]!));
	}

	return started;
}

describe('admission at a sidecar', () => {
	it('gives a small customer its share beside one that sends ten times as much', () => {
		const state = createServingState();
		for (let index = 0; index < 50; index += 1) {
			receive(state, createWork('large', index));
		}

		completeWork(state, 20);
		for (let index = 0; index < 5; index += 1) {
			receive(state, createWork('small', index));
		}

		const next = completeWork(state, 10);
		assert.ok(next.filter(id => id === 'small').length >= 4, next.join(' '));
	});

	it('shares the target among waiting customers by weight, independent of the cost of their work', () => {
		const costs = fc.tuple(fc.integer({min: 1, max: 2000}), fc.integer({min: 1, max: 2000}));
		fc.assert(fc.property(costs, fc.integer({min: 1, max: 4}), ([first, second], weight) => {
			const state = createServingState(1, 500);
			const tokensByCustomer: Readonly<Record<string, number>> = {a: first, b: second};
			for (let index = 0; index < 200; index += 1) {
				receive(state, createWork('a', index, {prefillTokens: first, maxTokens: 0, weight}));
				receive(state, createWork('b', index, {prefillTokens: second, maxTokens: 0}));
			}

			const servedTokens = {a: 0, b: 0};
			for (const id of completeWork(state, 40) as Array<'a' | 'b'>) {
				servedTokens[id] += tokensByCustomer[id]!;
			}

			assert.ok(Math.abs((servedTokens.a / weight) - servedTokens.b) <= 2 * Math.max(first, second));
		}), {seed: SEED, numRuns: 200});
	});

	it('gives a customer no credit for the time it was idle', () => {
		const state = createServingState();
		receive(state, createWork('early', 0));
		for (let index = 0; index < 30; index += 1) {
			receive(state, createWork('busy', index));
		}

		completeWork(state, 20);
		for (let index = 1; index < 20; index += 1) {
			receive(state, createWork('early', index));
		}

		const next = completeWork(state, 8);
		assert.ok(next.filter(id => id === 'busy').length >= 3, next.join(' '));
	});

	it('refuses work of the customer that fills the queue when the queue is full', () => {
		const state = createServingState(1, 4);
		for (let index = 0; index < 5; index += 1) {
			receive(state, createWork('large', index));
		}

		const effects = receive(state, createWork('small', 0));
		assert.ok(effects[0]?.type === 'work.refuse' && effects[0].failure.code === ERROR_CODES.queueFull);
		assert.equal(effects[0].attemptId, 'large.4');
		assert.equal(state.admission.waiting.length, 4);
		const [refused] = receive(state, createWork('large', 9));
		assert.ok(refused?.type === 'work.refuse' && refused.attemptId === 'large.9' && refused.failure.retryAfterMs !== undefined);
	});

	it('starts or refuses each work item at most once, and releases all KV cache blocks', () => {
		const steps = fc.array(fc.record({
			kind: fc.constantFrom('receive', 'end', 'cancel', 'tick'),
			customer: fc.constantFrom('a', 'b', 'c'),
			pick: fc.nat(20),
			tokens: fc.nat(6000),
			priority: fc.constantFrom('interactive' as const, 'batch' as const),
		}), {maxLength: 80});
		fc.assert(fc.property(steps, list => {
			const state = createServingState(3, 5);
			state.admission.capacity = {concurrency: 3, kvBlocks: 8, queueLimit: 5};
			const outcomes = new Map<string, string>();
			let nowMs = 1;
			const recordOutcomes = (effects: readonly SidecarEffect[]) => {
				for (const effect of effects) {
					if (effect.type === 'work.start' || effect.type === 'work.refuse') {
						assert.ok(!outcomes.has(effect.attemptId));
						outcomes.set(effect.attemptId, effect.type);
					}
				}
			};

			const endRunningWork = (index: number) => {
				const running = [...state.admission.running.keys()];
				const attemptId = running[index % Math.max(1, running.length)];
				if (attemptId !== undefined) {
					recordOutcomes(reduceSidecar(state, {
						type: 'work.ended', nowMs, attemptId, generatedTokens: 1,
					}));
				}
			};

			for (const [index, step] of list.entries()) {
				nowMs += 10;
				const waiting = state.admission.waiting[step.pick % Math.max(1, state.admission.waiting.length)];
				if (step.kind === 'receive') {
					const fields = {
						promptTokens: step.tokens, prefillTokens: step.tokens, priority: step.priority, deadlineAtMs: nowMs + 300,
					};
					recordOutcomes(receive(state, createWork(step.customer, index, fields)));
				} else if (step.kind === 'end') {
					endRunningWork(step.pick);
				} else if (step.kind === 'cancel' && waiting !== undefined) {
					recordOutcomes(reduceSidecar(state, {type: 'work.cancelled', nowMs, attemptId: waiting.attemptId}));
				} else if (step.kind === 'tick') {
					recordOutcomes(reduceSidecar(state, {type: 'tick', nowMs}));
				}
			}

			recordOutcomes(reduceSidecar(state, {type: 'tick', nowMs: nowMs + 1000}));
			while (state.admission.running.size > 0) {
				endRunningWork(0);
			}

			assert.equal(state.admission.usedKvBlocks, 0);
			assert.equal(state.admission.waiting.length, 0);
		}), {seed: SEED, numRuns: 300});
	});
});
