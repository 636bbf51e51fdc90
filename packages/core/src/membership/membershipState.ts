import {type InstanceRecord, type LoadReport} from '@damaskspool/shared';

/** State of one target as an entry knows it, merged from the instance list, load reports and attempt outcomes. */
export type TargetView = {
	readonly targetId: string;
	address: string;
	availabilityZone: string;
	serviceId: string;
	incarnation: number;
	/** Whether the instance list or the sidecar reports that the target is leaving. */
	isLeaving: boolean;
	/** Whether the instance list reports the target as leaving. A load report then does not reset `isLeaving`, because the sidecar may not know yet. */
	isListedLeaving?: boolean;
	load: LoadReport | undefined;
	/** Time at which the load report was received. */
	loadAtMs: number;
	/** Attempts of this entry that are in progress, counted when they are sent. */
	inFlight: number;
	/** Prompt tokens of this entry's attempts that have no response yet. */
	inFlightPromptTokens: number;
	/** Consecutive attempts that failed because of the target. */
	failuresInRow: number;
	/** End of the backoff after failures: no attempt is sent before this time. */
	backoffUntilMs: number;
};

/** The targets and peer entries that an entry knows. */
export type MembershipState = {
	targets: Map<string, TargetView>;
	/** Other entries of the instance list, by instance identifier. */
	peers: Map<string, InstanceRecord>;
	/** Time of the last load request to each target, apart from the reports that come with responses. */
	readonly loadRequestedAtMs: Map<string, number>;
};

/** Backoff after the first failure of a target. It doubles with each further failure in a row. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5000;

/** Creates a state without targets and peers. */
export function createMembershipState(): MembershipState {
	return {targets: new Map(), peers: new Map(), loadRequestedAtMs: new Map()};
}

/**
 * Merges the platform's instance list into the membership, and changes the
 * membership in place. The list lags behind, so a target that is missing from it
 * is marked as leaving and is removed once this entry has no attempt in progress
 * there.
 *
 * @param localInstanceId - identifier of this entry, which is excluded from the peers
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
		backoffUntilMs: 0,
	});
}

/**
 * Stores a load report in the view of its target. Ignores reports of unknown
 * targets.
 *
 * @param nowMs - time at which the report was received
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

/** Records a successful attempt, which ends the target's backoff. */
export function recordTargetSuccess(target: TargetView): void {
	target.failuresInRow = 0;
	target.backoffUntilMs = 0;
}

/**
 * Records an attempt that failed because of the target. The target gets no new
 * attempts during a backoff that doubles with each failure in a row.
 */
export function recordTargetFailure(target: TargetView, nowMs: number): void {
	target.failuresInRow += 1;
	const backoffMs = Math.min(MIN_BACKOFF_MS * (2 ** (target.failuresInRow - 1)), MAX_BACKOFF_MS);
	target.backoffUntilMs = nowMs + backoffMs;
}
