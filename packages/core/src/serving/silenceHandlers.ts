/**
 * Targets that say nothing: a machine without power or behind a partition
 * neither answers nor resets. Answers the load in which one of few targets goes
 * dark and would take its share of requests until each runs into its timeout.
 */
import {recordFault} from '../placement/placementState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {advanceRequest} from '../request/requestRecord.js';
import {endAttemptWork, planNextAttempt} from './callAttempts.js';
import {ATTEMPT_RESULTS, type ServingEffect, type ServingEvent} from './servingMessages.js';
import {ROUTE_KINDS} from './servingRecords.js';
import {type ServingCall, type ServingState} from './servingState.js';

/** Time between two faults that the same silent attempt counts against its target. */
const REPEAT_MS = 500;

/** Handlers that find silent targets at each tick. */
export const silenceHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	tick(state, {nowMs}) {
		const effects: ServingEffect[] = [];
		for (const served of state.calls.values()) {
			const {attempt} = served;
			if (attempt === undefined || attempt.isBegun || nowMs < attempt.silentAtMs || attempt.target.lastHeardAtMs > attempt.sentAtMs) {
				continue;
			}

			attempt.silentAtMs = nowMs + REPEAT_MS;
			recordFault(attempt.target, nowMs);
			effects.push(
				{
					type: 'decision.record',
					name: 'target.silent',
					subject: served.call.requestId,
					detail: {target: attempt.target.record.targetId, waitedMs: Math.round(nowMs - attempt.sentAtMs), failuresInRow: attempt.target.failuresInRow},
				},
				...moveCall(state, served, nowMs),
			);
		}

		return effects;
	},
};

/** Sends a call elsewhere that may be repeated; any other waits on, since silence proves nothing. */
function moveCall(state: ServingState, served: ServingCall, nowMs: number): readonly ServingEffect[] {
	const {attempt, route, callId} = served;
	const isRepeatable = route.kind === ROUTE_KINDS.safe || route.isResumable;
	if (attempt === undefined || !(isRepeatable || attempt.isRead) || served.attempts >= route.attemptLimit) {
		return [];
	}

	endAttemptWork(state, served, {result: ATTEMPT_RESULTS.cancelled, nowMs});
	served.excluded.add(attempt.target.record.targetId);
	advanceRequest(served, {type: attempt.isRead ? 'failNotRun' : 'failUnknown'});
	return [{type: 'attempt.cancel', callId, attemptId: attempt.attemptId}, ...planNextAttempt(state, served, nowMs)];
}
