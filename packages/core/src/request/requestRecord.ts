import {type ClaimRecord, type RouteConfiguration, type ServiceConfiguration} from '@damaskspool/shared';
import {
	initialTransition, type SnapshotFrom, transition,
} from 'xstate';
import {type RequestFacts} from '../reducer/entryEvents.js';
import {requestMachine, type RequestMachineEvent, type RequestMachineState} from './requestMachine.js';

/** Where a request stands in its life. */
export type RequestSnapshot = SnapshotFrom<typeof requestMachine>;

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
	snapshot: RequestSnapshot;
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
	return {
		facts,
		customerId,
		service,
		route,
		receivedAtMs: nowMs,
		deadlineAtMs: nowMs + route.deadlineMs,
		snapshot: createRequestSnapshot(route.repeatable),
		attempt: undefined,
		attemptCount: 0,
		triedTargetIds: new Set(),
		claim: undefined,
	};
}

const INITIAL_SNAPSHOTS = {
	repeatable: initialTransition(requestMachine, {isRepeatable: true})[0],
	nonRepeatable: initialTransition(requestMachine, {isRepeatable: false})[0],
} as const;

/**
 * Creates the first snapshot of a request.
 *
 * @param isRepeatable - whether the request may run more than once
 * @returns the snapshot, in state `choosing`
 */
export function createRequestSnapshot(isRepeatable: boolean): RequestSnapshot {
	return isRepeatable ? INITIAL_SNAPSHOTS.repeatable : INITIAL_SNAPSHOTS.nonRepeatable;
}

/**
 * Moves a request on.
 *
 * @param record - holder of the request's snapshot, changed
 * @param event - what happened to it
 * @returns the state that the request is in now
 */
export function advanceRequest(record: {snapshot: RequestSnapshot}, event: RequestMachineEvent): RequestMachineState {
	const transitions = getTransitions(record.snapshot);
	let next = transitions.get(event.type);
	if (next === undefined) {
		[next] = transition(requestMachine, record.snapshot, event);
		transitions.set(event.type, next);
	}

	record.snapshot = next;
	return next.value as RequestMachineState;
}

/**
 * Snapshots hold nothing of a single request, so the few that there are are
 * shared and each transition is computed once.
 */
const transitionsBySnapshot = new WeakMap<RequestSnapshot, Map<RequestMachineEvent['type'], RequestSnapshot>>();

function getTransitions(snapshot: RequestSnapshot): Map<RequestMachineEvent['type'], RequestSnapshot> {
	let transitions = transitionsBySnapshot.get(snapshot);
	if (transitions === undefined) {
		transitions = new Map();
		transitionsBySnapshot.set(snapshot, transitions);
	}

	return transitions;
}
