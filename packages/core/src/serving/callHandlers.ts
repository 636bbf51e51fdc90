import {ERROR_CODES, type ErrorCode, OUTCOMES} from '@damaskspool/shared';
import {type HandlerTable} from '../reducer/createReducer.js';
import {advanceRequest, createRequestSnapshot} from '../request/requestRecord.js';
import {
	beginAttempt, countServed, endAttemptWork, planNextAttempt, refuseCall, releaseReservation,
} from './callAttempts.js';
import {resolveServingRoute, pickService} from './resolveServingRoute.js';
import {
	ATTEMPT_RESULTS, type CallRecord, type ServingEffect, type ServingEvent,
} from './servingMessages.js';
import {ROUTE_KINDS, type RouteRecord, type ServingConfiguration} from './servingRecords.js';
import {type ServingCall, type ServingState} from './servingState.js';

/** Handlers of a call from its arrival to its end. */
export const callHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	'call.arrived'(state, event) {
		const {callId, call, nowMs, waitedMs} = event;
		const resolved = resolveCall(state, call, nowMs);
		if (typeof resolved === 'string') {
			return [{
				type: 'call.refuse', callId, code: resolved, outcome: OUTCOMES.refusedNotRun, retryAfterMs: undefined,
			}, {
				type: 'decision.record', name: 'call.rejected', subject: call.requestId, detail: {code: resolved, version: state.configuration?.version},
			}];
		}

		const {route, serviceId, customerId} = resolved;
		const isRepeatable = route.kind === ROUTE_KINDS.safe || route.isResumable;
		const served: ServingCall = {
			callId,
			call,
			route,
			serviceId,
			customerId,
			arrivedAtMs: nowMs - waitedMs,
			spentMs: recordDeadline(state, route, call),
			deadlineAtMs: nowMs - waitedMs + call.deadlineMs,
			timeoutAtMs: nowMs - waitedMs + Math.min(call.deadlineMs, route.timeoutMs),
			snapshot: createRequestSnapshot(isRepeatable),
			attempt: undefined,
			attempts: 0,
			excluded: new Set(),
			generator: undefined,
			isReserved: false,
			isCounted: false,
			beganAtMs: undefined,
			plan: undefined,
			isStarted: false,
		};
		state.calls.set(callId, served);
		state.budget.recordRequest(serviceId, nowMs);
		return [
			{type: 'call.limit', callId, afterMs: Math.max(0, served.timeoutAtMs - nowMs)},
			...planNextAttempt(state, served, nowMs),
		];
	},
	'call.left'(state, {callId, nowMs}) {
		const served = state.calls.get(callId);
		if (served === undefined) {
			return [];
		}

		advanceRequest(served, {type: 'abandon'});
		return endCall(state, served, {nowMs, outcome: 'left'});
	},
	'call.expired'(state, {callId, nowMs}) {
		const served = state.calls.get(callId);
		if (served === undefined) {
			return [];
		}

		const effects = endCall(state, served, {nowMs, outcome: 'expired'});
		return [...effects, refuseCall(served, ERROR_CODES.deadlineExceeded, OUTCOMES.refusedUnknown)];
	},
	'attempt.began'(state, {callId, attemptId, nowMs, wallMs}) {
		const served = state.calls.get(callId);
		const attempt = served?.attempt;
		if (served === undefined || attempt?.attemptId !== attemptId || attempt.isBegun) {
			return [];
		}

		beginAttempt(state, served, {nowMs, wallMs});
		served.isStarted = true;
		served.beganAtMs ??= nowMs;
		advanceRequest(served, {type: 'answer'});
		return [{type: 'work.tell'}];
	},
	'attempt.readEnded'(state, {callId, attemptId, handleId, result, nowMs}) {
		const served = state.calls.get(callId);
		const attempt = served?.attempt;
		if (served === undefined || attempt?.attemptId !== attemptId) {
			// The caller left meanwhile: nobody takes the cache over.
			return [];
		}

		endAttemptWork(state, served, {result, nowMs});
		if (handleId === undefined) {
			if (result === ATTEMPT_RESULTS.unknown) {
				recordBreak(state, served, nowMs);
			}

			served.excluded.add(attempt.target.record.targetId);
			advanceRequest(served, {type: 'failNotRun'});
			return planNextAttempt(state, served, nowMs);
		}

		advanceRequest(served, {type: 'failNotRun'});
		return planNextAttempt(state, served, nowMs, {address: attempt.target.record.address, handleId});
	},
	'attempt.ended'(state, event) {
		const served = state.calls.get(event.callId);
		const attempt = served?.attempt;
		if (served === undefined || attempt?.attemptId !== event.attemptId) {
			return [];
		}

		const {nowMs, wallMs, result} = event;
		if (event.hasRun || result === ATTEMPT_RESULTS.unknown) {
			countServed(state, served, wallMs);
		}

		endAttemptWork(state, served, {result, nowMs});
		return settleAttempt[result](state, served, event);
	},
};

/** Share of a route's longest deadline that callers set who ask for the first time; theirs differ by 15 in 100 in recorded traffic. */
const FIRST_DEADLINE_SHARE = 0.82;

type AttemptEnded = Extract<ServingEvent, {type: 'attempt.ended'}>;
type SettleAttempt = (state: ServingState, served: ServingCall, event: AttemptEnded) => readonly ServingEffect[];

