import {
	createFailure, ERROR_CODES, type Failure, OUTCOMES,
} from '@damaskspool/shared';
import {requestClaim, createClaim, settleClaim} from '../claims/claimedRequest.js';
import {mergeLoadReport, recordTargetFailure, recordTargetSuccess} from '../membership/membershipState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {takeRetry, recordSuccess} from '../retries/retryBudget.js';
import {isUnresponsive, recordTick} from '../retries/retryState.js';
import {recordRampAnswer, recordRampFailure} from '../retries/targetRamps.js';
import {recordChoice} from '../routing/chooseTarget.js';
import {admitRequest} from './admitRequest.js';
import {type RequestMachineState} from './requestMachine.js';
import {
	advanceRequest, type Attempt, createRequestRecord, type RequestRecord,
} from './requestRecord.js';
import {selectTarget} from './selectTarget.js';

/** Maximum number of attempts of one request, even if the retry budget would permit more. */
const MAX_ATTEMPTS = 4;
/** Delay after which a caller may retry a refused request. The backoff of a target that failed once is shorter. */
const RETRY_AFTER_MS = 1000;

/** Handlers that drive a request through its lifecycle at the entry. */
export const requestHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'request.received'(state, {attributes, nowMs}) {
		const admission = admitRequest(state, attributes, nowMs);
		if ('code' in admission) {
			return [{type: 'request.refuse', requestId: attributes.requestId, failure: admission}];
		}

		const record = createRequestRecord({attributes, nowMs, ...admission});
		state.requests.set(attributes.requestId, record);
		const claim = createClaim(record);
		return claim === undefined ? sendNextAttempt(state, record, nowMs, undefined) : requestClaim(state, claim);
	},

	'claim.decided'(state, {requestId, record: claim, verdict, nowMs}) {
		const record = state.requests.get(requestId);
		if (record === undefined || record.claim !== undefined) {
			// The request ended before the claim was decided, and no attempt of it ran.
			return record === undefined && verdict.type !== 'duplicate' ? settleClaim(state, claim, 'released') : [];
		}

		if (verdict.type === 'granted') {
			record.claim = claim;
			return sendNextAttempt(state, record, nowMs, undefined);
		}

		if (verdict.type === 'answered') {
			advanceRequest(record, {type: 'replay'});
			state.requests.delete(requestId);
			return [{type: 'request.replay', requestId, answer: verdict.answer}];
		}

		const isDuplicate = verdict.type === 'duplicate';
		const requestState = advanceRequest(record, {type: isDuplicate ? 'duplicate' : 'exhaust'});
		const code = isDuplicate ? ERROR_CODES.duplicateCall : ERROR_CODES.storeUnavailable;
		return [
			// An owner that did not reply may still have recorded the claim.
			...isDuplicate ? [] : settleClaim(state, claim, 'released'),
			...closeRequest(state, record, requestState, createFailure(code, {retryAfterMs: RETRY_AFTER_MS})),
		];
	},

	'attempt.answered'(state, event) {
		const found = findAttempt(state, event);
		if (event.load !== undefined) {
			mergeLoadReport(state.membership, event.load, event.nowMs);
		}

		if (found === undefined) {
			return [];
		}

		releasePromptTokens(state, found.record, found.attempt);
		found.attempt.isAnswered = true;
		recordRampAnswer(state.retries.ramps, found.attempt.targetId);
		advanceRequest(found.record, {type: 'answer'});
		return [];
	},

	'attempt.finished'(state, event) {
		const found = findAttempt(state, event);
		if (found === undefined) {
			return [];
		}

		endAttempt(state, found.record);
		const target = state.membership.targets.get(found.attempt.targetId);
		if (target !== undefined) {
			recordTargetSuccess(target);
		}

		recordSuccess(state.retries.budgets, found.record.service.serviceId, event.nowMs);
		const requestState = advanceRequest(found.record, {type: 'finish'});
		return closeRequest(state, found.record, requestState, undefined);
	},

	'attempt.failed'(state, event) {
		if (event.load !== undefined) {
			mergeLoadReport(state.membership, event.load, event.nowMs);
		}

		const found = findAttempt(state, event);
		if (found === undefined) {
			return [];
		}

		return failAttempt(state, found.record, event);
	},

	'caller.disconnected'(state, {requestId}) {
		const record = state.requests.get(requestId);
		// A request with a claim continues if a target may be running it, so that a later duplicate receives its response.
		if (record === undefined || (record.claim !== undefined && record.attempt !== undefined)) {
			return [];
		}

		const effects = cancelAttempt(state, record);
		advanceRequest(record, {type: 'abandon'});
		state.requests.delete(requestId);
		return effects;
	},

	tick(state, {nowMs}) {
		recordTick(state.retries, nowMs);
		const records = [...state.requests.values()];
		const expired = records.filter(record => record.deadlineAtMs <= nowMs);
		const unresponsive = records.filter(record => record.deadlineAtMs > nowMs && isAttemptUnresponsive(state, record, nowMs));
		return [
			...expired.flatMap(record => expireRequest(state, record)),
			...unresponsive.flatMap(record => cancelUnresponsiveAttempt(state, record, nowMs)),
		];
	},

	'stop.requested'(state) {
		state.isStopping = true;
		return [];
	},
};

