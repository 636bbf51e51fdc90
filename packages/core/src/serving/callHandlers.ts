import {ERROR_CODES, type ErrorCode, OUTCOMES} from '@damaskspool/shared';
import {type HandlerTable} from '../reducer/createReducer.js';
import {listServiceTargets} from '../placement/placementState.js';
import {advanceRequest, createRequestSnapshot} from '../request/requestRecord.js';
import {
	countUsage, endAttempt, recordFirstBytes, releaseHandover,
} from './attemptWork.js';
import {planNextAttempt, sendNextAttempt} from './callAttempts.js';
import {takeCharge} from './callCharges.js';
import {clearSuspicion, listSharedPartIds, suspectCrash} from './crashHandlers.js';
import {
	findStreamVersion, isResumption, recordStreamVersion, toStreamRequestId,
} from './streamContinuity.js';
import {completeClosedCall, CONFIRMATION_ENDS, endCall} from './endCall.js';
import {refuseArrival} from './refuseArrival.js';
import {createRefusal} from './refuseCall.js';
import {resolveServingRoute, pickService} from './resolveServingRoute.js';
import {
	ATTEMPT_RESULTS, type CallRequest, type ServingEffect, type ServingEvent,
} from './servingMessages.js';
import {ROUTE_KINDS, type RouteRecord, type ServingConfiguration} from './servingRecords.js';
import {type ServingCall, type ServingState} from './servingState.js';
import {recordAttemptSpeed} from './speedUpdates.js';
import {mayEndInTime} from './stopHandlers.js';
import {
	beginConfirmation, beginRest, recordStreamEnd,
} from './streamEnds.js';
import {recordStreamForm} from './streamForms.js';
import {type CallArrived, holdTakeUp, mayConfirmVersion} from './streamTakeUps.js';

/** Handlers of the events of a call, from its arrival to its end. */
export const callHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	'call.arrived': (state, event) => beginCall(state, event),
	'call.disconnected'(state, {callId, nowMs}) {
		const call = state.calls.get(callId);
		if (call === undefined) {
			return [];
		}

		advanceRequest(call, {type: 'abandon'});
		return endCall(state, call, {nowMs, outcome: 'left'});
	},
	'call.expired'(state, {callId, nowMs}) {
		const call = state.calls.get(callId);
		if (call === undefined) {
			return [];
		}

		// A caller that has part of its answer takes an earlier end for a broken one.
		if (call.isResponseStarted && nowMs < call.lastTimeoutAtMs) {
			return [{type: 'call.startTimeout', callId, afterMs: call.lastTimeoutAtMs - nowMs}];
		}

		return completeClosedCall(state, call, {nowMs, confirmation: CONFIRMATION_ENDS.expired}) ?? [
			...endCall(state, call, {nowMs, outcome: 'expired'}),
			createRefusal(call, ERROR_CODES.deadlineExceeded, OUTCOMES.refusedUnknown),
		];
	},
	'attempt.began'(state, {callId, attemptId, nowMs, wallMs}) {
		const call = state.calls.get(callId);
		const attempt = call?.attempt;
		if (call === undefined || attempt?.attemptId !== attemptId || attempt.firstBytesAtMs !== undefined) {
			return [];
		}

		recordAttemptSpeed(state, call, {nowMs});
		releaseHandover(call);
		recordFirstBytes(state, call, {nowMs, wallMs});
		call.isResponseStarted = true;
		beginRest(call);
		call.firstByteAtMs ??= nowMs;
		recordStreamVersion(state, call, nowMs);
		advanceRequest(call, {type: 'answer'});
		return [{type: 'work.report'}];
	},
	'attempt.prefillEnded'(state, {callId, attemptId, handleId, result, nowMs}) {
		const call = state.calls.get(callId);
		const attempt = call?.attempt;
		if (call === undefined || attempt?.attemptId !== attemptId) {
			// The call has ended, for instance because its caller disconnected, so no target fetches the KV cache.
			return [];
		}

		if (handleId !== undefined) {
			recordAttemptSpeed(state, call, {nowMs});
			call.handedOverTokens = attempt.heldTokens;
			attempt.heldTokens = undefined;
		}

		endAttempt(state, call, {result, nowMs});
		if (handleId === undefined) {
			if (result === ATTEMPT_RESULTS.unknown) {
				recordCrash(state, call, nowMs);
			}

			call.failedPrefillCount += 1;
			call.excludedTargetIds.add(attempt.target.record.targetId);
			advanceRequest(call, {type: 'failNotRun'});
			return planNextAttempt(state, call, {nowMs});
		}

		advanceRequest(call, {type: 'failNotRun'});
		return planNextAttempt(state, call, {nowMs, handle: {address: attempt.target.record.address, handleId}});
	},
	'attempt.ended'(state, event) {
		const call = state.calls.get(event.callId);
		const attempt = call?.attempt;
		if (call === undefined || attempt?.attemptId !== event.attemptId) {
			return [];
		}

		const {nowMs, wallMs, result} = event;
		if (event.hasRun || result === ATTEMPT_RESULTS.unknown) {
			countUsage(state, call, wallMs);
		}

		endAttempt(state, call, {result, nowMs});
		return [...recordStreamForm(state, call, event), ...attemptEndHandlers[result](state, call, event)];
	},
};

