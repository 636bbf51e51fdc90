import {
	ERROR_CODES, type ErrorCode, type Outcome, OUTCOMES,
} from '@damaskspool/shared';
import {placeCall} from '../placement/placeCall.js';
import {type GenerationPlan, placeGeneration} from '../placement/placeGeneration.js';
import {
	listSharedParts, PEER_TIMEOUT_MS, type PlacedTarget, recordAnswer, recordFault,
} from '../placement/placementState.js';
import {HASH_RANGE, hashIdentifier} from '../routing/rendezvous.js';
import {advanceRequest} from '../request/requestRecord.js';
import {ATTEMPT_RESULTS, type AttemptResult, type ServingEffect} from './servingMessages.js';
import {STAGES, type EngineRecord} from './servingRecords.js';
import {type CallAttempt, type ServingCall, type ServingState} from './servingState.js';

/** KV cache of a prompt that was read apart. */
export type KvCacheHandle = {readonly address: string; readonly handleId: string};

type AttemptPlan = {
	readonly target: PlacedTarget;
	readonly isPrefillOnly: boolean;
	readonly queuedWork: CallAttempt['queuedWork'];
	readonly handle: KvCacheHandle | undefined;
	readonly cacheSource: PlacedTarget | undefined;
	/** Time expected until the first bytes. */
	readonly expectedFirstByteMs: number;
	readonly detail: Readonly<Record<string, unknown>>;
};

/** Least time left with which an attempt is worth sending. */
const MIN_REMAINING_MS = 20;
/** Time beyond what was expected after which a target that told nothing at all is taken as silent: longer than any call of a plain service. */
const RESPONSE_MARGIN_MS = 600;
/** Expected times to the first bytes that are waited besides. */
const RESPONSE_WAIT_FACTOR = 2;
/** Wait told with a refusal that no estimate stands behind. */
const DEFAULT_RETRY_AFTER_MS = 500;
/** Work of an attempt that reads no prompt. */
const NO_QUEUED_WORK = {prefillMs: 0, shortPrefillMs: 0, copyMs: 0} as const;
/** Last rank that a target knows. */
const MAX_PRIORITY = 9;

/**
 * Plans the next attempt of a call, or its refusal.
 *
 * @param state - state of the entry, changed
 * @param call - the call, changed
 * @param nowMs - present time
 * @param handle - KV cache of its prompt, where that was read apart
 * @param hasRun - the call has run, so a refusal may not say otherwise
 * @returns the effects that send or refuse it
 */
// eslint-disable-next-line max-params
export function planNextAttempt(state: ServingState, call: ServingCall, nowMs: number, handle?: KvCacheHandle, hasRun = false): readonly ServingEffect[] {
	releaseReservation(state, call);
	const remainingMs = call.timeoutAtMs - nowMs;
	const isRetry = call.attemptCount > 0 && handle === undefined;
	if (remainingMs < MIN_REMAINING_MS || (isRetry && !mayRetry(state, call, nowMs))) {
		return refuseExhaustedCall(state, call, ERROR_CODES.noTarget, hasRun);
	}

	const plan = handle === undefined ? planAttempt(state, call, nowMs) : planHandover(state, call, handle, nowMs);
	if (plan === undefined || 'refusal' in plan) {
		return [
			...refuseExhaustedCall(state, call, plan?.refusal ?? ERROR_CODES.noTarget, hasRun, plan),
			...(handle === undefined ? [] : [{type: 'handle.free', ...handle} as const]),
		];
	}

	state.lastAttemptId += 1;
	const attemptId = state.lastAttemptId;
	advanceRequest(call, {type: 'attempt'});
	// Taking a read prompt over is not another attempt: the read before it was not counted.
	call.attemptCount += plan.isPrefillOnly ? 0 : 1;
	call.attempt = {
		attemptId, target: plan.target, isPrefillOnly: plan.isPrefillOnly, queuedWork: {...plan.queuedWork}, sentAtMs: nowMs, responseDueAtMs: nowMs + RESPONSE_MARGIN_MS + (RESPONSE_WAIT_FACTOR * plan.expectedFirstByteMs), hasFirstBytes: false, isEnded: false,
	};
	plan.target.localWork.running += 1;
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
			remainingMs: Math.floor(remainingMs),
			priority: toTargetPriority(state, call),
			isPrefillOnly: plan.isPrefillOnly,
			handle: plan.handle,
			fetchAddress: plan.cacheSource?.record.address,
			isResumable: call.route.isResumable,
		},
		{
			type: 'decision.record',
			name: plan.isPrefillOnly ? 'call.read' : 'call.sent',
			subject: call.request.requestId,
			detail: {
				route: call.route.name, deadlineMs: call.request.deadlineMs, spentMs: call.spentBeforeArrivalMs, target: plan.target.record.targetId, attempt: call.attemptCount, version: state.configuration?.version, ...plan.detail,
			},
		},
		{type: 'work.tell'},
	];
}

