import {type InstanceRecord, type LoadReport} from '@damaskspool/shared';

/** What an entry knows of one target, merged from the instance list, the sidecar and outcomes. */
export type TargetView = {
	readonly targetId: string;
	address: string;
	availabilityZone: string;
	serviceId: string;
	incarnation: number;
	/** The list or the sidecar says that the target is going. */
	isLeaving: boolean;
	/** The list says so: no report of a sidecar that has not heard of it takes that back. */
	isListedLeaving?: boolean;
	load: LoadReport | undefined;
	/** When the load report came in. */
	loadAtMs: number;
	/** Own attempts under way, counted at once. */
	inFlight: number;
	/** Prompt tokens of own attempts that have not answered yet. */
	inFlightPromptTokens: number;
	/** Attempts in a row that failed for the target's own fault. */
	failuresInRow: number;
	/** No attempt is sent before this time, after failures. */
	avoidUntilMs: number;
};

/** The targets and peer entries that an entry knows. */
export type MembershipState = {
	targets: Map<string, TargetView>;
	/** Address by instance identifier of every other live entry. */
	peers: Map<string, InstanceRecord>;
	/** When the load of each target was last asked for between answers. */
	readonly loadRequestedAtMs: Map<string, number>;
};

/** First wait after a failure of a target, doubled by each further one. */
const MIN_BACKOFF_MS = 100;
/** Longest wait after failures of a target. */
const MAX_BACKOFF_MS = 5000;

/**
 * Creates the state of an entry that knows nobody.
 *
 * @returns an empty membership state
 */
export function createMembershipState(): MembershipState {
	return {targets: new Map(), peers: new Map(), loadRequestedAtMs: new Map()};
}

/**
 * Merges the platform's instance list. The list lags, so a target that it no
 * longer names is dropped only when nothing of this entry is under way there.
 *
 * @param state - membership to change
 * @param instances - rows of the list
 * @param localInstanceId - identifier of this entry, which is no peer of itself
 */
export function mergeInstanceList(
	state: MembershipState,
	instances: readonly InstanceRecord[],
	localInstanceId: string,
): void {
	const listed = new Set(instances.map(instance => instance.instanceId));
	for (const [targetId, target] of state.targets) {
		if (listed.has(targetId)) {
			continue;
		}

		target.isLeaving = true;
		if (target.inFlight === 0) {
			state.targets.delete(targetId);
		}
	}

	state.peers = new Map(instances
		.filter(({kind, instanceId}) => kind === 'entry' && instanceId !== localInstanceId)
		.map(instance => [instance.instanceId, instance]));
	for (const instance of instances) {
		if (instance.kind === 'target') {
			mergeTargetRecord(state, instance);
		}
	}
}

function mergeTargetRecord(state: MembershipState, instance: InstanceRecord): void {
	const known = state.targets.get(instance.instanceId);
	if (known?.incarnation === instance.incarnation) {
		known.isListedLeaving = instance.state === 'leaving';
		known.isLeaving ||= known.isListedLeaving;
		return;
	}

	state.targets.set(instance.instanceId, {
		targetId: instance.instanceId,
		address: instance.address,
		availabilityZone: instance.availabilityZone,
		serviceId: instance.serviceId,
		incarnation: instance.incarnation,
		isLeaving: instance.state === 'leaving',
		isListedLeaving: instance.state === 'leaving',
		load: undefined,
		loadAtMs: 0,
		inFlight: known?.inFlight ?? 0,
		inFlightPromptTokens: known?.inFlightPromptTokens ?? 0,
		failuresInRow: 0,
		avoidUntilMs: 0,
	});
}

/**
 * Takes in a load report of a sidecar.
 *
 * @param state - membership to change
 * @param load - the report
 * @param nowMs - time of receipt
 */
export function mergeLoadReport(state: MembershipState, load: LoadReport, nowMs: number): void {
	const target = state.targets.get(load.targetId);
	if (target === undefined) {
		return;
	}

	target.load = load;
	target.loadAtMs = nowMs;
	target.isLeaving = target.isListedLeaving === true || load.state === 'leaving' || load.state === 'draining' || load.state === 'gone';
}

/**
 * Counts an attempt that ended well: the target is trusted again.
 *
 * @param target - view of the target
 */
export function recordTargetSuccess(target: TargetView): void {
	target.failuresInRow = 0;
	target.avoidUntilMs = 0;
}

/**
 * Counts an attempt that failed for the target's fault, and keeps new attempts
 * away for a time that doubles with each failure in a row.
 *
 * @param target - view of the target
 * @param nowMs - time of the failure
 */
export function recordTargetFailure(target: TargetView, nowMs: number): void {
	target.failuresInRow += 1;
	const backoffMs = Math.min(MIN_BACKOFF_MS * (2 ** (target.failuresInRow - 1)), MAX_BACKOFF_MS);
	target.avoidUntilMs = nowMs + backoffMs;
}
