import {
	ERROR_CODES, type ErrorCode, type Outcome, OUTCOMES,
} from '@damaskspool/shared';
import {placeCall} from '../placement/placeCall.js';
import {type GenerationPlan, placeGeneration} from '../placement/placeGeneration.js';
import {
	listSharedParts, PEER_SILENCE_MS, type PlacedTarget, recordAnswer, recordFault,
} from '../placement/placementState.js';
import {HASH_RANGE, hashIdentifier} from '../routing/rendezvous.js';
import {advanceRequest} from '../request/requestRecord.js';
import {ATTEMPT_RESULTS, type AttemptResult, type ServingEffect} from './servingMessages.js';
import {STAGES, type EngineRecord} from './servingRecords.js';
import {type CallAttempt, type ServingCall, type ServingState} from './servingState.js';

/** KV cache of a prompt that was read apart. */
export type ReadHandle = {readonly address: string; readonly handleId: string};

type AttemptPlan = {
	readonly target: PlacedTarget;
	readonly isRead: boolean;
	readonly counted: CallAttempt['counted'];
	readonly handle: ReadHandle | undefined;
	readonly source: PlacedTarget | undefined;
	/** Time expected until the first bytes. */
	readonly startMs: number;
	readonly detail: Readonly<Record<string, unknown>>;
};

/** Least time left with which an attempt is worth sending. */
const LEAST_LEFT_MS = 20;
/** Time beyond what was expected after which a target that told nothing at all is taken as silent: longer than any call of a plain service. */
const SILENCE_MS = 600;
/** Expected times to the first bytes that are waited besides. */
const SILENCE_FACTOR = 2;
/** Wait told with a refusal that no estimate stands behind. */
const DEFAULT_RETRY_AFTER_MS = 500;
/** Work of an attempt that reads no prompt. */
const NOTHING_READ = {readMs: 0, shortReadMs: 0, copyMs: 0} as const;
/** Last rank that a target knows. */
const RANK_LIMIT = 9;

/**
 * Plans the next attempt of a call, or its refusal.
 *
 * @param state - state of the entry, changed
 * @param served - the call, changed
 * @param nowMs - present time
 * @param handle - KV cache of its prompt, where that was read apart
 * @param isKnownRun - the call has run, so a refusal may not say otherwise
 * @returns the effects that send or refuse it
 */
// eslint-disable-next-line max-params
export function planNextAttempt(state: ServingState, served: ServingCall, nowMs: number, handle?: ReadHandle, isKnownRun = false): readonly ServingEffect[] {
	releaseReservation(state, served);
	const leftMs = served.timeoutAtMs - nowMs;
	const isRepeat = served.attempts > 0 && handle === undefined;
	if (leftMs < LEAST_LEFT_MS || (isRepeat && !mayRepeat(state, served, nowMs))) {
		return exhaustCall(state, served, ERROR_CODES.noTarget, isKnownRun);
	}

	const plan = handle === undefined ? planAttempt(state, served, nowMs) : planTakeOver(state, served, handle, nowMs);
	if (plan === undefined || 'refusal' in plan) {
		return [
			...exhaustCall(state, served, plan?.refusal ?? ERROR_CODES.noTarget, isKnownRun, plan),
			...(handle === undefined ? [] : [{type: 'handle.free', ...handle} as const]),
		];
	}

	state.attemptCount += 1;
	const attemptId = state.attemptCount;
	advanceRequest(served, {type: 'attempt'});
	// Taking a read prompt over is not another attempt: the read before it was not counted.
	served.attempts += plan.isRead ? 0 : 1;
	served.attempt = {
		attemptId, target: plan.target, isRead: plan.isRead, counted: {...plan.counted}, sentAtMs: nowMs, silentAtMs: nowMs + SILENCE_MS + (SILENCE_FACTOR * plan.startMs), isBegun: false, isEnded: false,
	};
	plan.target.own.running += 1;
	countWork(plan.target, plan.counted, 1);
	rememberPrefix(state, served, plan);
	served.plan ??= plan.detail;
	return [
		{
			type: 'attempt.send',
			callId: served.callId,
			attemptId,
			target: plan.target.record,
			customerId: served.customerId,
			leftMs: Math.floor(leftMs),
			priority: toRank(state, served),
			isRead: plan.isRead,
			handle: plan.handle,
			fetchAddress: plan.source?.record.address,
			isResumable: served.route.isResumable,
		},
		{
			type: 'decision.record',
			name: plan.isRead ? 'call.read' : 'call.sent',
			subject: served.call.requestId,
			detail: {
				route: served.route.name, deadlineMs: served.call.deadlineMs, spentMs: served.spentMs, target: plan.target.record.targetId, attempt: served.attempts, version: state.configuration?.version, ...plan.detail,
			},
		},
		{type: 'work.tell'},
	];
}

/**
 * Frees the slot that a call holds at the target which is to generate its answer.
 *
 * @param state - state of the entry
 * @param served - the call, changed
 */