/**
 * Frees the slot that a call holds at the target which is to generate its answer.
 *
 * @param state - state of the entry
 * @param call - the call, changed
 */
export function releaseReservation(state: ServingState, call: ServingCall): void {
	if (call.hasReservedSlot && call.decodeTarget !== undefined) {
		call.decodeTarget.localWork.running = Math.max(0, call.decodeTarget.localWork.running - state.placementSettings.reservedSlotShare);
	}

	call.hasReservedSlot = false;
}

function mayRetry(state: ServingState, call: ServingCall, nowMs: number): boolean {
	return call.attemptCount < call.route.attemptLimit
		&& state.retryBudget.take(call.serviceId, countEntries(state, nowMs), nowMs);
}

function countEntries(state: ServingState, nowMs: number): number {
	const liveCount = [...state.placement.peers.values()].filter(({receivedAtMs}) => nowMs - receivedAtMs <= PEER_TIMEOUT_MS).length;
	// Peers that are cut off from this entry still spend from the same budget.
	return 1 + Math.max(liveCount, state.membership.peers.size);
}

type Refusal = {readonly refusal: ErrorCode; readonly retryAfterMs: number | undefined; readonly detail?: Readonly<Record<string, unknown>>};

function planAttempt(state: ServingState, call: ServingCall, nowMs: number): AttemptPlan | Refusal | undefined {
	const engine = state.configuration?.services.get(call.serviceId)?.engine;
	return engine !== undefined && call.request.prompt !== undefined
		? planGeneration(state, call, engine, nowMs)
		: planCall(state, call, nowMs);
}

function planCall(state: ServingState, call: ServingCall, nowMs: number): AttemptPlan | Refusal {
	const plan = placeCall({
		state: state.placement, serviceId: call.serviceId, excludedTargetIds: call.excludedTargetIds, nowMs,
	});
	return plan === undefined
		? {refusal: ERROR_CODES.noTarget, retryAfterMs: DEFAULT_RETRY_AFTER_MS}
		: {
			target: plan.target, isPrefillOnly: false, queuedWork: NO_QUEUED_WORK, handle: undefined, cacheSource: undefined, expectedFirstByteMs: 0, detail: {running: plan.running},
		};
}

