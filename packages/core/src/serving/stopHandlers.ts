/**
 * A planned stop of an entry. Until it ends, the entry takes only calls that are certainly over by then, so that none that
 * was passed on to a target is cut off without an answer.
 */
import {ERROR_CODES, OUTCOMES} from '@damaskspool/shared';
import {type HandlerTable} from '../reducer/createReducer.js';
import {advanceRequest} from '../request/requestRecord.js';
import {createEntryRecord} from './createEntryRecord.js';
import {completeClosedCall, CONFIRMATION_ENDS, endCall} from './endCall.js';
import {LEAVING_RETRY_AFTER_MS} from './refuseArrival.js';
import {createRefusal} from './refuseCall.js';
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type ServingCall, type ServingState} from './servingState.js';

/**
 * Returns whether a call may be taken although a stop was requested: its timeout ends before the entry does.
 *
 * @param timeoutAtMs - time at which the call is answered at the latest
 */
export function mayEndInTime({stopEndsAtMs}: Pick<ServingState, 'stopEndsAtMs'>, timeoutAtMs: number): boolean {
	return stopEndsAtMs === undefined || timeoutAtMs <= stopEndsAtMs;
}

/** Handlers of the events of a planned stop. */
export const stopHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	'stop.requested'(state, {signal, endsAtMs, nowMs}) {
		state.isStopping = true;
		state.stopEndsAtMs = endsAtMs;
		return [createEntryRecord(state, 'entry.stopping', {signal, calls: state.calls.size, leftMs: Math.round(endsAtMs - nowMs)})];
	},
	'stop.graceEnded': (state, {nowMs}) => [...state.calls.values()].flatMap(call => endUnfinishedCall(state, call, nowMs)),
};

/** Answers a call that is not over when the entry ends. It is said not to have run only if no target can have run it. */
function endUnfinishedCall(state: ServingState, call: ServingCall, nowMs: number): readonly ServingEffect[] {
	const completed = completeClosedCall(state, call, {nowMs, confirmation: CONFIRMATION_ENDS.stopped});
	if (completed !== undefined) {
		return completed;
	}

	advanceRequest(call, {type: call.attempt?.isPrefillOnly === true ? 'failNotRun' : 'failUnknown'});
	const isNotRun = advanceRequest(call, {type: 'exhaust'}) === 'refusedNotRun' && !call.isUsageCounted;
	return [
		...endCall(state, call, {nowMs, outcome: 'stopped'}),
		isNotRun
			? createRefusal(call, ERROR_CODES.leaving, OUTCOMES.refusedNotRun, LEAVING_RETRY_AFTER_MS)
			: createRefusal(call, ERROR_CODES.stopped, OUTCOMES.refusedUnknown),
	];
}
