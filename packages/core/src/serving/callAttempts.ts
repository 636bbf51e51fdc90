import {
	ERROR_CODES, type ErrorCode, type Outcome, OUTCOMES,
} from '@damaskspool/shared';
import {recordChoice} from '../placement/loadEvenness.js';
import {
	changeRunning, hasLimitRoom, listSharedParts, PEER_TIMEOUT_MS, type PlacedTarget, recordAnswer, recordFault, takeLimitShare,
} from '../placement/placementState.js';
import {countTokens, releaseTokens, takeTokens} from '../placement/targetRoom.js';
import {advanceRequest} from '../request/requestRecord.js';
import {releaseCharge, takeRetryCharge} from './callCharges.js';
import {listSharedPartIds} from './crashHandlers.js';
import {
	type AttemptPlan, DEFAULT_RETRY_AFTER_MS, type KvCacheHandle, NO_QUEUED_WORK, planAttempt, planHandover, type Refusal,
} from './planAttempt.js';
import {hasEarlierEvents} from './streamContinuity.js';
import {ATTEMPT_RESULTS, type AttemptResult, type ServingEffect} from './servingMessages.js';
import {type CallAttempt, type ServingCall, type ServingState} from './servingState.js';

/** Remaining time of a call below which no attempt is sent. */
const MIN_REMAINING_MS = 20;
/** Fixed part of the wait for the first bytes after which a target counts as unresponsive. Longer than any call of a plain service. */
const RESPONSE_MARGIN_MS = 600;
/** Factor by which the expected time to the first bytes is multiplied in the same wait. */
const RESPONSE_WAIT_FACTOR = 2;
/** Last value on a target's priority scale, which begins at zero. */
const MAX_PRIORITY = 9;

/**
 * Plans the next attempt of a call, or refuses the call.
 *
 * @param state - changed in place
 * @param call - changed in place
 * @param handle - KV cache of the prompt, after a disaggregated prefill
 * @param hasRun - whether the call is known to have run, so that a refusal does not claim the opposite
 * @returns the effects that send the attempt or refuse the call
 */
