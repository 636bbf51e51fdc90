import {type ClaimRecord, type RouteConfiguration, type ServiceConfiguration} from '@damaskspool/shared';
import {
	initialTransition, type SnapshotFrom, transition,
} from 'xstate';
import {type RequestAttributes} from '../reducer/entryEvents.js';
import {requestMachine, type RequestMachineEvent, type RequestMachineState} from './requestMachine.js';

/** Snapshot of the state machine of a request. */
export type RequestSnapshot = SnapshotFrom<typeof requestMachine>;

/** One attempt of a request at one target. */
export type Attempt = {
	readonly attemptId: string;
	readonly targetId: string;
	readonly sentAtMs: number;
	isAnswered: boolean;
};

/** Data that an entry keeps about a request until it reports the outcome to the caller. */
export type RequestRecord = {
	readonly attributes: RequestAttributes;
	readonly customerId: string;
	readonly service: ServiceConfiguration;
	readonly route: RouteConfiguration;
	readonly receivedAtMs: number;
	readonly deadlineAtMs: number;
	snapshot: RequestSnapshot;
	/** Current attempt. Late replies to earlier attempts are discarded. */
	attempt: Attempt | undefined;
	attemptCount: number;
	readonly triedTargetIds: Set<string>;
	/** Granted claim of a request that is not repeatable. */
	claim: ClaimRecord | undefined;
};

/** Options of {@link createRequestRecord}. */
export type RequestRecordOptions = {
	readonly attributes: RequestAttributes;
	readonly customerId: string;
	readonly service: ServiceConfiguration;
	readonly route: RouteConfiguration;
	readonly nowMs: number;
};

/** Creates the record of an accepted request, in state `choosing`. */
export function createRequestRecord(options: RequestRecordOptions): RequestRecord {
	const {attributes, customerId, service, route, nowMs} = options;
	return {
		attributes,
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
 * Returns the initial snapshot of a request, in state `choosing`.
 *
 * @param isRepeatable - whether the request may run more than once
 */
export function createRequestSnapshot(isRepeatable: boolean): RequestSnapshot {
	return isRepeatable ? INITIAL_SNAPSHOTS.repeatable : INITIAL_SNAPSHOTS.nonRepeatable;
}

/**
 * Advances the state machine of a request and replaces `record.snapshot`.
 *
 * @returns the new state of the request
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
 * Cache of computed transitions. Snapshots contain no data of a particular
 * request, so all requests share them and each transition is computed once.
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
