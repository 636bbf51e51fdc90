import {
	createFailure, ERROR_CODES, type Failure, OUTCOMES,
} from '@damaskspool/shared';
import {requestClaim, createClaim, settleClaim} from '../claims/claimedRequest.js';
import {mergeLoadReport, recordTargetFailure, recordTargetSuccess} from '../membership/membershipState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {applyRetry, recordSuccess} from '../retries/retryBudget.js';
import {isSilent, recordTick} from '../retries/retryState.js';
import {recordRampAnswer, recordRampFailure} from '../retries/targetRamps.js';
import {recordChoice} from '../routing/chooseTarget.js';
import {admitRequest} from './admitRequest.js';
import {type RequestMachineState} from './requestMachine.js';
import {
	advanceRequest, type Attempt, createRequestRecord, type RequestRecord,
} from './requestRecord.js';
import {selectTarget} from './selectTarget.js';

/** Most attempts of one request, whatever its budget. */
const ATTEMPT_LIMIT = 4;
/** Time after which a caller may try again what no target could take; failed targets are tried again sooner. */
const RETRY_AFTER_MS = 1000;

/** Handlers of a request's life at its entry. */
export const requestHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'request.received'(state, {facts, nowMs}) {
		const admission = admitRequest(state, facts, nowMs);
		if ('code' in admission) {
			return [{type: 'request.refuse', requestId: facts.requestId, failure: admission}];
		}

		const record = createRequestRecord({facts, nowMs, ...admission});
		state.requests.set(facts.requestId, record);
		const claim = createClaim(record);
		return claim === undefined ? sendNextAttempt(state, record, nowMs, undefined) : requestClaim(state, claim);
	},

	'claim.decided'(state, {requestId, record: claim, verdict, nowMs}) {
		const record = state.requests.get(requestId);
		if (record === undefined || record.claim !== undefined) {
			// The request ended meanwhile, and nothing of it ran.
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
			// An owner that did not answer may have recorded the claim all the same.
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

		settlePrompt(state, found.record, found.attempt);
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

	'caller.left'(state, {requestId}) {
		const record = state.requests.get(requestId);
		// A claimed call that a target may be running is seen to its end, so that a re-send is given its answer.
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
		const silent = records.filter(record => record.deadlineAtMs > nowMs && isAttemptSilent(state, record, nowMs));
		return [
			...expired.flatMap(record => expireRequest(state, record)),
			...silent.flatMap(record => giveUpAttempt(state, record, nowMs)),
		];
	},

	'stop.requested'(state) {
		state.isStopping = true;
		return [];
	},
};

/** How an attempt failed. */
type AttemptFailure = {
	readonly failure: Failure;
	readonly isTargetFault: boolean;
	readonly nowMs: number;
};

/** Ends the attempt under way, and sends the next or refuses the request. */
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
 * Whether the sidecar of a repeatable request's attempt has gone silent, so that
 * another target is tried. A request that may not be repeated waits on: nothing
 * would be won by giving it up.
 */
function isAttemptSilent(state: EntryState, {attempt, route}: RequestRecord, nowMs: number): boolean {
	const target = attempt === undefined ? undefined : state.membership.targets.get(attempt.targetId);
	if (attempt === undefined || target?.load === undefined || !route.repeatable) {
		return false;
	}

	return isSilent(state.retries, Math.max(target.loadAtMs, attempt.sentAtMs), nowMs);
}

function giveUpAttempt(state: EntryState, record: RequestRecord, nowMs: number): readonly EntryEffect[] {
	const {attempt, facts: {requestId}} = record;
	if (attempt === undefined) {
		return [];
	}

	const failure = createFailure(ERROR_CODES.targetUnreachable, {outcome: OUTCOMES.refusedUnknown, detail: 'its sidecar is silent'});
	return [
		{type: 'attempt.cancel', requestId, attemptId: attempt.attemptId},
		...failAttempt(state, record, {failure, isTargetFault: true, nowMs}),
	];
}

/** Refuses a request whose deadline passed. An attempt that is under way may have run: its end is not waited for. */
function expireRequest(state: EntryState, record: RequestRecord): readonly EntryEffect[] {
	const {requestId} = record.facts;
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

/** Sends the next attempt of a request in `choosing` or `retrying`, or refuses it where there can be none. */
function sendNextAttempt(
	state: EntryState,
	record: RequestRecord,
	nowMs: number,
	lastFailure: Failure | undefined,
): readonly EntryEffect[] {
	const {facts, service} = record;
	const {requestId} = facts;
	const mayAttempt = record.attemptCount < ATTEMPT_LIMIT && nowMs < record.deadlineAtMs;
	const selected = mayAttempt ? selectTarget(state, record, nowMs) : undefined;
	const isRetry = record.attemptCount > 0;
	if (selected === undefined || (isRetry && !applyRetry(state.retries.budgets, service.serviceId, nowMs))) {
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
	target.inFlightPromptTokens += facts.promptTokens;
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

/** Finds the attempt that an event speaks of; a late or crossed event finds none. */
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

function settlePrompt(state: EntryState, record: RequestRecord, attempt: Attempt): void {
	const target = state.membership.targets.get(attempt.targetId);
	if (target !== undefined && !attempt.isAnswered) {
		target.inFlightPromptTokens -= record.facts.promptTokens;
	}
}

function endAttempt(state: EntryState, record: RequestRecord): void {
	const {attempt} = record;
	if (attempt === undefined) {
		return;
	}

	settlePrompt(state, record, attempt);
	const target = state.membership.targets.get(attempt.targetId);
	if (target !== undefined) {
		target.inFlight -= 1;
	}

	record.attempt = undefined;
}

function cancelAttempt(state: EntryState, record: RequestRecord): readonly EntryEffect[] {
	const {attempt, facts} = record;
	endAttempt(state, record);
	return attempt === undefined
		? []
		: [{type: 'attempt.cancel', requestId: facts.requestId, attemptId: attempt.attemptId}];
}

/** Effects that tell the caller of a request's end, by the state in which it ended. */
const CLOSERS: Readonly<Partial<Record<RequestMachineState, (requestId: string, failure: Failure) => readonly EntryEffect[]>>> = {
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

/** How a claim is settled, by the state in which its request ended. */
const SETTLED_STATUSES: Readonly<Partial<Record<RequestMachineState, 'released' | 'finished'>>> = {
	answered: 'finished',
	refusedNotRun: 'released',
};

function closeRequest(
	state: EntryState,
	record: RequestRecord,
	requestState: RequestMachineState,
	failure: Failure | undefined,
): readonly EntryEffect[] {
	const {requestId} = record.facts;
	const status = SETTLED_STATUSES[requestState];
	state.requests.delete(requestId);
	return [
		...status === undefined ? [] : settleClaim(state, record.claim, status),
		...CLOSERS[requestState]?.(requestId, failure ?? createFailure(ERROR_CODES.internal)) ?? [],
	];
}
