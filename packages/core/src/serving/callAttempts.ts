import {ERROR_CODES, type ErrorCode} from '@damaskspool/shared';
import {recordChoice} from '../placement/loadEvenness.js';
import {
	changeRunning, hasLimitRoom, listSharedParts, PEER_TIMEOUT_MS, takeLimitShare,
} from '../placement/placementState.js';
import {countTokens, takeTokens} from '../placement/targetRoom.js';
import {advanceRequest} from '../request/requestRecord.js';
import {addQueuedWork, releaseReservation} from './attemptWork.js';
import {takeRetryCharge} from './callCharges.js';
import {listSharedPartIds} from './crashHandlers.js';
import {endExhaustedCall} from './refuseCall.js';
import {
	type AttemptPlan, type KvCacheHandle, planAttempt, planHandover, type Refusal,
} from './planAttempt.js';
import {hasEarlierEvents} from './streamContinuity.js';
import {type ServingEffect} from './servingMessages.js';
import {type ServingCall, type ServingState} from './servingState.js';
import {CONFIRMATION_BUDGET_SHARE, findClosedEnd, isCloseDoubtful} from './streamEnds.js';
import {findRefusedNumber, hasConsecutiveEvents} from './streamForms.js';

/** Remaining time of a call below which no attempt is sent. */
const MIN_REMAINING_MS = 20;
/** Fixed part of the wait for the first bytes after which a target counts as unresponsive. Longer than any call of a plain service. */
const RESPONSE_MARGIN_MS = 600;
/** Factor by which the expected time to the first bytes is multiplied in the same wait. */
const RESPONSE_WAIT_FACTOR = 2;
/** Last value on a target's priority scale, which begins at zero. */
const MAX_PRIORITY = 9;

/** The effects that send an attempt, or why none can be sent. */
export type NextAttempt
	= | {readonly isSent: true; readonly effects: readonly ServingEffect[]}
		| {readonly isSent: false; readonly code: ErrorCode; readonly refusal: Refusal | undefined};

/** Options of {@link planNextAttempt}. */
export type NextAttemptOptions = {
	readonly nowMs: number;
	/** KV cache of the prompt, after a disaggregated prefill. */
	readonly handle?: KvCacheHandle | undefined;
};

/**
 * Plans the next attempt of a call, or ends the call.
 *
 * @param state - changed in place
 * @param call - changed in place
 * @returns the effects that send the attempt or end the call
 */
export function planNextAttempt(state: ServingState, call: ServingCall, {nowMs, handle}: NextAttemptOptions): readonly ServingEffect[] {
	const next = sendNextAttempt(state, call, {nowMs, handle});
	return next.isSent ? next.effects : [...endExhaustedCall(state, call, nowMs, next), ...releaseHandle(call, handle, nowMs)];
}

/**
 * Sends the next attempt of a call if one can be sent. Otherwise the call has only lost the slot that it had reserved.
 *
 * @param state - changed in place
 * @param call - changed in place
 */
export function sendNextAttempt(state: ServingState, call: ServingCall, options: NextAttemptOptions): NextAttempt {
	const retries: RetryCount = {taken: 0};
	const next = placeNextAttempt(state, call, options, retries);
	if (!next.isSent) {
		releaseReservation(state, call);
		state.retryBudget.release(call.serviceId, retries.taken);
	}

	return next;
}

/** Retries that a call has taken from the budget for its next attempt. */
type RetryCount = {taken: number};