function planGeneration(state: ServingState, call: ServingCall, engine: EngineRecord, nowMs: number): AttemptPlan | Refusal | undefined {
	const {placement, placementSettings} = state;
	const goalRemainingMs = call.arrivedAtMs + call.route.goalMs - call.spentBeforeArrivalMs - nowMs;
	const plan = placeGeneration({
		state: placement,
		demand: {
			serviceId: call.serviceId,
			prompt: call.request.prompt!,
			bodyBytes: call.request.bodyBytes,
			goalRemainingMs,
			excludedTargetIds: call.excludedTargetIds,
		},
		engine,
		settings: placementSettings,
		nowMs,
	});
	if (plan === undefined) {
		return {refusal: ERROR_CODES.noTarget, retryAfterMs: computeRetryAfterMs(state, call, nowMs)};
	}

	const refuseAboveMs = call.route.goalMs * placementSettings.refuseAtGoals;
	if (plan.expectedFirstEventMs - plan.prefillMs > refuseAboveMs) {
		return {refusal: ERROR_CODES.queueFull, retryAfterMs: computeRetryAfterMs(state, call, nowMs), detail: {...describePlan(plan), refuseAboveMs}};
	}

	call.decodeTarget = plan.prefillTarget === undefined ? undefined : plan.decodeTarget;
	if (call.decodeTarget !== undefined) {
		call.decodeTarget.localWork.running += state.placementSettings.reservedSlotShare;
		call.hasReservedSlot = true;
	}

	return {
		target: plan.prefillTarget ?? plan.decodeTarget,
		isPrefillOnly: plan.prefillTarget !== undefined,
		queuedWork: {prefillMs: plan.prefillMs, shortPrefillMs: plan.isLong ? 0 : plan.prefillMs, copyMs: plan.copyMs},
		handle: undefined,
		cacheSource: plan.cacheSource,
		expectedFirstByteMs: plan.expectedFirstEventMs,
		detail: describePlan(plan),
	};
}

/** Wait until a refused caller is best served: past the present swing, and spread by request. */
function computeRetryAfterMs({placementSettings}: ServingState, {request, deadlineAtMs}: ServingCall, nowMs: number): number {
	const {returnShare, returnSpreadShare} = placementSettings;
	const jitter = hashIdentifier(request.requestId) / HASH_RANGE;
	return Math.round((deadlineAtMs - nowMs) * (returnShare + (returnSpreadShare * jitter)));
}

function describePlan({expectedFirstEventMs, prefillMs, copyMs, backlogMs, cachedTokens, cost, cacheSource, prefillTarget, decodeTarget}: GenerationPlan) {
	return {
		startMs: Math.round(expectedFirstEventMs), backlogMs: Math.round(backlogMs), readMs: Math.round(prefillMs), copyMs: Math.round(copyMs), cachedTokens, loss: Number(cost.toFixed(3)), source: cacheSource?.record.targetId, generator: prefillTarget === undefined ? undefined : decodeTarget.record.targetId,
	};
}

/** The target chosen before the read, or where that is gone another one. */
function planHandover(state: ServingState, call: ServingCall, handle: KvCacheHandle, nowMs: number): AttemptPlan | undefined {
	const {decodeTarget} = call;
	const isInUse = decodeTarget !== undefined && state.placement.targets.get(decodeTarget.record.targetId) === decodeTarget
		&& !decodeTarget.record.isLeaving && decodeTarget.record.stage !== STAGES.prefill;
	const target = isInUse ? decodeTarget : findDecodeTarget(state, call, nowMs);
	return target === undefined
		? undefined
		: {
			target, isPrefillOnly: false, queuedWork: NO_QUEUED_WORK, handle, cacheSource: undefined, expectedFirstByteMs: 0, detail: {tookOver: handle.handleId},
		};
}

