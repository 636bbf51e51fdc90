/** Load: an entry that stands still cannot tell when a request came, and is asked to end it at its timeout. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {reduceServing} from '../servingReducer.js';
import {type ServingEffect} from '../servingMessages.js';
import {type ServingState} from '../servingState.js';
import {createTestState} from './createTestState.js';

const WAITED_MS = 240;

/** Lets a call arrive that may have waited, and returns what is left of it. */
function beginCall(state: ServingState, nowMs: number): {readonly effects: readonly ServingEffect[]; readonly timeoutMs: number} {
	const effects = reduceServing(state, {
		type: 'call.arrived', callId: 1, wallMs: nowMs, nowMs, waitedMs: WAITED_MS, completeForMs: 0, request: {
			requestId: 'request', host: 'host', path: '/safe/x', key: undefined, deadlineMs: 1500, bodyBytes: 0, prompt: undefined, fingerprint: 'f',
		},
	});
	const timeout = effects.find(effect => effect.type === 'call.startTimeout');
	return {effects, timeoutMs: timeout?.afterMs ?? Number.NaN};
}

const listTypes = (effects: readonly ServingEffect[]) => effects.map(({type}) => type);

describe('the timeout of a call that may have waited unread', () => {
	it('answers a call without an answer when its caller may have waited that long', () => {
		const state = createTestState();
		const {timeoutMs} = beginCall(state, 1000);
		assert.equal(timeoutMs, 1500 - WAITED_MS);
		assert.ok(listTypes(reduceServing(state, {type: 'call.expired', callId: 1, nowMs: 1000 + timeoutMs})).includes('call.refuse'));
	});

	it('cuts off an answer that has begun only when its caller has surely waited that long', () => {
		const state = createTestState();
		const {effects, timeoutMs} = beginCall(state, 1000);
		const attempt = effects.find(effect => effect.type === 'attempt.send');
		assert.equal(attempt?.remainingMs, 1500);
		reduceServing(state, {
			type: 'attempt.began', callId: 1, attemptId: attempt.attemptId, nowMs: 1100, wallMs: 1100,
		});
		assert.deepEqual(reduceServing(state, {type: 'call.expired', callId: 1, nowMs: 1000 + timeoutMs}), [{type: 'call.startTimeout', callId: 1, afterMs: WAITED_MS}]);
		assert.ok(listTypes(reduceServing(state, {type: 'call.expired', callId: 1, nowMs: 2500})).includes('call.refuse'));
	});

	it('takes a call in a stop only if its caller has surely waited that long before the stop ends', () => {
		const state = createTestState();
		reduceServing(state, {
			type: 'stop.requested', signal: 'SIGTERM', nowMs: 900, endsAtMs: 1000 + 1500 - 1,
		});
		assert.ok(!listTypes(beginCall(state, 1000).effects).includes('attempt.send'));
	});
});