function placeNextAttempt(state: ServingState, call: ServingCall, {nowMs, handle}: NextAttemptOptions, retries: RetryCount): NextAttempt {
	releaseReservation(state, call);
	// Before its first attempt, a call was checked at its arrival.
	if (call.attempt !== undefined && state.poisonParts.isQuarantined(listSharedPartIds(call.request), nowMs)) {
		return {isSent: false, code: ERROR_CODES.partQuarantined, refusal: undefined};
	}

	const isRetry = handle === undefined && (call.attemptCount > 0 || call.failedPrefillCount > 0);
	if (call.timeoutAtMs - nowMs < MIN_REMAINING_MS || (isRetry && !mayRetry(state, call, nowMs, retries))) {
		return {isSent: false, code: ERROR_CODES.noTarget, refusal: undefined};
	}

	const plan = handle === undefined ? planAttempt(state, call, nowMs) : planHandover(state, call, handle, nowMs);
	if (plan === undefined) {
		return {isSent: false, code: ERROR_CODES.noTarget, refusal: undefined};
	}

	if ('refusal' in plan) {
		return {isSent: false, code: plan.refusal, refusal: plan};
	}

	// After an attempt to decode, another prefill and the decode that follows it are two retries.
	if (call.attemptCount > 0 && plan.isPrefillOnly && !mayRetry(state, call, nowMs, retries)) {
		return {isSent: false, code: ERROR_CODES.noTarget, refusal: undefined};
	}

	const charge = takeRetryCharge(state, call, nowMs);
	if (charge !== undefined) {
		return {isSent: false, code: ERROR_CODES.allotmentUsed, refusal: charge};
	}

	return {isSent: true, effects: beginAttempt(state, call, plan, nowMs)};
}

/** Begins an attempt that is placed. Changes the call and its target in place. */
function beginAttempt(state: ServingState, call: ServingCall, plan: AttemptPlan, nowMs: number): readonly ServingEffect[] {
	state.lastAttemptId += 1;
	advanceRequest(call, {type: 'attempt'});
	// A disaggregated prefill and the decode that follows it count as one attempt.
	call.attemptCount += plan.isPrefillOnly ? 0 : 1;
	call.attempt = {
		attemptId: state.lastAttemptId,
		target: plan.target,
		softwareVersion: plan.target.record.softwareVersion,
		isPrefillOnly: plan.isPrefillOnly,
		queuedWork: {...plan.queuedWork},
		sentAtMs: nowMs,
		responseDueAtMs: nowMs + RESPONSE_MARGIN_MS + (RESPONSE_WAIT_FACTOR * plan.expectedFirstByteMs),
		firstBytesAtMs: undefined,
		expectation: plan.expectation,
		heldTokens: plan.expectation === undefined || call.request.prompt === undefined ? undefined : takeTokens(plan.target, countTokens(call.request.prompt)),
		isEnded: false,
	};
	takeShares(call, plan, nowMs);
	recordCustomerWork(state, call, plan, nowMs);
	recordChoice(state.evenness, state.placement, plan.target, nowMs);
	changeRunning(state.placement, plan.target, 1);
	addQueuedWork(plan.target, plan.queuedWork, 1);
	recordPrefixUses(state, call, plan);
	call.placementDetail ??= plan.detail;
	return [createSend(state, call, plan, nowMs), createSendRecord(state, call, plan), {type: 'work.report'}];
}

/** Creates the effect that sends the attempt of a call that has just been planned. */
function createSend(state: ServingState, call: ServingCall, plan: AttemptPlan, nowMs: number): ServingEffect {
	return {
		type: 'attempt.send',
		callId: call.callId,
		attemptId: state.lastAttemptId,
		target: plan.target.record,
		customerId: call.customerId,
		// A target takes a time that is not positive for no limit.
		remainingMs: Math.max(1, Math.floor(call.lastTimeoutAtMs - nowMs)),
		priority: plan.priority ?? toTargetPriority(state, call),
		isPrefillOnly: plan.isPrefillOnly,
		handle: plan.handle,
		fetchAddress: plan.cacheSource?.record.address,
		isResumable: call.route.isResumable,
		isTakeUp: hasEarlierEvents(call),
		isCloseDoubtful: isCloseDoubtful(state, call, plan.target),
		areEventsConsecutive: hasConsecutiveEvents(state, call.serviceId),
		refusedEventNumber: findRefusedNumber(call, plan.target),
	};
}

