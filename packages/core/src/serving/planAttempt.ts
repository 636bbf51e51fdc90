/**
 * Places the attempts of calls: on which targets the next one goes, or why and until when a call is refused. It answers
 * the load of both kinds of services; the choice among targets is in the folder `placement`.
 */
import {ERROR_CODES, type ErrorCode} from '@damaskspool/shared';
import {computePrefillPriority} from '../placement/computePrefillPriority.js';
import {mayBeLate} from '../placement/mayBeLate.js';
import {placeCall} from '../placement/placeCall.js';
import {type GenerationPlan} from '../placement/generationPlan.js';
import {placeGeneration} from '../placement/placeGeneration.js';
import {type PlacementSettings} from '../placement/placementSettings.js';
import {
	changeRunning, computePauseMs, hasLimitRoom, isAvailable, listServiceTargets, type PlacedTarget, sumRunning, sumWork,
} from '../placement/placementState.js';
import {countTokens, hasTokenRoom, takeTokens} from '../placement/targetRoom.js';
import {
	estimateSpeed, hasLearnedSpeeds, resolveServiceSettings, type AttemptExpectation,
} from '../placement/targetSpeed.js';
import {type SpreadRank} from '../placement/spreadChoice.js';
import {HASH_RANGE, hashIdentifier} from '../routing/rendezvous.js';
import {computePatienceMs} from './computePatienceMs.js';
import {ROUTE_KINDS, STAGES, type EngineRecord} from './servingRecords.js';
import {type CallAttempt, type ServingCall, type ServingState} from './servingState.js';

/** Reference to the KV cache that a target holds after a disaggregated prefill. */
export type KvCacheHandle = {readonly address: string; readonly handleId: string};

/** An attempt that is placed on its targets, not sent yet. */
export type AttemptPlan = {
	readonly target: PlacedTarget;
	readonly isPrefillOnly: boolean;
	readonly queuedWork: CallAttempt['queuedWork'];
	readonly handle: KvCacheHandle | undefined;
	readonly cacheSource: PlacedTarget | undefined;
	readonly expectedFirstByteMs: number;
	/** Undefined where no speeds are learned. */
	readonly expectation: AttemptExpectation | undefined;
	/** Priority on the target's scale; if omitted, the priority of the route applies. */
	readonly priority?: number;
	readonly detail: Readonly<Record<string, unknown>>;
};

/** Retry-after of a refusal for which no estimate is available. */
export const DEFAULT_RETRY_AFTER_MS = 500;
/** Queued work of an attempt without prefill. */
export const NO_QUEUED_WORK = {prefillMs: 0, urgentPrefillMs: 0, copyMs: 0} as const;

/** Why a call cannot be placed, and when its caller may return. */
export type Refusal = {readonly refusal: ErrorCode; readonly retryAfterMs: number | undefined; readonly detail?: Readonly<Record<string, unknown>>};

/** Places the next attempt of a call that has no KV cache yet. */
export function planAttempt(state: ServingState, call: ServingCall, nowMs: number): AttemptPlan | Refusal | undefined {
	const engine = state.configuration?.services.get(call.serviceId)?.engine;
	return engine !== undefined && call.request.prompt !== undefined
		? planGeneration(state, call, engine, nowMs)
		: planCall(state, call, nowMs);
}

function planCall(state: ServingState, call: ServingCall, nowMs: number): AttemptPlan | Refusal {
	const plan = placeCall({
		state: state.placement, serviceId: call.serviceId, excludedTargetIds: listExcludedTargets(state, call), softwareVersion: call.streamVersion, nowMs,
	});
	if (plan === undefined) {
		return {refusal: ERROR_CODES.noTarget, retryAfterMs: computeReturnMs(state, call, nowMs) ?? DEFAULT_RETRY_AFTER_MS};
	}

	const {target, running, expectation} = plan;
	const expectedMs = expectation === undefined ? 0 : expectation.backlogMs + expectation.fixedMs;
	const detail = {running, ...(expectation !== undefined && {startMs: Math.round(expectedMs), backlogMs: Math.round(expectation.backlogMs)})};
	return expectation !== undefined && !isAcceptable(state, call, expectedMs, nowMs)
		? {refusal: ERROR_CODES.queueFull, retryAfterMs: computeRetryAfterMs(state, call, nowMs), detail: {...detail, goalRemainingMs: Math.round(computeGoalRemainingMs(call, nowMs))}}
		: {
			target,
			isPrefillOnly: false,
			queuedWork: NO_QUEUED_WORK,
			handle: undefined,
			cacheSource: undefined,
			expectedFirstByteMs: expectedMs,
			expectation,
			detail: {...detail, ...describeSpread(plan.spread)},
		};
}