export function releaseReservation(state: ServingState, served: ServingCall): void {
	if (served.isReserved && served.generator !== undefined) {
		served.generator.own.running = Math.max(0, served.generator.own.running - state.placementSettings.reservedSlotShare);
	}

	served.isReserved = false;
}

function mayRepeat(state: ServingState, served: ServingCall, nowMs: number): boolean {
	return served.attempts < served.route.attemptLimit
		&& state.budget.take(served.serviceId, countEntries(state, nowMs), nowMs);
}

function countEntries(state: ServingState, nowMs: number): number {
	const live = [...state.placement.peers.values()].filter(({atMs}) => nowMs - atMs <= PEER_SILENCE_MS).length;
	// Peers that are cut off from this entry still spend from the same budget.
	return 1 + Math.max(live, state.membership.peers.size);
}

type Refusal = {readonly refusal: ErrorCode; readonly retryAfterMs: number | undefined; readonly detail?: Readonly<Record<string, unknown>>};

function planAttempt(state: ServingState, served: ServingCall, nowMs: number): AttemptPlan | Refusal | undefined {
	const engine = state.configuration?.services.get(served.serviceId)?.engine;
	return engine !== undefined && served.call.prompt !== undefined
		? planGeneration(state, served, engine, nowMs)
		: planCall(state, served, nowMs);
}

function planCall(state: ServingState, served: ServingCall, nowMs: number): AttemptPlan | Refusal {
	const plan = placeCall({
		state: state.placement, serviceId: served.serviceId, excluded: served.excluded, nowMs,
	});
	return plan === undefined
		? {refusal: ERROR_CODES.noTarget, retryAfterMs: DEFAULT_RETRY_AFTER_MS}
		: {
			target: plan.target, isRead: false, counted: NOTHING_READ, handle: undefined, source: undefined, startMs: 0, detail: {running: plan.running},
		};
}

function planGeneration(state: ServingState, served: ServingCall, engine: EngineRecord, nowMs: number): AttemptPlan | Refusal | undefined {
	const {placement, placementSettings} = state;
	const goalLeftMs = served.arrivedAtMs + served.route.goalMs - served.spentMs - nowMs;
	const plan = placeGeneration({
		state: placement,
		demand: {
			serviceId: served.serviceId,
			prompt: served.call.prompt!,
			bodyBytes: served.call.bodyBytes,
			goalLeftMs,
			excluded: served.excluded,
		},
		engine,
		settings: placementSettings,
		nowMs,
	});
	if (plan === undefined) {
		return {refusal: ERROR_CODES.noTarget, retryAfterMs: computeReturnWait(state, served, nowMs)};
	}

	const refuseAboveMs = served.route.goalMs * placementSettings.refuseAtGoals;
	if (plan.startMs - plan.readMs > refuseAboveMs) {
		return {refusal: ERROR_CODES.queueFull, retryAfterMs: computeReturnWait(state, served, nowMs), detail: {...describePlan(plan), refuseAboveMs}};
	}

	served.generator = plan.reader === undefined ? undefined : plan.target;
	if (served.generator !== undefined) {
		served.generator.own.running += state.placementSettings.reservedSlotShare;
		served.isReserved = true;
	}

	return {
		target: plan.reader ?? plan.target,
		isRead: plan.reader !== undefined,
		counted: {readMs: plan.readMs, shortReadMs: plan.isLong ? 0 : plan.readMs, copyMs: plan.copyMs},
		handle: undefined,
		source: plan.source,
		startMs: plan.startMs,
		detail: describePlan(plan),
	};
}

/** Wait until a refused caller is best served: past the present swing, and spread by request. */
function computeReturnWait({placementSettings}: ServingState, {call, deadlineAtMs}: ServingCall, nowMs: number): number {
	const {returnShare, returnSpreadShare} = placementSettings;
	const spread = hashIdentifier(call.requestId) / HASH_RANGE;
	return Math.round((deadlineAtMs - nowMs) * (returnShare + (returnSpreadShare * spread)));
}

function describePlan({startMs, readMs, copyMs, backlogMs, cachedTokens, loss, source, reader, target}: GenerationPlan) {
	return {
		startMs: Math.round(startMs), backlogMs: Math.round(backlogMs), readMs: Math.round(readMs), copyMs: Math.round(copyMs), cachedTokens, loss: Number(loss.toFixed(3)), source: source?.record.targetId, generator: reader === undefined ? undefined : target.record.targetId,
	};
}

/** The target chosen before the read, or where that is gone another one. */
function planTakeOver(state: ServingState, served: ServingCall, handle: ReadHandle, nowMs: number): AttemptPlan | undefined {
	const {generator} = served;
	const isInUse = generator !== undefined && state.placement.targets.get(generator.record.targetId) === generator
		&& !generator.record.isLeaving && generator.record.stage !== STAGES.prefill;
	const target = isInUse ? generator : findGenerator(state, served, nowMs);
	return target === undefined
		? undefined
		: {
			target, isRead: false, counted: NOTHING_READ, handle, source: undefined, startMs: 0, detail: {tookOver: handle.handleId},
		};
}