/** Failure of an attempt and the time at which it occurred. */
type AttemptFailure = {
	readonly failure: Failure;
	readonly isTargetFault: boolean;
	readonly nowMs: number;
};

/** Ends the current attempt, then sends the next one or refuses the request. */
function failAttempt(state: EntryState, record: RequestRecord, {failure, isTargetFault, nowMs}: AttemptFailure): readonly EntryEffect[] {
	const targetId = record.attempt?.targetId ?? '';
	endAttempt(state, record);
	const target = state.membership.targets.get(targetId);
	if (target !== undefined && isTargetFault) {
		recordTargetFailure(target, nowMs);
		recordRampFailure(state.retries.ramps, targetId);
	}

	const type = failure.outcome === OUTCOMES.refusedNotRun ? 'failNotRun' : 'failUnknown';
	const requestState = advanceRequest(record, {type});
	return requestState === 'choosing' || requestState === 'retrying'
		? sendNextAttempt(state, record, nowMs, failure)
		: closeRequest(state, record, requestState, failure);
}

/**
 * Checks whether the current attempt of a repeatable request should be cancelled
 * because its sidecar is unresponsive. A request that is not repeatable keeps
 * waiting, because it could not be sent to another target anyway.
 */
function isAttemptUnresponsive(state: EntryState, {attempt, route}: RequestRecord, nowMs: number): boolean {
	const target = attempt === undefined ? undefined : state.membership.targets.get(attempt.targetId);
	if (attempt === undefined || target?.load === undefined || !route.repeatable) {
		return false;
	}

	return isUnresponsive(state.retries, Math.max(target.loadAtMs, attempt.sentAtMs), nowMs);
}

/** Cancels the current attempt because its sidecar is unresponsive, then sends the next one or refuses the request. */
function cancelUnresponsiveAttempt(state: EntryState, record: RequestRecord, nowMs: number): readonly EntryEffect[] {
	const {attempt, attributes: {requestId}} = record;
	if (attempt === undefined) {
		return [];
	}

	const failure = createFailure(ERROR_CODES.targetUnreachable, {outcome: OUTCOMES.refusedUnknown, detail: 'its sidecar is silent'});
	return [
		{type: 'attempt.cancel', requestId, attemptId: attempt.attemptId},
		...failAttempt(state, record, {failure, isTargetFault: true, nowMs}),
	];
}

/** Refuses a request whose deadline has passed. Cancels its current attempt without waiting for the result, so the attempt may have run. */
function expireRequest(state: EntryState, record: RequestRecord): readonly EntryEffect[] {
	const {requestId} = record.attributes;
	const effects = cancelAttempt(state, record);
	const isNotRun = record.snapshot.value === 'choosing';
	const outcome = isNotRun ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown;
	state.requests.delete(requestId);
	return [
		...effects,
		...isNotRun ? settleClaim(state, record.claim, 'released') : [],
		{type: 'request.refuse', requestId, failure: createFailure(ERROR_CODES.deadlineExceeded, {outcome})},
	];
}

