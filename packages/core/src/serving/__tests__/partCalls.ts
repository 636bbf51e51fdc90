import {ATTEMPT_RESULTS, type SendServingAttempt, type ServingEffect} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {type ServingState} from '../servingState.js';
import {createFleetCall} from './createTestFleet.js';

/** Lets a call with these shared parts arrive. Every call has another body and another last part. */
export function sendPartCall(state: ServingState, callId: number, {partIds, nowMs}: {partIds: readonly string[]; nowMs: number}): readonly ServingEffect[] {
	const event = createFleetCall(callId, {kind: 'safe', requestId: `request${callId}`}, nowMs);
	const parts = [...partIds, `own${callId}`].map(partId => ({partId, tokens: 100}));
	return event.type === 'call.arrived'
		? reduceServing(state, {...event, request: {...event.request, prompt: {tokens: 300, maxOutputTokens: 10, parts}}})
		: [];
}

export const findSend = (effects: readonly ServingEffect[]) => effects.find(effect => effect.type === 'attempt.send');

/** Ends an attempt with the crash of its target, as a probe shows it. Returns the effects of both. */
export function crashAttempt(state: ServingState, {callId, attemptId}: SendServingAttempt, nowMs: number): readonly ServingEffect[] {
	const effects = reduceServing(state, {
		type: 'attempt.ended', callId, attemptId, result: ATTEMPT_RESULTS.unknown, isResponseStarted: false, hasRun: false, wallMs: nowMs, detail: '', nowMs,
	});
	const probes = effects.filter(effect => effect.type === 'target.probe');
	return [...effects, ...probes.flatMap(({target}) => reduceServing(state, {
		type: 'target.probed', target, isListening: false, nowMs,
	}))];
}

/** Lets the first bytes of an answer arrive, so that its target does not count as unresponsive. */
export function beginAttempt(state: ServingState, {callId, attemptId}: SendServingAttempt, nowMs: number): void {
	reduceServing(state, {
		type: 'attempt.began', callId, attemptId, wallMs: nowMs, nowMs,
	});
}

/** Ends an attempt with a complete answer. */
export function answerAttempt(state: ServingState, {callId, attemptId}: SendServingAttempt, nowMs: number): readonly ServingEffect[] {
	return reduceServing(state, {
		type: 'attempt.ended', callId, attemptId, result: ATTEMPT_RESULTS.answered, isResponseStarted: true, hasRun: true, wallMs: nowMs, detail: '', nowMs,
	});
}