function planGeneration(state: ServingState, call: ServingCall, engine: EngineRecord, nowMs: number): AttemptPlan | Refusal | undefined {
	const {placement, placementSettings} = state;
	const settings = resolveServiceSettings(placement, call.serviceId, placementSettings);
	const goalRemainingMs = computeGoalRemainingMs(call, nowMs);
	const plan = placeGeneration({
		state: placement,
		demand: {
			serviceId: call.serviceId,
			prompt: call.request.prompt!,
			bodyBytes: call.request.bodyBytes,
			goalRemainingMs,
			excludedTargetIds: listExcludedTargets(state, call),
			softwareVersion: call.streamVersion,
		},
		engine,
		settings,
		nowMs,
	});
	if (plan === undefined) {
		return {refusal: ERROR_CODES.noTarget, retryAfterMs: computeReturnMs(state, call, nowMs) ?? computeRetryAfterMs(state, call, nowMs)};
	}

	const refuseAboveMs = call.route.goalMs * pickRefusalGoals(call, placementSettings);
	const isLearned = hasLearnedSpeeds(placement, call.serviceId);
	const isAccepted = isLearned
		? isAcceptable(state, call, plan.expectedFirstEventMs, nowMs)
		: plan.expectedFirstEventMs - plan.prefillMs <= refuseAboveMs;
	if (!isAccepted) {
		return {refusal: ERROR_CODES.queueFull, retryAfterMs: computeRetryAfterMs(state, call, nowMs), detail: {...describePlan(plan), refuseAboveMs, goalRemainingMs: Math.round(goalRemainingMs)}};
	}

	call.decodeTarget = plan.prefillTarget === undefined ? undefined : plan.decodeTarget;
	call.handoverCopyMs = plan.handoverCopyMs;
	if (call.decodeTarget !== undefined) {
		changeRunning(placement, call.decodeTarget, placementSettings.reservedSlotShare);
		call.hasReservedSlot = true;
		call.reservedTokens = isLearned ? takeTokens(call.decodeTarget, countTokens(call.request.prompt!)) : undefined;
	}

	return {
		target: plan.prefillTarget ?? plan.decodeTarget,
		isPrefillOnly: plan.prefillTarget !== undefined,
		queuedWork: {prefillMs: plan.prefillMs, urgentPrefillMs: plan.urgentPrefillMs, copyMs: plan.copyMs},
		handle: undefined,
		cacheSource: plan.cacheSource,
		expectedFirstByteMs: plan.expectedFirstEventMs,
		expectation: isLearned ? {...plan.expectation, knownRunning: sumRunning(plan.prefillTarget ?? plan.decodeTarget, nowMs)} : undefined,
		...(plan.prefillTarget !== undefined && {priority: computePrefillPriority({goalRemainingMs, isTimely: plan.isTimely})}),
		detail: describePlan(plan),
	};
}

/** Lists the targets that a call must not go to: those that refused or failed it, and for a stream those whose software version is not stored yet. */
function listExcludedTargets({versionHistory: {heldTargetIds}}: ServingState, {route, excludedTargetIds}: ServingCall): ReadonlySet<string> {
	return heldTargetIds.size === 0 || route.kind !== ROUTE_KINDS.stream ? excludedTargetIds : new Set([...excludedTargetIds, ...heldTargetIds]);
}

function computeGoalRemainingMs({arrivedAtMs, route, spentBeforeArrivalMs}: ServingCall, nowMs: number): number {
	return arrivedAtMs + route.goalMs - spentBeforeArrivalMs - nowMs;
}

/** Returns whether a call of a service with learned speeds is taken although it may be late. */
function isAcceptable({customerShares}: ServingState, call: ServingCall, expectedMs: number, nowMs: number): boolean {
	const {route, customerId} = call;
	const timeoutRemainingMs = call.timeoutAtMs - nowMs;
	// Pauses count only between events.
	const patienceMs = computePatienceMs({goalMs: route.goalMs});
	return mayBeLate({
		expectedMs,
		goalRemainingMs: computeGoalRemainingMs(call, nowMs),
		patienceRemainingMs: route.kind === ROUTE_KINDS.stream ? Math.min(timeoutRemainingMs, call.arrivedAtMs + patienceMs - nowMs) : timeoutRemainingMs,
		hasWaitedBefore: call.spentBeforeArrivalMs > 0 || call.streamVersion !== undefined || call.attemptCount > 0,
		priority: route.priority,
		customerShare: customerId === undefined ? 1 : customerShares.compute(customerId, nowMs),
	});
}

/** Picks the multiple of the latency objective above which a wait is too long for a call. */
function pickRefusalGoals({streamVersion, spentBeforeArrivalMs}: ServingCall, {refuseAtGoals, refuseReturnedAtGoals, refuseResumedAtGoals}: PlacementSettings): number {
	if (streamVersion !== undefined) {
		return refuseResumedAtGoals;
	}

	return spentBeforeArrivalMs > 0 ? refuseReturnedAtGoals : refuseAtGoals;
}

