import {type HandlerTable} from '../reducer/createReducer.js';
import {CONFIRMATION_ENDS, completeClosedCall} from './endCall.js';
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type ServingState} from './servingState.js';
import {findClosedEnd} from './streamEnds.js';

/** Handlers that end streams whose end is not confirmed in time. */
export const confirmationHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	tick: (state, {nowMs}) => [...state.calls.values()]
		.filter(call => nowMs >= (findClosedEnd(call)?.confirmUntilMs ?? Number.POSITIVE_INFINITY))
		.flatMap(call => completeClosedCall(state, call, {nowMs, confirmation: CONFIRMATION_ENDS.late}) ?? []),
};