/**
 * Share of a route's longest deadline below which a deadline cannot belong to a first request.
 * Deadlines of first requests differ by 15% in recorded traffic.
 */
const FIRST_REQUEST_DEADLINE_SHARE = 0.82;

/**
 * Begins a call: places its first attempt, holds it until the store has told which versions serve, or rejects it.
 *
 * @param isVersionConfirmed - whether the store was read since the call arrived
 */
export function beginCall(state: ServingState, event: CallArrived, isVersionConfirmed = false): readonly ServingEffect[] {
	const {callId, request, nowMs, waitedMs, completeForMs} = event;
	const resolved = resolveCall(state, request, {nowMs, isVersionConfirmed});
	if (resolved === TAKE_UP_HELD) {
		return holdTakeUp(state, event);
	}

	if (typeof resolved === 'string') {
		return refuseArrival(state, event, resolved);
	}

	const {route, serviceId, customerId, streamVersion} = resolved;
	const timeoutMs = Math.min(request.deadlineMs, route.timeoutMs);
	const lastTimeoutAtMs = nowMs - completeForMs + timeoutMs;
	if (!mayEndInTime(state, lastTimeoutAtMs)) {
		return refuseArrival(state, event, ERROR_CODES.leaving);
	}

	const charge = takeCharge(state, {customerId, prompt: request.prompt}, nowMs);
	if (!charge.isAdmitted) {
		return [{
			type: 'call.refuse', callId, code: ERROR_CODES.allotmentUsed, outcome: OUTCOMES.refusedNotRun, retryAfterMs: charge.retryAfterMs,
		}, {
			type: 'decision.record', name: 'call.rejected', subject: request.requestId, detail: {
				code: ERROR_CODES.allotmentUsed, version: state.configuration?.version, retryAfterMs: charge.retryAfterMs, ...charge.detail,
			},
		}, {type: 'work.report'}];
	}

	const isRetryable = route.kind === ROUTE_KINDS.safe || route.isResumable;
	const call: ServingCall = {
		callId,
		request,
		route,
		serviceId,
		customerId,
		arrivedAtMs: nowMs - waitedMs,
		spentBeforeArrivalMs: recordDeadline(state, route, request),
		deadlineAtMs: nowMs - waitedMs + request.deadlineMs,
		timeoutAtMs: nowMs - waitedMs + timeoutMs,
		lastTimeoutAtMs,
		waitedMs,
		snapshot: createRequestSnapshot(isRetryable),
		attempt: undefined,
		attemptCount: 0,
		failedPrefillCount: 0,
		excludedTargetIds: listCrashedTargets(state, request.fingerprint, {serviceId, nowMs}),
		streamVersion,
		decodeTarget: undefined,
		handoverCopyMs: 0,
		hasReservedSlot: false,
		hasReservedShare: false,
		reservedTokens: undefined,
		handedOverTokens: undefined,
		isUsageCounted: false,
		openCharge: charge.cost,
		firstByteAtMs: undefined,
		placementDetail: undefined,
		measurements: [],
		isResponseStarted: false,
		closedEnd: undefined,
	};
	state.calls.set(callId, call);
	state.retryBudget.recordRequest(serviceId, nowMs);
	return [
		{type: 'call.startTimeout', callId, afterMs: Math.max(0, call.timeoutAtMs - nowMs)},
		...planNextAttempt(state, call, {nowMs}),
	];
}