function findGenerator(state: ServingState, served: ServingCall, nowMs: number): PlacedTarget | undefined {
	const readers = [...state.placement.targets.values()].filter(({record}) => record.stage === STAGES.prefill);
	const excluded = new Set([...served.excluded, ...readers.map(({record}) => record.targetId)]);
	return placeCall({
		state: state.placement, serviceId: served.serviceId, excluded, nowMs,
	})?.target;
}

function rememberPrefix(state: ServingState, served: ServingCall, plan: AttemptPlan): void {
	const {prompt} = served.call;
	if (prompt === undefined) {
		return;
	}

	for (const {partId, tokens} of listSharedParts(prompt.parts)) {
		if (tokens >= state.placementSettings.longReadTokens) {
			state.placement.homes.recordUse(partId, plan.target.record.targetId, tokens);
			state.untoldUses.push([partId, plan.target.record.targetId, tokens]);
		}
	}
}

function toRank(state: ServingState, served: ServingCall): number {
	return Math.min(RANK_LIMIT, Math.max(0, served.route.priority * state.placementSettings.rankStep));
}

/**
 * Records the first bytes of an answer: the prompt is read, and the request has begun to run.
 *
 * @param state - state of the entry, changed
 * @param served - the call, changed
 * @param times - present time by both clocks
 */
export function beginAttempt(state: ServingState, served: ServingCall, {nowMs, wallMs}: {nowMs: number; wallMs: number}): void {
	const attempt = served.attempt!;
	attempt.isBegun = true;
	releaseWork(attempt);
	recordAnswer(attempt.target, nowMs);
	countServed(state, served, wallMs);
}

/**
 * Counts a call as served to its customer, the first time that it is known to run.
 *
 * @param state - state of the entry, changed
 * @param served - the call, changed
 * @param wallMs - time of day of this instance
 */
export function countServed(state: ServingState, served: ServingCall, wallMs: number): void {
	if (!served.isCounted && served.customerId !== undefined) {
		state.usage.record(served.customerId, state.clock.toMedianTime(wallMs));
	}

	served.isCounted = true;
}

function countWork({own}: PlacedTarget, {readMs, shortReadMs, copyMs}: CallAttempt['counted'], sign: 1 | -1): void {
	own.readMs = Math.max(0, own.readMs + (sign * readMs));
	own.shortReadMs = Math.max(0, own.shortReadMs + (sign * shortReadMs));
	own.copyMs = Math.max(0, own.copyMs + (sign * copyMs));
}

function releaseWork(attempt: CallAttempt): void {
	countWork(attempt.target, attempt.counted, -1);
	attempt.counted = {...NOTHING_READ};
}

/** Results that speak against the target that gave them. */
const FAULTS: ReadonlySet<AttemptResult> = new Set([ATTEMPT_RESULTS.unreached, ATTEMPT_RESULTS.unknown, ATTEMPT_RESULTS.failed]);

/**
 * Takes the work of an attempt off its target, once.
 *
 * @param state - state of the entry, changed
 * @param served - the call, changed
 * @param end - how and when the attempt ended
 */
export function endAttemptWork(state: ServingState, served: ServingCall, {result, nowMs}: {result: AttemptResult; nowMs: number}): void {
	const {attempt} = served;
	if (attempt === undefined || attempt.isEnded) {
		return;
	}

	attempt.isEnded = true;
	const {own} = attempt.target;
	own.running = Math.max(0, own.running - 1);
	releaseWork(attempt);
	if (FAULTS.has(result)) {
		recordFault(attempt.target, nowMs);
	} else if (result === ATTEMPT_RESULTS.answered || result === ATTEMPT_RESULTS.notRun) {
		recordAnswer(attempt.target, nowMs);
	}
}

/** Ends a call that no further attempt is made for. */
// eslint-disable-next-line max-params
function exhaustCall(state: ServingState, served: ServingCall, code: ErrorCode, isKnownRun: boolean, refusal?: Refusal): readonly ServingEffect[] {
	const retryAfterMs = refusal?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
	const next = advanceRequest(served, {type: 'exhaust'});
	state.calls.delete(served.callId);
	const isNotRun = next === 'refusedNotRun' && !isKnownRun && !served.isCounted;
	return [
		refuseCall(served, isNotRun ? code : ERROR_CODES.targetFailed, isNotRun ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown, isNotRun ? retryAfterMs : undefined),
		{
			type: 'decision.record', name: 'call.refused', subject: served.call.requestId, detail: {
				code, isNotRun, retryAfterMs, route: served.route.name, attempts: served.attempts, version: state.configuration?.version, targets: state.placement.targets.size, peers: state.placement.peers.size, ...refusal?.detail,
			},
		},
	];
}

/**
 * Builds the effect that ends a call with an answer of the entry's own.
 *
 * @param served - the call
 * @param code - why
 * @param outcome - what is certain of its run
 * @param retryAfterMs - when to come back, where it has not run
 * @returns the effect
 */
export function refuseCall(served: ServingCall, code: ErrorCode, outcome: Outcome, retryAfterMs?: number): ServingEffect {
	return {
		type: 'call.refuse', callId: served.callId, code, outcome, retryAfterMs,
	};
}