function createSendRecord({configuration}: ServingState, call: ServingCall, {target, isPrefillOnly, detail}: AttemptPlan): ServingEffect {
	return {
		type: 'decision.record',
		name: isPrefillOnly ? 'call.read' : 'call.sent',
		subject: call.request.requestId,
		detail: {
			route: call.route.name,
			deadlineMs: call.request.deadlineMs,
			spentMs: call.spentBeforeArrivalMs,
			target: target.record.targetId,
			softwareVersion: target.record.softwareVersion,
			resumes: call.request.resumes,
			attempt: call.attemptCount,
			version: configuration?.version,
			...detail,
		},
	};
}

/** Records the work of an attempt for its customer. The decode that follows a prefill elsewhere takes little of what is scarce. */
function recordCustomerWork({customerShares}: ServingState, {customerId}: ServingCall, {expectation}: AttemptPlan, nowMs: number): void {
	if (customerId !== undefined && expectation !== undefined && !expectation.isHandover) {
		customerShares.record(customerId, (expectation.unitPrefillMs * expectation.prefillFactor) + expectation.fixedMs, nowMs);
	}
}

/** Takes an attempt from the limits of its targets. A prefill also reserves the decode that follows it, for which it would be in vain without. */
function takeShares(call: ServingCall, {target, isPrefillOnly, handle}: AttemptPlan, nowMs: number): void {
	const isReserved = handle !== undefined && call.hasReservedShare && target === call.decodeTarget;
	call.hasReservedShare = isPrefillOnly;
	if (!isReserved) {
		takeLimitShare(target, nowMs);
	}

	if (isPrefillOnly && call.decodeTarget !== undefined) {
		takeLimitShare(call.decodeTarget, nowMs);
	}
}

/** Releases the KV cache of a prompt that no target takes over, unless the target that holds it takes no request now. The cache then expires. */
function releaseHandle({attempt}: ServingCall, handle: KvCacheHandle | undefined, nowMs: number): readonly ServingEffect[] {
	if (handle === undefined || attempt === undefined || nowMs < attempt.target.pausedUntilMs || !hasLimitRoom(attempt.target, nowMs)) {
		return [];
	}

	takeLimitShare(attempt.target, nowMs);
	return [{type: 'handle.free', target: attempt.target.record, handleId: handle.handleId}];
}

/** Returns whether the route and the retry budget allow another attempt. If so, takes one retry from the budget. */
function mayRetry(state: ServingState, call: ServingCall, nowMs: number, retries: RetryCount): boolean {
	const share = findClosedEnd(call) === undefined ? 1 : CONFIRMATION_BUDGET_SHARE;
	const isTaken = call.attemptCount < call.route.attemptLimit && state.retryBudget.take(call.serviceId, countEntries(state, nowMs), nowMs, share);
	retries.taken += isTaken ? 1 : 0;
	return isTaken;
}

function countEntries(state: ServingState, nowMs: number): number {
	const liveCount = [...state.placement.peers.values()].filter(({receivedAtMs}) => nowMs - receivedAtMs <= PEER_TIMEOUT_MS).length;
	// Peers that this entry cannot reach still spend from the same budget.
	return 1 + Math.max(liveCount, state.membership.peers.size);
}

function recordPrefixUses(state: ServingState, call: ServingCall, plan: AttemptPlan): void {
	const {prompt} = call.request;
	if (prompt === undefined) {
		return;
	}

	for (const {partId, tokens} of listSharedParts(prompt.parts)) {
		if (tokens >= state.placementSettings.longReadTokens) {
			state.placement.prefixLocations.recordUse(partId, plan.target.record.targetId, tokens);
			state.unreportedPrefixUses.push([partId, plan.target.record.targetId, tokens]);
		}
	}
}

function toTargetPriority(state: ServingState, call: ServingCall): number {
	return Math.min(MAX_PRIORITY, Math.max(0, call.route.priority * state.placementSettings.rankStep));
}