// eslint-disable-next-line max-params
export function planNextAttempt(state: ServingState, call: ServingCall, nowMs: number, handle?: KvCacheHandle, hasRun = false): readonly ServingEffect[] {
	releaseReservation(state, call);
	// Before its first attempt, a call was checked at its arrival.
	if (call.attempt !== undefined && state.poisonParts.isQuarantined(listSharedPartIds(call.request), nowMs)) {
		return [...refuseExhaustedCall(state, call, nowMs, {code: ERROR_CODES.partQuarantined, hasRun}), ...releaseHandle(call, handle, nowMs)];
	}

	const remainingMs = call.timeoutAtMs - nowMs;
	const isRetry = handle === undefined && (call.attemptCount > 0 || call.failedPrefillCount > 0);
	if (remainingMs < MIN_REMAINING_MS || (isRetry && !mayRetry(state, call, nowMs))) {
		return refuseExhaustedCall(state, call, nowMs, {code: ERROR_CODES.noTarget, hasRun});
	}

	const plan = handle === undefined ? planAttempt(state, call, nowMs) : planHandover(state, call, handle, nowMs);
	// After an attempt to decode, another prefill and the decode that follows it are two retries.
	const isSecondRetryNeeded = call.attemptCount > 0 && plan !== undefined && 'isPrefillOnly' in plan && plan.isPrefillOnly;
	if (isSecondRetryNeeded && !mayRetry(state, call, nowMs)) {
		releaseReservation(state, call);
		return refuseExhaustedCall(state, call, nowMs, {code: ERROR_CODES.noTarget, hasRun});
	}

	if (plan === undefined || 'refusal' in plan) {
		return [
			...refuseExhaustedCall(state, call, nowMs, {code: plan?.refusal ?? ERROR_CODES.noTarget, hasRun, refusal: plan}),
			...releaseHandle(call, handle, nowMs),
		];
	}

	const charge = takeRetryCharge(state, call, nowMs);
	if (charge !== undefined) {
		releaseReservation(state, call);
		return [...refuseExhaustedCall(state, call, nowMs, {code: ERROR_CODES.allotmentUsed, hasRun, refusal: charge}), ...releaseHandle(call, handle, nowMs)];
	}

	state.lastAttemptId += 1;
	const attemptId = state.lastAttemptId;
	advanceRequest(call, {type: 'attempt'});
	// A disaggregated prefill and the decode that follows it count as one attempt.
	call.attemptCount += plan.isPrefillOnly ? 0 : 1;
	call.attempt = {
		attemptId,
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
	return [
		{
			type: 'attempt.send',
			callId: call.callId,
			attemptId,
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
			isCloseDoubtful: call.route.isResumable && state.servicesWithDelimitedStreams.has(call.serviceId),
		},
		{
			type: 'decision.record',
			name: plan.isPrefillOnly ? 'call.read' : 'call.sent',
			subject: call.request.requestId,
			detail: {
				route: call.route.name,
				deadlineMs: call.request.deadlineMs,
				spentMs: call.spentBeforeArrivalMs,
				target: plan.target.record.targetId,
				softwareVersion: plan.target.record.softwareVersion,
				resumes: call.request.resumes,
				attempt: call.attemptCount,
				version: state.configuration?.version,
				...plan.detail,
			},
		},
		{type: 'work.report'},
	];
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

/** Returns whether the route and the retry budget allow another attempt. If so, takes one retry from the budget. */
function mayRetry(state: ServingState, call: ServingCall, nowMs: number): boolean {
	return call.attemptCount < call.route.attemptLimit
		&& state.retryBudget.take(call.serviceId, countEntries(state, nowMs), nowMs);
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

function addQueuedWork({localWork}: PlacedTarget, {prefillMs, urgentPrefillMs, copyMs}: CallAttempt['queuedWork'], sign: 1 | -1): void {
	localWork.prefillMs = Math.max(0, localWork.prefillMs + (sign * prefillMs));
	localWork.urgentPrefillMs = Math.max(0, localWork.urgentPrefillMs + (sign * urgentPrefillMs));
	localWork.copyMs = Math.max(0, localWork.copyMs + (sign * copyMs));
}

/** Subtracts the queued work of an attempt from its target, once. */
function releaseQueuedWork(attempt: CallAttempt): void {
	addQueuedWork(attempt.target, attempt.queuedWork, -1);
	attempt.queuedWork = {...NO_QUEUED_WORK};
}

/** Results that count as a failure of the target. */
const TARGET_FAULTS: ReadonlySet<AttemptResult> = new Set([ATTEMPT_RESULTS.unreached, ATTEMPT_RESULTS.unknown, ATTEMPT_RESULTS.failed]);

/** Results that prove that the target did not run the request. */
const NOT_RUN_RESULTS: ReadonlySet<AttemptResult> = new Set([ATTEMPT_RESULTS.notRun, ATTEMPT_RESULTS.unreached]);

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

/** Why no further attempt is made. */
type ExhaustedEnd = {readonly code: ErrorCode; readonly hasRun: boolean; readonly refusal?: Refusal | undefined};

/** Refuses a call for which no further attempt is made. The outcome is "not run" only if no attempt can have run. */
function refuseExhaustedCall(state: ServingState, call: ServingCall, nowMs: number, end: ExhaustedEnd): readonly ServingEffect[] {
	const {code, hasRun, refusal} = end;
	releaseCharge(state, call, nowMs);
	const retryAfterMs = refusal?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
	const next = advanceRequest(call, {type: 'exhaust'});
	state.calls.delete(call.callId);
	releaseHandover(call);
	const isNotRun = next === 'refusedNotRun' && !hasRun && !call.isUsageCounted;
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
