import {
	createFailure, ERROR_CODES, type Failure, OUTCOMES,
} from '@damaskspool/shared';
import {type ResolvedRoute, resolveRoute} from '../configuration/configurationState.js';
import {hasPeers} from '../configuration/spreadHandlers.js';
import {isKeySetSure} from '../keys/keyFreshness.js';
import {mergeLoadReport, recordTargetFailure, recordTargetSuccess} from '../membership/membershipState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent, type RequestFacts} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {chooseTarget, recordChoice} from '../routing/chooseTarget.js';
import {toRoutingDemand} from '../routing/routingDemand.js';
import {type RequestMachineState} from './requestMachine.js';
import {
	advanceRequest, type Attempt, createRequestRecord, type RequestRecord,
} from './requestRecord.js';

/** Most attempts of one request, whatever its budget. */
const ATTEMPT_LIMIT = 4;
/** Customer under whom requests on open routes are counted. */
export const ANONYMOUS_CUSTOMER_ID = 'anonymous';

type Admission = ResolvedRoute & {readonly customerId: string};

/** Handlers of a request's life at its entry. */
export const requestHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'request.received'(state, {facts, nowMs}) {
		const admission = admitRequest(state, facts, nowMs);
		if ('code' in admission) {
			return [{type: 'request.refuse', requestId: facts.requestId, failure: admission}];
		}

		const record = createRequestRecord({facts, nowMs, ...admission});
		state.requests.set(facts.requestId, record);
		return sendNextAttempt(state, record, nowMs, undefined);
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

		endAttempt(state, found.record);
		const target = state.membership.targets.get(found.attempt.targetId);
		if (target !== undefined && event.isTargetFault) {
			recordTargetFailure(target, event.nowMs);
		}

		const type = event.failure.outcome === OUTCOMES.refusedNotRun ? 'failNotRun' : 'failUnknown';
		const requestState = advanceRequest(found.record, {type});
		if (requestState === 'choosing' || requestState === 'retrying') {
			return sendNextAttempt(state, found.record, event.nowMs, event.failure);
		}

		return closeRequest(state, found.record, requestState, event.failure);
	},

	'caller.left'(state, {requestId}) {
		const record = state.requests.get(requestId);
		if (record === undefined) {
			return [];
		}

		const effects = cancelAttempt(state, record);
		advanceRequest(record, {type: 'abandon'});
		state.requests.delete(requestId);
		return effects;
	},

	tick(state, {nowMs}) {
		const expired = [...state.requests.values()].filter(record => record.deadlineAtMs <= nowMs);
		return expired.flatMap(record => expireRequest(state, record));
	},

	'stop.requested'(state) {
		state.isStopping = true;
		return [];
	},
};

/** Refuses a request whose deadline passed. An attempt that is under way may have run: its end is not waited for. */
function expireRequest(state: EntryState, record: RequestRecord): readonly EntryEffect[] {
	const {requestId} = record.facts;
	const effects = cancelAttempt(state, record);
	const isNotRun = record.snapshot.value === 'choosing';
	const outcome = isNotRun ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown;
	state.requests.delete(requestId);
	return [
		...effects,
		{type: 'request.refuse', requestId, failure: createFailure(ERROR_CODES.deadlineExceeded, {outcome})},
	];
}

/** Checks a request against the configuration in force. */
function admitRequest(state: EntryState, facts: RequestFacts, nowMs: number): Admission | Failure {
	if (state.isStopping) {
		return createFailure(ERROR_CODES.leaving);
	}

	if (state.configuration.revision < 0) {
		return createFailure(ERROR_CODES.notReady, {retryAfterMs: 1000});
	}

	const resolved = resolveRoute(state.configuration, facts.method, facts.path, facts.modelId);
	if (resolved === undefined) {
		return createFailure(ERROR_CODES.routeUnknown);
	}

	if (resolved.route.access === 'keyed' && !isKeySetSure({...state.configuration, hasPeers: hasPeers(state)}, nowMs)) {
		return createFailure(ERROR_CODES.keysStale, {retryAfterMs: 1000});
	}

	const customerId = resolveCustomer(state, facts, resolved);
	if (typeof customerId !== 'string') {
		return customerId;
	}

	const {service, route} = resolved;
	if (facts.bodyBytes > route.bodyLimitBytes) {
		return createFailure(ERROR_CODES.bodyTooLarge);
	}

	if (service.kind === 'model' && (facts.modelId === undefined || !service.models.includes(facts.modelId))) {
		return createFailure(ERROR_CODES.modelUnknown);
	}

	return {...resolved, customerId};
}

function resolveCustomer(state: EntryState, facts: RequestFacts, {service, route}: ResolvedRoute): string | Failure {
	if (route.access === 'open') {
		return ANONYMOUS_CUSTOMER_ID;
	}

	if (facts.keyHash === undefined) {
		return createFailure(ERROR_CODES.keyMissing);
	}

	const customerId = state.configuration.customerIdByKeyHash.get(facts.keyHash);
	const customer = customerId === undefined ? undefined : state.configuration.customers.get(customerId);
	if (customer === undefined) {
		return createFailure(ERROR_CODES.keyUnknown);
	}

	const maySee = customer.services === undefined || customer.services.includes(service.serviceId);
	return maySee ? customer.customerId : createFailure(ERROR_CODES.routeUnknown);
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
	const demand = toRoutingDemand(record);
	const target = record.attemptCount < ATTEMPT_LIMIT && nowMs < record.deadlineAtMs
		? chooseTarget({
			...state, entryId: state.instanceId, nowMs, demand,
		})
		: undefined;
	if (target === undefined) {
		const requestState = advanceRequest(record, {type: 'exhaust'});
		return closeRequest(state, record, requestState, lastFailure ?? createFailure(ERROR_CODES.noTarget));
	}

	record.attemptCount += 1;
	const attemptId = `${requestId}.${record.attemptCount}`;
	const prefillTokens = recordChoice({
		...state, requestId, attemptId, target, demand, nowMs,
	});
	record.attempt = {attemptId, targetId: target.targetId, isAnswered: false};
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

function closeRequest(
	state: EntryState,
	record: RequestRecord,
	requestState: RequestMachineState,
	failure: Failure | undefined,
): readonly EntryEffect[] {
	const {requestId} = record.facts;
	state.requests.delete(requestId);
	return CLOSERS[requestState]?.(requestId, failure ?? createFailure(ERROR_CODES.internal)) ?? [];
}