type AttemptEnded = Extract<ServingEvent, {type: 'attempt.ended'}>;
type AttemptEndHandler = (state: ServingState, call: ServingCall, event: AttemptEnded) => readonly ServingEffect[];

/** Handlers of the end of an attempt, by its result. */
const attemptEndHandlers: Readonly<Record<AttemptEnded['result'], AttemptEndHandler>> = {
	answered(state, call, event) {
		const {nowMs} = event;
		if (call.route.kind === ROUTE_KINDS.stream) {
			recordStreamEnd(state, call, event);
		}

		advanceRequest(call, {type: 'finish'});
		return [...clearSuspicion(state, call, nowMs), ...endCall(state, call, {nowMs, outcome: 'answered', answer: event})];
	},
	notRun(state, call, event) {
		return retryNotRun(state, call, event);
	},
	unreached(state, call, event) {
		return retryNotRun(state, call, event);
	},
	unknown(state, call, event) {
		const {nowMs} = event;
		recordCrash(state, call, nowMs);
		const probeEffects = suspectCrash(state, call, nowMs);
		call.excludedTargetIds.add(call.attempt?.target.record.targetId ?? '');
		const next = advanceRequest(call, {type: 'failUnknown'});
		if (next === 'retrying') {
			return [createAttemptRecord(call, 'unknown', event), ...probeEffects, ...planNextAttempt(state, call, {nowMs})];
		}

		return [
			createAttemptRecord(call, 'unknown', event),
			...probeEffects,
			...endCall(state, call, {nowMs, outcome: 'unknown'}),
			createRefusal(call, ERROR_CODES.targetFailed, OUTCOMES.refusedUnknown),
		];
	},
	closed(state, call, event) {
		call.excludedTargetIds.add(call.attempt?.target.record.targetId ?? '');
		advanceRequest(call, {type: 'failUnknown'});
		beginConfirmation(call, event, event.nowMs);
		return [createAttemptRecord(call, 'closed', event), ...planNextAttempt(state, call, event)];
	},
	failed(state, call, event) {
		const {callId} = call;
		const {nowMs, attemptId, isResponseStarted} = event;
		call.excludedTargetIds.add(call.attempt?.target.record.targetId ?? '');
		// The failure of a target cannot be forwarded to a caller that has events of the stream already.
		const isStreamBroken = call.route.isResumable && isResponseStarted;
		if (isStreamBroken) {
			advanceRequest(call, {type: 'failUnknown'});
		}

		const isRetryable = isStreamBroken || (call.route.kind === ROUTE_KINDS.safe && !call.isResponseStarted);
		const next = isRetryable ? sendNextAttempt(state, call, {nowMs}) : undefined;
		if (next?.isSent === true) {
			return [createAttemptRecord(call, 'failed', event), ...next.effects];
		}

		const completed = completeClosedCall(state, call, {nowMs, confirmation: CONFIRMATION_ENDS.failed});
		if (completed !== undefined) {
			return [createAttemptRecord(call, 'failed', event), ...completed];
		}

		return [
			createAttemptRecord(call, 'failed', event),
			...endCall(state, call, {nowMs, outcome: 'failed'}),
			{type: 'attempt.forward', callId, attemptId},
		];
	},
	cancelled: () => [],
};

function retryNotRun(state: ServingState, call: ServingCall, event: AttemptEnded): readonly ServingEffect[] {
	call.excludedTargetIds.add(call.attempt?.target.record.targetId ?? '');
	advanceRequest(call, {type: 'failNotRun'});
	return [createAttemptRecord(call, 'notRun', event), ...planNextAttempt(state, call, {nowMs: event.nowMs})];
}

/**
 * Lists the targets of a service that crashed while they ran the same request before. The list is empty if no other
 * target would remain.
 */
