import {ERROR_CODES} from '@damaskspool/shared';
import {type HandlerTable} from '../reducer/createReducer.js';
import {beginCall} from './callHandlers.js';
import {refuseArrival} from './refuseArrival.js';
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type ServingState} from './servingState.js';
import {type CallArrived, readForTakeUps, takeHeld} from './streamTakeUps.js';

/** Longest time for which a request is held. A read takes milliseconds; a store that is slower than that is in trouble. */
const MAX_HOLD_MS = 600;

/** Handlers that end the wait of requests that take up a stream. They follow those of the version history. */
export const takeUpHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	'versions.readEnded'(state, {result, nowMs}) {
		if (result.kind === 'failed') {
			return refuseHeld(state, takeHeld(state, nowMs));
		}

		const confirmed = takeHeld(state, state.versionHistory.readStartedAtMs);
		return [
			...confirmed.flatMap(event => {
				const heldMs = nowMs - event.nowMs;
				return beginCall(state, {
					...event, nowMs, waitedMs: event.waitedMs + heldMs, completeForMs: event.completeForMs + heldMs,
				}, true);
			}),
			...readForTakeUps(state, nowMs),
		];
	},
	'versions.writeEnded': (state, {nowMs}) => readForTakeUps(state, nowMs),
	'call.disconnected'({takeUps}, {callId}) {
		takeUps.delete(callId);
		return [];
	},
	'stop.graceEnded': (state, {nowMs}) => refuseHeld(state, takeHeld(state, nowMs)),
	tick: (state, {nowMs}) => [...refuseHeld(state, takeHeld(state, nowMs - MAX_HOLD_MS)), ...readForTakeUps(state, nowMs)],
};

function refuseHeld(state: ServingState, held: readonly CallArrived[]): readonly ServingEffect[] {
	return held.flatMap(event => refuseArrival(state, event, ERROR_CODES.streamVersionUnknown));
}