function findDecodeTarget(state: ServingState, call: ServingCall, nowMs: number): PlacedTarget | undefined {
	const prefillTargets = [...state.placement.targets.values()].filter(({record}) => record.stage === STAGES.prefill);
	const excludedTargetIds = new Set([...call.excludedTargetIds, ...prefillTargets.map(({record}) => record.targetId)]);
	return placeCall({
		state: state.placement, serviceId: call.serviceId, excludedTargetIds, nowMs,
	})?.target;
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
 * Records the first bytes of an answer: the prompt is read, and the request has begun to run.
 *
 * @param state - state of the entry, changed
 * @param call - the call, changed
 * @param times - present time by both clocks
 */
export function recordFirstBytes(state: ServingState, call: ServingCall, {nowMs, wallMs}: {nowMs: number; wallMs: number}): void {
	const attempt = call.attempt!;
	attempt.hasFirstBytes = true;
	releaseQueuedWork(attempt);
	recordAnswer(attempt.target, nowMs);
	countUsage(state, call, wallMs);
}

/**
 * Counts a call as served to its customer, the first time that it is known to run.
 *
 * @param state - state of the entry, changed
 * @param call - the call, changed
 * @param wallMs - time of day of this instance
 */
export function countUsage(state: ServingState, call: ServingCall, wallMs: number): void {
	if (!call.isUsageCounted && call.customerId !== undefined) {
		state.usage.record(call.customerId, state.clock.toAgreed(wallMs));
	}

	call.isUsageCounted = true;
}

function addQueuedWork({localWork}: PlacedTarget, {prefillMs, shortPrefillMs, copyMs}: CallAttempt['queuedWork'], sign: 1 | -1): void {
	localWork.prefillMs = Math.max(0, localWork.prefillMs + (sign * prefillMs));
	localWork.shortPrefillMs = Math.max(0, localWork.shortPrefillMs + (sign * shortPrefillMs));
	localWork.copyMs = Math.max(0, localWork.copyMs + (sign * copyMs));
}

function releaseQueuedWork(attempt: CallAttempt): void {
	addQueuedWork(attempt.target, attempt.queuedWork, -1);
	attempt.queuedWork = {...NO_QUEUED_WORK};
}

/** Results that speak against the target that gave them. */
const TARGET_FAULTS: ReadonlySet<AttemptResult> = new Set([ATTEMPT_RESULTS.unreached, ATTEMPT_RESULTS.unknown, ATTEMPT_RESULTS.failed]);

/**
 * Takes the work of an attempt off its target, once.
 *
 * @param state - state of the entry, changed
 * @param call - the call, changed
 * @param end - how and when the attempt ended
 */
export function endAttempt(state: ServingState, call: ServingCall, {result, nowMs}: {result: AttemptResult; nowMs: number}): void {
	const {attempt} = call;
	if (attempt === undefined || attempt.isEnded) {
		return;
	}

	attempt.isEnded = true;
	const {localWork} = attempt.target;
	localWork.running = Math.max(0, localWork.running - 1);
	releaseQueuedWork(attempt);
	if (TARGET_FAULTS.has(result)) {
		recordFault(attempt.target, nowMs);
	} else if (result === ATTEMPT_RESULTS.answered || result === ATTEMPT_RESULTS.notRun) {
		recordAnswer(attempt.target, nowMs);
	}
}

/** Ends a call that no further attempt is made for. */
// eslint-disable-next-line max-params
function refuseExhaustedCall(state: ServingState, call: ServingCall, code: ErrorCode, hasRun: boolean, refusal?: Refusal): readonly ServingEffect[] {
	const retryAfterMs = refusal?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
	const next = advanceRequest(call, {type: 'exhaust'});
	state.calls.delete(call.callId);
	const isNotRun = next === 'refusedNotRun' && !hasRun && !call.isUsageCounted;
	return [
		createRefusal(call, isNotRun ? code : ERROR_CODES.targetFailed, isNotRun ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown, isNotRun ? retryAfterMs : undefined),
		{
			type: 'decision.record', name: 'call.refused', subject: call.request.requestId, detail: {
				code, isNotRun, retryAfterMs, route: call.route.name, attempts: call.attemptCount, version: state.configuration?.version, targets: state.placement.targets.size, peers: state.placement.peers.size, ...refusal?.detail,
			},
		},
	];
}

/**
 * Builds the effect that ends a call with an answer of the entry's own.
 *
 * @param call - the call
 * @param code - why
 * @param outcome - what is certain of its run
 * @param retryAfterMs - when to come back, where it has not run
 * @returns the effect
 */
export function createRefusal(call: ServingCall, code: ErrorCode, outcome: Outcome, retryAfterMs?: number): ServingEffect {
	return {
		type: 'call.refuse', callId: call.callId, code, outcome, retryAfterMs,
	};
}