/** What follows from the end of an attempt, by how it ended. */
const settleAttempt: Readonly<Record<AttemptEnded['result'], SettleAttempt>> = {
	answered(state, served, {nowMs}) {
		state.suspicions.recordAnswer(served.call.fingerprint);
		advanceRequest(served, {type: 'finish'});
		return endCall(state, served, {nowMs, outcome: 'answered'});
	},
	notRun(state, served, {nowMs, detail}) {
		return repeatNotRun(state, served, {nowMs, detail});
	},
	unreached(state, served, {nowMs, detail}) {
		return repeatNotRun(state, served, {nowMs, detail});
	},
	unknown(state, served, {nowMs, detail}) {
		recordBreak(state, served, nowMs);
		served.excluded.add(served.attempt?.target.record.targetId ?? '');
		const next = advanceRequest(served, {type: 'failUnknown'});
		if (next === 'retrying') {
			return [createAttemptRecord(served, 'unknown', detail), ...planNextAttempt(state, served, nowMs)];
		}

		return [
			createAttemptRecord(served, 'unknown', detail),
			...endCall(state, served, {nowMs, outcome: 'unknown'}),
			refuseCall(served, ERROR_CODES.targetFailed, OUTCOMES.refusedUnknown),
		];
	},
	failed(state, served, {nowMs, detail, attemptId}) {
		const {callId} = served;
		served.excluded.add(served.attempt?.target.record.targetId ?? '');
		const repeats = served.route.kind === ROUTE_KINDS.safe && !served.isStarted
			? planNextAttempt(state, served, nowMs, undefined, true)
			: undefined;
		if (repeats?.some(({type}) => type === 'attempt.send')) {
			return [createAttemptRecord(served, 'failed', detail), ...repeats];
		}

		return [
			createAttemptRecord(served, 'failed', detail),
			...endCall(state, served, {nowMs, outcome: 'failed'}),
			{type: 'attempt.passOn', callId, attemptId},
		];
	},
	cancelled: () => [],
};

function repeatNotRun(state: ServingState, served: ServingCall, {nowMs, detail}: {nowMs: number; detail: string}): readonly ServingEffect[] {
	served.excluded.add(served.attempt?.target.record.targetId ?? '');
	advanceRequest(served, {type: 'failNotRun'});
	return [createAttemptRecord(served, 'notRun', detail), ...planNextAttempt(state, served, nowMs)];
}

function recordBreak({suspicions}: ServingState, {attempt, call}: ServingCall, nowMs: number): void {
	if (attempt !== undefined) {
		suspicions.recordCrash(call.fingerprint, attempt.target.record.targetId, nowMs);
	}
}

function createAttemptRecord({call, attempt}: ServingCall, result: string, detail: string): ServingEffect {
	return {
		type: 'decision.record', name: 'attempt.ended', subject: call.requestId, detail: {result, detail, target: attempt?.target.record.targetId},
	};
}

function endCall(state: ServingState, served: ServingCall, {nowMs, outcome}: {nowMs: number; outcome: string}): readonly ServingEffect[] {
	const {attempt, callId, call} = served;
	state.calls.delete(callId);
	releaseReservation(state, served);
	const effects: ServingEffect[] = [{
		type: 'decision.record',
		name: 'call.ended',
		subject: call.requestId,
		detail: {
			outcome, route: served.route.name, target: attempt?.target.record.targetId, attempts: served.attempts, tookMs: Math.round(nowMs - served.arrivedAtMs), beganMs: served.beganAtMs === undefined ? undefined : Math.round(served.beganAtMs - served.arrivedAtMs), plan: served.plan,
		},
	}];
	if (attempt !== undefined && !attempt.isEnded) {
		endAttemptWork(state, served, {result: 'cancelled', nowMs});
		effects.push({type: 'attempt.cancel', callId, attemptId: attempt.attemptId});
	}

	return [...effects, {type: 'work.tell'}];
}

/**
 * Keeps the longest deadline seen on a route, and estimates how much of a
 * request's time was spent before: none, unless its deadline is shorter than
 * those of callers that ask for the first time.
 */
function recordDeadline({deadlinesByRoute}: ServingState, {name}: RouteRecord, {deadlineMs}: CallRecord): number {
	const longestMs = Math.max(deadlinesByRoute.get(name) ?? 0, deadlineMs);
	deadlinesByRoute.set(name, longestMs);
	return deadlineMs >= longestMs * FIRST_DEADLINE_SHARE ? 0 : longestMs - deadlineMs;
}

type ResolvedCall = {readonly route: RouteRecord; readonly serviceId: string; readonly customerId: string | undefined};

function resolveCall(state: ServingState, call: CallRecord, nowMs: number): ResolvedCall | ErrorCode {
	const {configuration} = state;
	if (configuration === undefined || !state.hasTargets) {
		return ERROR_CODES.notReady;
	}

	const route = resolveServingRoute(configuration, call.host, call.path);
	if (route === undefined) {
		return ERROR_CODES.routeUnknown;
	}

	const owner = findOwner(configuration, call);
	if (owner === undefined && !route.isOpen && configuration.ownersByKey !== undefined) {
		return call.key === undefined ? ERROR_CODES.keyMissing : ERROR_CODES.keyUnknown;
	}

	if (state.suspicions.isQuarantined(call.fingerprint, nowMs)) {
		return ERROR_CODES.quarantined;
	}

	const serviceId = pickService(route.shares, call.requestId);
	return serviceId === undefined ? ERROR_CODES.noTarget : {route, serviceId, customerId: owner?.customerId};
}

function findOwner({ownersByKey}: ServingConfiguration, {key}: CallRecord) {
	return key === undefined ? undefined : ownersByKey?.get(key);
}
