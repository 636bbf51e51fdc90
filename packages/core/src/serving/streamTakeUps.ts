/**
 * Holds requests that take up a stream of which nobody has told this entry. Only the store knows which software versions
 * may have begun it, since each version is stored before its first stream. It is read after the request arrived: what the
 * entry knew before may be old, because it was cut off or stood still. One read answers all requests that came before it.
 */
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type ServingState} from './servingState.js';

/** A request that has arrived. */
export type CallArrived = Extract<ServingEvent, {type: 'call.arrived'}>;

/** Maximum number of requests that are held. Further ones are rejected. */
const MAX_TAKE_UPS = 1000;

/** Returns whether a read of the store may tell the version of a stream of which nobody has told this entry. */
export function mayConfirmVersion({versionHistory, takeUps}: ServingState, serviceId: string, nowMs: number): boolean {
	const {isKept, recorded, nextCallAtMs} = versionHistory;
	// A version stays stored for longer than callers take to come back, so several known ones do not become a single one in time.
	return isKept && (recorded.get(serviceId)?.size ?? 0) <= 1 && nowMs >= nextCallAtMs && takeUps.size < MAX_TAKE_UPS;
}

/** Holds a request until the store is read. */
export function holdTakeUp(state: ServingState, event: CallArrived): readonly ServingEffect[] {
	state.takeUps.set(event.callId, event);
	return [
		{
			type: 'decision.record', name: 'call.held', subject: event.request.requestId, detail: {resumes: event.request.resumes, isReading: state.versionHistory.isCallInFlight},
		},
		...readForTakeUps(state, event.nowMs),
	];
}

/** Reads the store for the requests that are held, unless a call to the same object is in flight. */
export function readForTakeUps({versionHistory, takeUps}: ServingState, nowMs: number): readonly ServingEffect[] {
	if (takeUps.size === 0 || versionHistory.isCallInFlight) {
		return [];
	}

	versionHistory.isCallInFlight = true;
	versionHistory.readStartedAtMs = nowMs;
	return [{type: 'versions.read'}];
}

/** Takes the held requests that arrived at a time or before. */
export function takeHeld({takeUps}: ServingState, arrivedUntilMs: number): readonly CallArrived[] {
	const taken = [...takeUps.values()].filter(({nowMs}) => nowMs <= arrivedUntilMs);
	for (const {callId} of taken) {
		takeUps.delete(callId);
	}

	return taken;
}
