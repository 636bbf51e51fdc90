/**
 * Finds out whether a target crashed while it ran a request. A broken connection alone does not prove it, so the entry
 * checks whether the target still accepts connections. Crashes count against the parts of the prompts that were waiting
 * for their first bytes.
 */
import {listSharedParts} from '../placement/placementState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type PartDecision} from '../retries/poisonPartTracker.js';
import {type CallRequest, type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type TargetRecord} from './servingRecords.js';
import {type ServingCall, type ServingState} from './servingState.js';

/** Time from the first bytes of an answer after which a crash of its target has another cause. */
const CRASH_ONSET_MS = 500;
/** Time for which an unconfirmed crash waits for the registration of its target to expire. */
const SUSPICION_RETENTION_MS = 10_000;

/** Handlers of the events that confirm or refute crashes. */
export const crashHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	'target.probed'(state, {target, isListening, nowMs}) {
		const incarnation = toIncarnation(target);
		if (isListening === undefined) {
			return [];
		}

		if (isListening) {
			state.suspectedCrashes.delete(incarnation);
			return [];
		}

		return confirmCrash(state, incarnation, nowMs);
	},
	'targets.changed'(state, {nowMs}) {
		if (state.suspectedCrashes.size === 0) {
			return [];
		}

		const registered = new Set([...state.catalog.registrations.values()].map(({record}) => toIncarnation(record)));
		return [...state.suspectedCrashes.keys()].filter(incarnation => !registered.has(incarnation)).flatMap(incarnation => confirmCrash(state, incarnation, nowMs));
	},
	tick(state, {nowMs}) {
		for (const [incarnation, {atMs}] of state.suspectedCrashes) {
			if (nowMs - atMs > SUSPICION_RETENTION_MS) {
				state.suspectedCrashes.delete(incarnation);
			}
		}

		return reportPartDecisions(state.poisonParts.decide(nowMs), 'crashes');
	},
};

/** Lists the parts of a request's prompt that other requests may share. */
export function listSharedPartIds({prompt}: CallRequest): readonly string[] {
	return prompt === undefined ? [] : listSharedParts(prompt.parts).map(({partId}) => partId);
}

/** Records that a call was answered whole, so that other requests must have caused the crashes of targets that ran it. */
export function clearSuspicion({poisonRequests, poisonParts}: ServingState, {request}: ServingCall, nowMs: number): readonly ServingEffect[] {
	poisonRequests.recordAnswer(request.fingerprint);
	return reportPartDecisions(poisonParts.recordAnswer(listSharedPartIds(request), nowMs), request.requestId);
}

/**
 * Records that the target of a call's attempt may have crashed while it ran the call.
 *
 * @param state - changed in place
 * @returns the effects that check whether the target still listens; none if the call cannot have caused a crash
 */
export function suspectCrash(state: ServingState, {attempt, request}: ServingCall, nowMs: number): readonly ServingEffect[] {
	const partIds = listSharedPartIds(request);
	const isOldAnswer = attempt?.firstBytesAtMs !== undefined && nowMs - attempt.firstBytesAtMs > CRASH_ONSET_MS;
	if (attempt === undefined || partIds.length === 0 || isOldAnswer) {
		return [];
	}

	const {record} = attempt.target;
	const incarnation = toIncarnation(record);
	const suspicion = state.suspectedCrashes.get(incarnation);
	if (suspicion !== undefined) {
		suspicion.requests.push(partIds);
		return [];
	}

	state.suspectedCrashes.set(incarnation, {atMs: nowMs, requests: [partIds]});
	return [{type: 'target.probe', target: record}];
}

/**
 * Creates the log lines of decisions about prompt parts.
 *
 * @param cause - the crash, the request or the peer that led to them
 */
export function reportPartDecisions(decisions: readonly PartDecision[], cause: string): readonly ServingEffect[] {
	return decisions.map(({partIds, isQuarantined}) => ({
		type: 'decision.record', name: isQuarantined ? 'part.quarantined' : 'part.released', subject: partIds.join(' '), detail: {cause},
	}));
}

function confirmCrash(state: ServingState, incarnation: string, nowMs: number): readonly ServingEffect[] {
	const requests = state.suspectedCrashes.get(incarnation)?.requests ?? [];
	state.suspectedCrashes.delete(incarnation);
	return [
		{
			type: 'decision.record', name: 'target.crashed', subject: incarnation, detail: {requests},
		},
		...requests.flatMap(partIds => reportPartDecisions(state.poisonParts.recordCrash([incarnation, partIds], nowMs), incarnation)),
		{type: 'work.report'},
	];
}

function toIncarnation({targetId, startedAtMs}: TargetRecord): string {
	return `${targetId}@${startedAtMs}`;
}
