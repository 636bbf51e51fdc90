/**
 * Targets that say nothing: a machine without power or behind a partition
 * neither answers nor resets. Answers the load in which one of few targets goes
 * dark and would take its share of requests until each runs into its timeout.
 */
import {recordFault} from '../placement/placementState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {advanceRequest} from '../request/requestRecord.js';
import {endAttempt, planNextAttempt} from './callAttempts.js';
import {ATTEMPT_RESULTS, type ServingEffect, type ServingEvent} from './servingMessages.js';
import {ROUTE_KINDS} from './servingRecords.js';
import {type ServingCall, type ServingState} from './servingState.js';

/** Time between two faults that the same silent attempt counts against its target. */
const FAULT_INTERVAL_MS = 500;

/** Handlers that find silent targets at each tick. */
export const unresponsiveTargetHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	tick(state, {nowMs}) {
		const effects: ServingEffect[] = [];
		for (const call of state.calls.values()) {
			const {attempt} = call;
			if (attempt === undefined || attempt.hasFirstBytes || nowMs < attempt.responseDueAtMs || attempt.target.lastResponseAtMs > attempt.sentAtMs) {
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

/** Sends a call elsewhere that may be repeated; any other waits on, since silence proves nothing. */
function retryElsewhere(state: ServingState, call: ServingCall, nowMs: number): readonly ServingEffect[] {
	const {attempt, route, callId} = call;
	const isRetryable = route.kind === ROUTE_KINDS.safe || route.isResumable;
	if (attempt === undefined || !(isRetryable || attempt.isPrefillOnly) || call.attemptCount >= route.attemptLimit) {
		return [];
	}

	endAttempt(state, call, {result: ATTEMPT_RESULTS.cancelled, nowMs});
	call.excludedTargetIds.add(attempt.target.record.targetId);
	advanceRequest(call, {type: attempt.isPrefillOnly ? 'failNotRun' : 'failUnknown'});
	return [{type: 'attempt.cancel', callId, attemptId: attempt.attemptId}, ...planNextAttempt(state, call, nowMs)];
}
