import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	ATTEMPT_RESULTS, type AttemptResult, type ServingEffect, type ServingEvent,
} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {type ServingState} from '../servingState.js';
import {createTestConfiguration, createTestRoute, createTestState} from './createTestState.js';

const CALL_ID = 1;
const FAILED_RESULTS = [ATTEMPT_RESULTS.notRun, ATTEMPT_RESULTS.unreached, ATTEMPT_RESULTS.unknown, ATTEMPT_RESULTS.failed] as const;

/** Events of the second target, or of anything else that may end the call. None of them tells of a further event of the stream. */
const DISTURBANCES: Readonly<Record<string, (attemptId: number) => ServingEvent>> = {
	...Object.fromEntries(FAILED_RESULTS.map(result => [result, (attemptId: number) => createEnd(attemptId, result)])),
	expired: (): ServingEvent => ({type: 'call.expired', callId: CALL_ID, nowMs: 0}),
	tick: (): ServingEvent => ({type: 'tick', wallMs: 0, nowMs: 0}),
	stopped: (): ServingEvent => ({type: 'stop.graceEnded', nowMs: 0}),
	removed: (): ServingEvent => ({
		type: 'targets.changed', targets: [], removed: ['a', 'b', 'c', 'd'], isComplete: false, nowMs: 0,
	}),
};

function createEnd(attemptId: number, result: AttemptResult, lastEventId = '5'): ServingEvent {
	return {
		type: 'attempt.ended',
		callId: CALL_ID,
		attemptId,
		result,
		isResponseStarted: true,
		hasRun: result === ATTEMPT_RESULTS.failed,
		wallMs: 0,
		detail: '',
		framing: 'connection',
		lastEventId,
		nowMs: 0,
	};
}

function createArrival(callId: number): ServingEvent {
	return {
		type: 'call.arrived', callId, wallMs: 0, waitedMs: 0, completeForMs: 0, nowMs: 0, request: {
			requestId: `request${callId}`, host: 'host', path: '/stream/x', key: undefined, deadlineMs: 3000, bodyBytes: 0, prompt: undefined, fingerprint: `f${callId}`,
		},
	};
}

const findSend = (effects: readonly ServingEffect[]) => effects.find(effect => effect.type === 'attempt.send');
const hasEffect = (effects: readonly ServingEffect[], type: ServingEffect['type']) => effects.some(effect => effect.type === type);

/** Creates a state in which a service is known to end streams by chunks, with a stream that its target has just ended by closing the connection. */
function createClosedStream(): {readonly state: ServingState; readonly effects: readonly ServingEffect[]} {
	const state = createTestState();
	reduceServing(state, {
		type: 'configuration.changed', configuration: {...createTestConfiguration(2), routes: [createTestRoute('stream', {isResumable: true})]}, nowMs: 0,
	});
	state.servicesWithDelimitedStreams.add('plain');
	const send = findSend(reduceServing(state, createArrival(CALL_ID)))!;
	assert.ok(send.isCloseDoubtful);
	reduceServing(state, {
		type: 'attempt.began', callId: CALL_ID, attemptId: send.attemptId, wallMs: 0, nowMs: 0,
	});
	return {state, effects: reduceServing(state, createEnd(send.attemptId, ATTEMPT_RESULTS.closed))};
}

describe('a stream that its target has ended by closing the connection', () => {
	it('is asked for at another target, and never refused whatever follows without a further event', () => {
		const disturbance = fc.constantFrom(...Object.entries(DISTURBANCES));
		fc.assert(fc.property(fc.array(disturbance, {minLength: 1, maxLength: 6}), fc.integer({min: 0, max: 400}), (disturbances, stepMs) => {
			const {state, effects: closedEffects} = createClosedStream();
			let effects = closedEffects;
			let {attemptId} = (findSend(effects)!);
			let nowMs = 0;
			for (const [, createEvent] of disturbances) {
				nowMs += stepMs;
				effects = reduceServing(state, {...createEvent(attemptId), nowMs});
				assert.equal(hasEffect(effects, 'call.refuse') || hasEffect(effects, 'attempt.forward'), false);
				attemptId = findSend(effects)?.attemptId ?? attemptId;
				assert.equal(state.calls.has(CALL_ID), !hasEffect(effects, 'call.complete'));
				if (!state.calls.has(CALL_ID)) {
					return;
				}
			}

			// Callers wait for the end for 2 s.
			effects = reduceServing(state, {type: 'tick', wallMs: 0, nowMs: nowMs + 1500});
			assert.ok(hasEffect(effects, 'call.complete'));
		}));
	});

	it('is broken when a further event shows that it was not the end, and nothing goes on', () => {
		const {state, effects} = createClosedStream();
		const {attemptId} = findSend(effects)!;
		reduceServing(state, {
			type: 'attempt.began', callId: CALL_ID, attemptId, wallMs: 0, nowMs: 10,
		});
		reduceServing(state, {
			type: 'targets.changed', targets: [], removed: ['a', 'b', 'c', 'd'], isComplete: false, nowMs: 10,
		});
		const end = reduceServing(state, {...createEnd(attemptId, ATTEMPT_RESULTS.unknown, '6'), nowMs: 20});
		assert.deepEqual([hasEffect(end, 'call.refuse'), hasEffect(end, 'call.complete')], [true, false]);
	});

	for (const result of FAILED_RESULTS) {
		it(`is not counted as usual where the target that was asked gave "${result}"`, () => {
			const {state, effects: closedEffects} = createClosedStream();
			let effects = closedEffects;
			for (let send = findSend(effects); send !== undefined; send = findSend(effects)) {
				effects = reduceServing(state, createEnd(send.attemptId, result));
			}

			assert.ok(hasEffect(effects, 'call.complete'));
			assert.deepEqual([...state.placement.targets.values()].map(({streamEnds}) => streamEnds.closed), [0, 0, 0, 0]);
		});
	}

	it('is not asked for again at a target that ends all its streams so', () => {
		const {state} = createClosedStream();
		for (const target of state.placement.targets.values()) {
			target.streamEnds = {delimited: 0, closed: 3};
		}

		assert.equal(findSend(reduceServing(state, createArrival(2)))?.isCloseDoubtful, false);
	});
});
