import {endAttempt, releaseHandover, releaseReservation} from './attemptWork.js';
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type ServingCall, type ServingState} from './servingState.js';

/** How an answer was framed and after which event it ended. */
type AnswerDescription = Pick<Extract<ServingEvent, {type: 'attempt.ended'}>, 'framing' | 'lastEventId'>;

/**
 * Ends a call: releases what it holds and cancels an attempt in progress. The answer to its caller is an effect of its own.
 *
 * @param options - `answer` describes the answer that the caller has
 */
export function endCall(state: ServingState, call: ServingCall, {nowMs, outcome, answer}: {nowMs: number; outcome: string; answer?: AnswerDescription}): readonly ServingEffect[] {
	const {attempt, callId, request} = call;
	state.calls.delete(callId);
	releaseReservation(state, call);
	releaseHandover(call);
	const effects: ServingEffect[] = [{
		type: 'decision.record',
		name: 'call.ended',
		subject: request.requestId,
		detail: {
			outcome,
			route: call.route.name,
			target: attempt?.target.record.targetId,
			attempts: call.attemptCount,
			tookMs: Math.round(nowMs - call.arrivedAtMs),
			waitedMs: Math.round(call.waitedMs),
			beganMs: call.firstByteAtMs === undefined ? undefined : Math.round(call.firstByteAtMs - call.arrivedAtMs),
			framing: answer?.framing,
			lastEventId: answer?.lastEventId,
			plan: call.placementDetail,
			...(call.measurements.length > 0 && {measured: call.measurements}),
		},
	}];
	if (attempt !== undefined && !attempt.isEnded) {
		endAttempt(state, call, {result: 'cancelled', nowMs});
		effects.push({type: 'attempt.cancel', callId, attemptId: attempt.attemptId});
	}

	return [...effects, {type: 'work.report'}];
}
