/** What an attempt holds at its target, and how it begins and ends. */
import {
	changeRunning, type PlacedTarget, recordAnswer, recordFault,
} from '../placement/placementState.js';
import {releaseTokens} from '../placement/targetRoom.js';
import {NO_QUEUED_WORK} from './planAttempt.js';
import {ATTEMPT_RESULTS, type AttemptResult} from './servingMessages.js';
import {type CallAttempt, type ServingCall, type ServingState} from './servingState.js';

/** Results that count as a failure of the target. */
const TARGET_FAULTS: ReadonlySet<AttemptResult> = new Set([ATTEMPT_RESULTS.unreached, ATTEMPT_RESULTS.unknown, ATTEMPT_RESULTS.failed]);

/** Results that prove that the target did not run the request. */
const NOT_RUN_RESULTS: ReadonlySet<AttemptResult> = new Set([ATTEMPT_RESULTS.notRun, ATTEMPT_RESULTS.unreached]);

/**
 * Releases the slot that a call has reserved on its decode target.
 *
 * @param call - changed in place, together with the work of its decode target
 */
export function releaseReservation(state: ServingState, call: ServingCall): void {
	if (call.hasReservedSlot && call.decodeTarget !== undefined) {
		changeRunning(state.placement, call.decodeTarget, -state.placementSettings.reservedSlotShare);
	}

	call.hasReservedSlot = false;
	releaseTokens(call.reservedTokens);
	call.reservedTokens = undefined;
}

/** Releases the KV cache of a prompt at the target that has prefilled it. Changes the call and that target in place. */
export function releaseHandover(call: ServingCall): void {
	releaseTokens(call.handedOverTokens);
	call.handedOverTokens = undefined;
}

/**
 * Records the first bytes of a response: prefill is complete and the request runs.
 *
 * @param state - changed in place
 * @param call - changed in place
 * @param times - current time by the monotonic and the wall clock
 */
export function recordFirstBytes(state: ServingState, call: ServingCall, {nowMs, wallMs}: {nowMs: number; wallMs: number}): void {
	const attempt = call.attempt!;
	attempt.firstBytesAtMs = nowMs;
	releaseQueuedWork(attempt);
	recordAnswer(attempt.target, nowMs);
	countUsage(state, call, wallMs);
}

/**
 * Counts a call in the usage of its customer, once, when it is known to run.
 *
 * @param state - changed in place
 * @param call - changed in place
 * @param wallMs - wall-clock time of this instance
 */
export function countUsage(state: ServingState, call: ServingCall, wallMs: number): void {
	if (!call.isUsageCounted && call.customerId !== undefined) {
		state.usage.record(call.customerId, state.clock.toMedianTime(wallMs));
	}

	call.isUsageCounted = true;
}

/** Adds the queued work of an attempt to its target, or subtracts it. */
export function addQueuedWork({localWork}: PlacedTarget, {prefillMs, urgentPrefillMs, copyMs}: CallAttempt['queuedWork'], sign: 1 | -1): void {
	localWork.prefillMs = Math.max(0, localWork.prefillMs + (sign * prefillMs));
	localWork.urgentPrefillMs = Math.max(0, localWork.urgentPrefillMs + (sign * urgentPrefillMs));
	localWork.copyMs = Math.max(0, localWork.copyMs + (sign * copyMs));
}

/** Subtracts the queued work of an attempt from its target, once. */
function releaseQueuedWork(attempt: CallAttempt): void {
	addQueuedWork(attempt.target, attempt.queuedWork, -1);
	attempt.queuedWork = {...NO_QUEUED_WORK};
}

/**
 * Ends the current attempt of a call: removes its work from the target and records the failure or response of the target.
 * Has no effect if the attempt has already ended.
 *
 * @param call - changed in place
 */
export function endAttempt(state: ServingState, call: ServingCall, {result, nowMs}: {result: AttemptResult; nowMs: number}): void {
	const {attempt} = call;
	if (attempt === undefined || attempt.isEnded) {
		return;
	}

	attempt.isEnded = true;
	// The charge of an attempt that no target has run stays for the next one.
	call.openCharge = attempt.isPrefillOnly || NOT_RUN_RESULTS.has(result) ? call.openCharge : undefined;
	changeRunning(state.placement, attempt.target, -1);
	releaseQueuedWork(attempt);
	releaseTokens(attempt.heldTokens);
	attempt.heldTokens = undefined;
	if (TARGET_FAULTS.has(result)) {
		recordFault(attempt.target, nowMs);
	} else if (result === ATTEMPT_RESULTS.answered || result === ATTEMPT_RESULTS.notRun) {
		recordAnswer(attempt.target, nowMs);
	}
}
