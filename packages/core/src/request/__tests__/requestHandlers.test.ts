import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createFailure, ERROR_CODES, OUTCOMES} from '@damaskspool/shared';
import fc from 'fast-check';
import {type EntryEffect, type SendAttempt} from '../../reducer/entryEffects.js';
import {type EntryEvent} from '../../reducer/entryEvents.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createAttributes, createReadyState} from './requestFixtures.js';

const SEED = 20_261_204;

/** Results of an attempt, and other events, that target, network, caller and clock may cause. */
const anyStep = fc.constantFrom('refusedNotRun', 'unknown', 'answered', 'finished', 'late', 'tick', 'callerDisconnected');

describe('request handlers', () => {
	it('end a request with one outcome and retry it only if it is repeatable or has not run', () => {
		fc.assert(fc.property(fc.boolean(), fc.array(anyStep, {maxLength: 30}), (isRepeatable, steps) => {
			const state = createReadyState();
			const attributes = isRepeatable ? createAttributes() : createAttributes({path: '/permits', modelId: undefined});
			const endEffects: EntryEffect[] = [];
			const attempts: SendAttempt[] = [];
			let mayHaveRun = false;
			let nowMs = 1;
			const dispatch = (event: EntryEvent) => {
				for (const effect of reduceEntry(state, event)) {
					if (effect.type === 'attempt.send') {
						assert.ok(isRepeatable || !mayHaveRun, 'retried a request that is not repeatable and may have run');
						attempts.push(effect);
					} else if (effect.type === 'request.refuse' || effect.type === 'request.complete') {
						endEffects.push(effect);
						const isNotRun = effect.type === 'request.refuse' && effect.failure.outcome === OUTCOMES.refusedNotRun;
						assert.ok(!isNotRun || !mayHaveRun, 'reported a request as not run although it may have run');
					}
				}
			};

			dispatch({type: 'request.received', nowMs, attributes});
			for (const step of steps) {
				const attempt = attempts.at(step === 'late' ? 0 : -1);
				assert.ok(attempt !== undefined);
				const {requestId, attemptId} = attempt;
				const isOpen = state.requests.get(requestId)?.attempt?.attemptId === attemptId;
				nowMs += step === 'tick' ? 4000 : 1;
				// The simulated target may run the attempt before the reducer receives the event.
				mayHaveRun ||= isOpen && (step === 'unknown' || step === 'answered');
				const outcome = step === 'refusedNotRun' ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown;
				const failed: EntryEvent = {
					type: 'attempt.failed', nowMs, requestId, attemptId, load: undefined, isTargetFault: true, failure: createFailure(ERROR_CODES.targetFailed, {outcome}),
				};
				const events: Record<typeof step, EntryEvent> = {
					refusedNotRun: failed,
					unknown: failed,
					late: {...failed, attemptId: `${requestId}.0`},
					answered: {
						type: 'attempt.answered', nowMs, requestId, attemptId, load: undefined,
					},
					finished: {
						type: 'attempt.finished', nowMs, requestId, attemptId, generatedTokens: 1,
					},
					tick: {type: 'tick', nowMs},
					callerDisconnected: {type: 'caller.disconnected', nowMs, requestId},
				};
				dispatch(events[step]);
			}

			dispatch({type: 'tick', nowMs: 1_000_000});
			assert.equal(state.requests.size, 0);
			assert.ok(endEffects.length <= 1);
			for (const target of state.membership.targets.values()) {
				assert.equal(target.inFlight, 0);
				assert.equal(target.inFlightPromptTokens, 0);
			}
		}), {seed: SEED, numRuns: 500});
	});

	it('ignore late events of an earlier attempt', () => {
		const state = createReadyState();
		const [first] = reduceEntry(state, {type: 'request.received', nowMs: 1, attributes: createAttributes()});
		assert.ok(first?.type === 'attempt.send');
		const {requestId, attemptId} = first;
		const failed: EntryEvent = {
			type: 'attempt.failed', nowMs: 2, requestId, attemptId, load: undefined, isTargetFault: true,
			failure: createFailure(ERROR_CODES.targetFailed, {outcome: OUTCOMES.refusedUnknown}),
		};
		const [second] = reduceEntry(state, failed);
		assert.ok(second?.type === 'attempt.send');
		const late = [failed, {
			type: 'attempt.finished', nowMs: 3, requestId, attemptId, generatedTokens: 1,
		} as const].flatMap(event => reduceEntry(state, event));
		assert.deepEqual(late, []);
		assert.equal(state.requests.get(requestId)?.attempt?.attemptId, second.attemptId);
	});

	it('refuse a request without an attempt if its key, model, route or body size is not acceptable', () => {
		const cases = [
			[createAttributes({keyHash: undefined}), ERROR_CODES.keyMissing],
			[createAttributes({keyHash: 'unknown'}), ERROR_CODES.keyUnknown],
			[createAttributes({modelId: 'other'}), ERROR_CODES.modelUnknown],
			[createAttributes({path: '/nowhere'}), ERROR_CODES.routeUnknown],
			[createAttributes({bodyBytes: 1001}), ERROR_CODES.bodyTooLarge],
		] as const;
		for (const [attributes, code] of cases) {
			const effects = reduceEntry(createReadyState(), {type: 'request.received', nowMs: 1, attributes});
			assert.equal(effects.length, 1);
			assert.equal(effects[0]?.type === 'request.refuse' ? effects[0].failure.code : undefined, code);
		}
	});
});
