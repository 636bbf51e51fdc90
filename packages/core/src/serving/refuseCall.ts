import {
	ERROR_CODES, type ErrorCode, type Outcome, OUTCOMES,
} from '@damaskspool/shared';
import {advanceRequest} from '../request/requestRecord.js';
import {releaseHandover} from './attemptWork.js';
import {releaseCharge} from './callCharges.js';
import {completeClosedCall} from './endCall.js';
import {DEFAULT_RETRY_AFTER_MS, type Refusal} from './planAttempt.js';
import {type ServingEffect} from './servingMessages.js';
import {type ServingCall, type ServingState} from './servingState.js';

/** Why no further attempt is made. */
export type ExhaustedEnd = {readonly code: ErrorCode; readonly refusal: Refusal | undefined};

/** Ends a call for which no further attempt is made. A stream that its target has ended is complete. */
export function endExhaustedCall(state: ServingState, call: ServingCall, nowMs: number, end: ExhaustedEnd): readonly ServingEffect[] {
	return completeClosedCall(state, call, {nowMs, confirmation: end.code}) ?? refuseExhaustedCall(state, call, nowMs, end);
}

/** Refuses a call. The outcome is "not run" only if no attempt can have run. */
function refuseExhaustedCall(state: ServingState, call: ServingCall, nowMs: number, {code, refusal}: ExhaustedEnd): readonly ServingEffect[] {
	releaseCharge(state, call, nowMs);
	const retryAfterMs = refusal?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
	const next = advanceRequest(call, {type: 'exhaust'});
	state.calls.delete(call.callId);
	releaseHandover(call);
	const isNotRun = next === 'refusedNotRun' && !call.isUsageCounted;
	return [
		createRefusal(call, isNotRun ? code : ERROR_CODES.targetFailed, isNotRun ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown, isNotRun ? retryAfterMs : undefined),
		{
			type: 'decision.record', name: 'call.refused', subject: call.request.requestId, detail: {
				code,
				isNotRun,
				retryAfterMs,
				route: call.route.name,
				attempts: call.attemptCount,
				version: state.configuration?.version,
				targets: state.placement.targets.size,
				peers: state.placement.peers.size,
				...refusal?.detail,
			},
		},
	];
}

/**
 * Creates the effect that ends a call with an error response of the entry.
 *
 * @param retryAfterMs - only for a call that has not run
 */
export function createRefusal(call: ServingCall, code: ErrorCode, outcome: Outcome, retryAfterMs?: number): ServingEffect {
	return {
		type: 'call.refuse', callId: call.callId, code, outcome, retryAfterMs,
	};
}
