/**
 * Detects unresponsive targets. An instance that has lost power or is partitioned
 * neither responds nor resets connections. Without detection, such a target would
 * keep receiving its share of requests, each of which runs into its timeout.
 */
import {recordFault} from '../placement/placementState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {advanceRequest} from '../request/requestRecord.js';
import {endAttempt} from './attemptWork.js';
import {sendNextAttempt} from './callAttempts.js';
import {endExhaustedCall} from './refuseCall.js';
import {ATTEMPT_RESULTS, type ServingEffect, type ServingEvent} from './servingMessages.js';
import {ROUTE_KINDS} from './servingRecords.js';
import {type CallAttempt, type ServingCall, type ServingState} from './servingState.js';

/** Interval at which the same attempt without a response counts as a further failure of its target. */
const FAULT_INTERVAL_MS = 500;

/** Time between two ticks from which on the process did not run in the meantime. Twice the interval of ticks. */
const MAX_TICK_GAP_MS = 500;

/** Handlers that detect unresponsive targets at each tick. */
export const unresponsiveTargetHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	tick(state, {nowMs}) {
		const effects: ServingEffect[] = [];
		applyTickGap(state, nowMs);
		for (const call of state.calls.values()) {
			const {attempt} = call;
			if (attempt === undefined || attempt.firstBytesAtMs !== undefined || nowMs < attempt.responseDueAtMs || attempt.target.lastResponseAtMs > attempt.sentAtMs) {
				continue;
			}

			attempt.responseDueAtMs = nowMs + FAULT_INTERVAL_MS;
			recordFault(attempt.target, nowMs);
			effects.push(
				{
					type: 'decision.record',
					name: 'target.silent',
					subject: call.request.requestId,
					detail: {target: attempt.target.record.targetId, waitedMs: Math.round(nowMs - attempt.sentAtMs), failuresInRow: attempt.target.consecutiveFailures},
				},
				...retryElsewhere(state, call, nowMs),
			);
		}

		return effects;
	},
};

/** After a time in which the process did not run, responses may wait unread, so no target is late because of that time. */
function applyTickGap(state: ServingState, nowMs: number): void {
	const lastTickAtMs = state.lastTickAtMs ?? nowMs;
	state.lastTickAtMs = nowMs;
	if (nowMs - lastTickAtMs <= MAX_TICK_GAP_MS) {
		return;
	}

	for (const {attempt} of state.calls.values()) {
		if (attempt !== undefined) {
			attempt.responseDueAtMs += nowMs - Math.max(attempt.sentAtMs, lastTickAtMs);
		}
	}
}

/**
 * Retries a call on another target if it may run more than once or if its attempt is prefill only.
 * Any other call keeps waiting, because a missing response does not prove that the target has not run it. So does a call
 * that cannot go on elsewhere: its target may only be slow.
 */
function retryElsewhere(state: ServingState, call: ServingCall, nowMs: number): readonly ServingEffect[] {
	const {attempt, route, snapshot, failedPrefillCount, excludedTargetIds, openCharge} = call;
	const isRetryable = route.kind === ROUTE_KINDS.safe || route.isResumable;
	if (attempt === undefined || !(isRetryable || attempt.isPrefillOnly) || call.attemptCount >= route.attemptLimit) {
		return [];
	}

	const {targetId} = attempt.target.record;
	const wasExcluded = excludedTargetIds.has(targetId);
	call.failedPrefillCount += attempt.isPrefillOnly ? 1 : 0;
	call.openCharge = attempt.isPrefillOnly ? openCharge : undefined;
	excludedTargetIds.add(targetId);
	advanceRequest(call, {type: attempt.isPrefillOnly ? 'failNotRun' : 'failUnknown'});
	const next = sendNextAttempt(state, call, {nowMs});
	if (next.isSent) {
		endReplacedAttempt(state, call, attempt, nowMs);
		return [{type: 'attempt.cancel', callId: call.callId, attemptId: attempt.attemptId}, ...next.effects];
	}

	// Nothing has run of a call whose prompt is prefilled, so its caller is told at once.
	if (attempt.isPrefillOnly && !call.isResponseStarted) {
		endAttempt(state, call, {result: ATTEMPT_RESULTS.cancelled, nowMs});
		return [{type: 'attempt.cancel', callId: call.callId, attemptId: attempt.attemptId}, ...endExhaustedCall(state, call, nowMs, next)];
	}

	call.snapshot = snapshot;
	call.failedPrefillCount = failedPrefillCount;
	call.openCharge = openCharge;
	if (!wasExcluded) {
		excludedTargetIds.delete(targetId);
	}

	return [];
}

/** Ends an attempt in whose place another one was sent. */
function endReplacedAttempt(state: ServingState, call: ServingCall, replaced: CallAttempt, nowMs: number): void {
	const {attempt, openCharge} = call;
	call.attempt = replaced;
	endAttempt(state, call, {result: ATTEMPT_RESULTS.cancelled, nowMs});
	call.attempt = attempt;
	call.openCharge = openCharge;
}