/** Sends the next attempt of a request in state `choosing` or `retrying`, or refuses the request if no further attempt is possible. */
function sendNextAttempt(
	state: EntryState,
	record: RequestRecord,
	nowMs: number,
	lastFailure: Failure | undefined,
): readonly EntryEffect[] {
	const {attributes, service} = record;
	const {requestId} = attributes;
	const mayAttempt = record.attemptCount < MAX_ATTEMPTS && nowMs < record.deadlineAtMs;
	const selected = mayAttempt ? selectTarget(state, record, nowMs) : undefined;
	const isRetry = record.attemptCount > 0;
	if (selected === undefined || (isRetry && !takeRetry(state.retries.budgets, service.serviceId, nowMs))) {
		const requestState = advanceRequest(record, {type: 'exhaust'});
		const failure = lastFailure ?? createFailure(ERROR_CODES.noTarget);
		return closeRequest(state, record, requestState, {retryAfterMs: RETRY_AFTER_MS, ...failure});
	}

	const {target, demand} = selected;
	record.attemptCount += 1;
	const attemptId = `${requestId}.${record.attemptCount}`;
	const prefillTokens = recordChoice({
		...state, requestId, attemptId, target, demand, nowMs,
	});
	record.attempt = {
		attemptId, targetId: target.targetId, sentAtMs: nowMs, isAnswered: false,
	};
	record.triedTargetIds.add(target.targetId);
	target.inFlight += 1;
	target.inFlightPromptTokens += attributes.promptTokens;
	advanceRequest(record, {type: 'attempt'});
	return [{
		type: 'attempt.send',
		requestId,
		attemptId,
		targetId: target.targetId,
		address: target.address,
		customerId: record.customerId,
		weight: state.configuration.customers.get(record.customerId)?.weight ?? 1,
		serviceId: service.serviceId,
		prefillTokens,
		remainingMs: record.deadlineAtMs - nowMs,
	}];
}

/** Finds the current attempt to which an event refers. Returns undefined if the event belongs to an earlier attempt. */
function findAttempt(
	state: EntryState,
	event: {readonly requestId: string; readonly attemptId: string},
): {record: RequestRecord; attempt: Attempt} | undefined {
	const record = state.requests.get(event.requestId);
	const attempt = record?.attempt;
	if (record === undefined || attempt?.attemptId !== event.attemptId) {
		return undefined;
	}

	return {record, attempt};
}

/** Subtracts the prompt tokens of an attempt from its target's count unless the attempt was already answered. */
function releasePromptTokens(state: EntryState, record: RequestRecord, attempt: Attempt): void {
	const target = state.membership.targets.get(attempt.targetId);
	if (target !== undefined && !attempt.isAnswered) {
		target.inFlightPromptTokens -= record.attributes.promptTokens;
	}
}

function endAttempt(state: EntryState, record: RequestRecord): void {
	const {attempt} = record;
	if (attempt === undefined) {
		return;
	}

	releasePromptTokens(state, record, attempt);
	const target = state.membership.targets.get(attempt.targetId);
	if (target !== undefined) {
		target.inFlight -= 1;
	}

	record.attempt = undefined;
}

function cancelAttempt(state: EntryState, record: RequestRecord): readonly EntryEffect[] {
	const {attempt, attributes} = record;
	endAttempt(state, record);
	return attempt === undefined
		? []
		: [{type: 'attempt.cancel', requestId: attributes.requestId, attemptId: attempt.attemptId}];
}

/** Effects that report the result to the caller, by the final state of the request. */
const CLOSING_EFFECTS: Readonly<Partial<Record<RequestMachineState, (requestId: string, failure: Failure) => readonly EntryEffect[]>>> = {
	answered: requestId => [{type: 'request.complete', requestId}],
	refusedNotRun: (requestId, failure) => [{
		type: 'request.refuse',
		requestId,
		failure: {...failure, outcome: OUTCOMES.refusedNotRun},
	}],
	refusedUnknown: (requestId, failure) => [{
		type: 'request.refuse',
		requestId,
		failure: {...failure, outcome: OUTCOMES.refusedUnknown},
	}],
};

/** Status with which a claim is settled, by the final state of its request. In other states, the claim is not settled. */
const SETTLED_CLAIM_STATUSES: Readonly<Partial<Record<RequestMachineState, 'released' | 'finished'>>> = {
	answered: 'finished',
	refusedNotRun: 'released',
};

function closeRequest(
	state: EntryState,
	record: RequestRecord,
	requestState: RequestMachineState,
	failure: Failure | undefined,
): readonly EntryEffect[] {
	const {requestId} = record.attributes;
	const claimStatus = SETTLED_CLAIM_STATUSES[requestState];
	state.requests.delete(requestId);
	return [
		...claimStatus === undefined ? [] : settleClaim(state, record.claim, claimStatus),
		...CLOSING_EFFECTS[requestState]?.(requestId, failure ?? createFailure(ERROR_CODES.internal)) ?? [],
	];
}