/**
 * Computes the retry-after of a refused request. It is long enough for the current change of the traffic mix to pass,
 * and the jitter is derived from the request identifier.
 */
function computeRetryAfterMs({placementSettings}: ServingState, {request, deadlineAtMs}: ServingCall, nowMs: number): number {
	const {returnShare, returnSpreadShare} = placementSettings;
	const jitter = hashIdentifier(request.requestId) / HASH_RANGE;
	return Math.round((deadlineAtMs - nowMs) * (returnShare + (returnSpreadShare * jitter)));
}

/**
 * Computes the retry-after of a request for which no target has room because of pauses or limits. A limit has room for one
 * request at a time, so the callers that it turns away are spread.
 */
function computeReturnMs(state: ServingState, call: ServingCall, nowMs: number): number | undefined {
	const pauseMs = computePauseMs(state.placement, call.serviceId, nowMs);
	const isLimited = listServiceTargets(state.placement, call.serviceId).some(({limitShare}) => limitShare !== undefined);
	return isLimited ? Math.max(pauseMs ?? 0, computeRetryAfterMs(state, call, nowMs)) : pauseMs;
}

/** Describes the place of the chosen target among the candidates for the log, if choices are spread. */
function describeSpread(spread: SpreadRank | undefined) {
	return spread === undefined ? {} : {candidates: spread.candidateCount, rank: spread.rank};
}

/** Describes a plan for the log. The keys belong to the log format. */
function describePlan({
	expectedFirstEventMs, prefillMs, copyMs, backlogMs, cachedTokens, cost, cacheSource, prefillTarget, decodeTarget, expectation: {prefillFactor, workTime}, spread,
}: GenerationPlan) {
	return {
		startMs: Math.round(expectedFirstEventMs),
		backlogMs: Math.round(backlogMs),
		readMs: Math.round(prefillMs),
		copyMs: Math.round(copyMs),
		cachedTokens,
		loss: Number(cost.toFixed(3)),
		// Both are 1 where no speeds are learned.
		...(prefillFactor !== 1 && {prefillFactor: Number(prefillFactor.toFixed(2)), workTime: Number(workTime.toFixed(2))}),
		source: cacheSource?.record.targetId,
		generator: prefillTarget === undefined ? undefined : decodeTarget.record.targetId,
		...describeSpread(spread),
	};
}

/** Plans the decode after a disaggregated prefill, on the target chosen before the prefill or, if that is no longer available, on another one. */
export function planHandover(state: ServingState, call: ServingCall, handle: KvCacheHandle, nowMs: number): AttemptPlan | undefined {
	const {decodeTarget} = call;
	const isUsable = decodeTarget !== undefined && state.placement.targets.get(decodeTarget.record.targetId) === decodeTarget
		&& isAvailable(decodeTarget, nowMs) && (call.hasReservedShare || hasLimitRoom(decodeTarget, nowMs)) && decodeTarget.record.stage !== STAGES.prefill;
	const target = isUsable ? decodeTarget : findDecodeTarget(state, call, nowMs);
	return target === undefined
		? undefined
		: {
			target,
			isPrefillOnly: false,
			queuedWork: NO_QUEUED_WORK,
			handle,
			cacheSource: undefined,
			expectedFirstByteMs: 0,
			expectation: estimateHandover(state, call, target, nowMs),
			detail: {tookOver: handle.handleId},
		};
}

/** Describes what is expected of the target that takes over a prefilled prompt. The measured time tells nothing of its prefill speed. */
function estimateHandover({placement, placementSettings}: ServingState, {serviceId, handoverCopyMs}: ServingCall, target: PlacedTarget, nowMs: number): AttemptExpectation | undefined {
	return hasLearnedSpeeds(placement, serviceId)
		? {
			...estimateSpeed(placement, target, placementSettings, {nowMs, horizonMs: 0}), unitPrefillMs: 0, backlogMs: 0, otherMs: handoverCopyMs, isHandover: true,
		}
		: undefined;
}

function findDecodeTarget(state: ServingState, call: ServingCall, nowMs: number): PlacedTarget | undefined {
	const engine = state.configuration?.services.get(call.serviceId)?.engine;
	const isRoomCounted = engine !== undefined && hasLearnedSpeeds(state.placement, call.serviceId);
	const unsuitable = listServiceTargets(state.placement, call.serviceId).filter(target =>
		target.record.stage === STAGES.prefill || (isRoomCounted && !hasTokenRoom(sumWork(target, nowMs), call.request.prompt!, engine)));
	const excludedTargetIds = new Set([...listExcludedTargets(state, call), ...unsuitable.map(({record}) => record.targetId)]);
	return placeCall({
		state: state.placement, serviceId: call.serviceId, excludedTargetIds, softwareVersion: call.streamVersion, nowMs,
	})?.target;
}
