import {endAttempt, releaseHandover, releaseReservation} from './attemptWork.js';
import {clearSuspicion} from './crashHandlers.js';
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type ServingCall, type ServingState} from './servingState.js';
import {findClosedEnd} from './streamEnds.js';

/** Why a stream ended that another target was asked to confirm, beside the codes of errors that forbid to ask one. */
export const CONFIRMATION_ENDS = {
	late: 'late',
	expired: 'expired',
	stopped: 'stopped',
	failed: 'failed',
} as const;

/** How an answer was framed and after which event it ended. */
type AnswerDescription = Pick<Extract<ServingEvent, {type: 'attempt.ended'}>, 'framing' | 'closeSigns' | 'lastEventId'>;

/** How a call ended. */
type CallEnd = {
	readonly nowMs: number;
	readonly outcome: string;
	/** The answer that the caller has. */
	readonly answer?: AnswerDescription;
	/** Why the end of its stream was not confirmed, if it should have been. */
	readonly confirmation?: string;
};

/**
 * Ends a call: releases what it holds and cancels an attempt in progress. The answer to its caller is an effect of its own.
 */
export function endCall(state: ServingState, call: ServingCall, {nowMs, outcome, answer, confirmation}: CallEnd): readonly ServingEffect[] {
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
			closeSigns: answer?.closeSigns,
			lastEventId: answer?.lastEventId,
			confirmation,
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

/**
 * Ends a stream as its target has ended it, although no other target has confirmed that. The caller has all of its events.
 *
 * @returns undefined if no target has ended it
 */
export function completeClosedCall(state: ServingState, call: ServingCall, {nowMs, confirmation}: {readonly nowMs: number; readonly confirmation: string}): readonly ServingEffect[] | undefined {
	const answer = findClosedEnd(call);
	return answer && [
		...clearSuspicion(state, call, nowMs),
		...endCall(state, call, {
			nowMs, outcome: 'answered', answer, confirmation,
		}),
		{type: 'call.complete', callId: call.callId},
	];
}
