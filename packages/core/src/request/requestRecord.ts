import {type ClaimRecord, type RouteConfiguration, type ServiceConfiguration} from '@damaskspool/shared';
import {
	initialTransition, type SnapshotFrom, transition,
} from 'xstate';
import {type RequestFacts} from '../reducer/entryEvents.js';
import {requestMachine, type RequestMachineEvent, type RequestMachineState} from './requestMachine.js';

/** One attempt of a request at one target. */
export type Attempt = {
	readonly attemptId: string;
	readonly targetId: string;
	readonly sentAtMs: number;
	isAnswered: boolean;
};

/** What an entry keeps of a request until its outcome is told. */
export type RequestRecord = {
	readonly facts: RequestFacts;
	readonly customerId: string;
	readonly service: ServiceConfiguration;
	readonly route: RouteConfiguration;
	readonly receivedAtMs: number;
	readonly deadlineAtMs: number;
	snapshot: SnapshotFrom<typeof requestMachine>;
	/** The attempt under way; a late reply of any other is discarded. */
	attempt: Attempt | undefined;
	attemptCount: number;
	readonly triedTargetIds: Set<string>;
	/** Claim of a call that may not be repeated, once it was granted. */
	claim: ClaimRecord | undefined;
};

/** Options of {@link createRequestRecord}. */
export type RequestRecordOptions = {
	readonly facts: RequestFacts;
	readonly customerId: string;
	readonly service: ServiceConfiguration;
	readonly route: RouteConfiguration;
	readonly nowMs: number;
};

/**
 * Creates the record of a request that was just accepted.
 *
 * @param options - the request and what was resolved for it
 * @returns the record, in state `choosing`
 */
export function createRequestRecord(options: RequestRecordOptions): RequestRecord {
	const {facts, customerId, service, route, nowMs} = options;
	const [snapshot] = initialTransition(requestMachine, {isRepeatable: route.repeatable});
	return {
		facts,
		customerId,
		service,
		route,
		receivedAtMs: nowMs,
		deadlineAtMs: nowMs + route.deadlineMs,
		snapshot,
		attempt: undefined,
		attemptCount: 0,
		triedTargetIds: new Set(),
		claim: undefined,
	};
}

/**
 * Moves a request on.
 *
 * @param record - request to change
 * @param event - what happened to it
 * @returns the state that the request is in now
 */
export function advanceRequest(record: RequestRecord, event: RequestMachineEvent): RequestMachineState {
	const [snapshot] = transition(requestMachine, record.snapshot, event);
	record.snapshot = snapshot;
	return snapshot.value as RequestMachineState;
}