function listCrashedTargets({poisonRequests, placement}: ServingState, fingerprint: string, {serviceId, nowMs}: {serviceId: string; nowMs: number}): Set<string> {
	const crashed = new Set(poisonRequests.listCrashedTargets(fingerprint, nowMs));
	const hasOthers = crashed.size > 0 && listServiceTargets(placement, serviceId).some(({record}) => !record.isLeaving && !crashed.has(record.targetId));
	return hasOthers ? crashed : new Set();
}

function recordCrash({poisonRequests}: ServingState, {attempt, request}: ServingCall, nowMs: number): void {
	if (attempt !== undefined) {
		poisonRequests.recordCrash(request.fingerprint, attempt.target.record.targetId, nowMs);
	}
}

function createAttemptRecord({request, attempt}: ServingCall, result: string, {detail, framing, closeSigns, lastEventId}: AttemptEnded): ServingEffect {
	return {
		type: 'decision.record', name: 'attempt.ended', subject: request.requestId, detail: {
			result, detail, target: attempt?.target.record.targetId, framing, closeSigns, lastEventId, ...(result === ATTEMPT_RESULTS.unknown && {parts: listSharedPartIds(request)}),
		},
	};
}

/**
 * Records the longest deadline seen on a route, and estimates how much time the
 * caller spent on the same request before. The estimate is zero unless the
 * deadline is shorter than the deadline of any first request.
 */
function recordDeadline({maxDeadlineMsByRoute}: ServingState, {name}: RouteRecord, {deadlineMs}: CallRequest): number {
	const maxDeadlineMs = Math.max(maxDeadlineMsByRoute.get(name) ?? 0, deadlineMs);
	maxDeadlineMsByRoute.set(name, maxDeadlineMs);
	return deadlineMs >= maxDeadlineMs * FIRST_REQUEST_DEADLINE_SHARE ? 0 : maxDeadlineMs - deadlineMs;
}

type ResolvedCall = {readonly route: RouteRecord; readonly serviceId: string; readonly customerId: string | undefined; readonly streamVersion: string | undefined};

/** Stands for a request that takes up a stream, while the store is asked which versions serve. */
const TAKE_UP_HELD = 'takeUpHeld';

function resolveCall(state: ServingState, request: CallRequest, {nowMs, isVersionConfirmed}: {nowMs: number; isVersionConfirmed: boolean}): ResolvedCall | ErrorCode | typeof TAKE_UP_HELD {
	const {configuration} = state;
	if (configuration === undefined || !state.hasTargets) {
		return ERROR_CODES.notReady;
	}

	const route = resolveServingRoute(configuration, request.host, request.path);
	if (route === undefined) {
		return ERROR_CODES.routeUnknown;
	}

	const keyOwner = findKeyOwner(configuration, request);
	if (keyOwner === undefined && !route.isOpen && configuration.ownersByKey !== undefined) {
		return request.key === undefined ? ERROR_CODES.keyMissing : ERROR_CODES.keyUnknown;
	}

	if (state.poisonRequests.isQuarantined(request.fingerprint, nowMs)) {
		return ERROR_CODES.quarantined;
	}

	if (state.poisonParts.isQuarantined(listSharedPartIds(request), nowMs)) {
		return ERROR_CODES.partQuarantined;
	}

	// A stream that is taken up stays with its service.
	const serviceId = pickService(route.shares, toStreamRequestId(request));
	if (serviceId === undefined) {
		return ERROR_CODES.noTarget;
	}

	const streamVersion = findStreamVersion(state, {request, route, serviceId}, {nowMs, isConfirmed: isVersionConfirmed});
	if (isResumption(request, route) && streamVersion === undefined) {
		return !isVersionConfirmed && mayConfirmVersion(state, serviceId, nowMs) ? TAKE_UP_HELD : ERROR_CODES.streamVersionUnknown;
	}

	return {
		route, serviceId, customerId: keyOwner?.customerId, streamVersion,
	};
}

/** Finds the customer of a key. An empty key stands for malformed credentials and belongs to nobody, even if a customer lists it. */
function findKeyOwner({ownersByKey}: ServingConfiguration, {key}: CallRequest) {
	return key === undefined || key === '' ? undefined : ownersByKey?.get(key);
}
