import {
	type Assignment, type FleetRecord, SECOND_MS,
} from '@damaskspool/shared';
import {type MembershipState, type TargetView} from '../membership/membershipState.js';
import {type RecordDecision} from '../reducer/entryEffects.js';
import {
	addIntent, addTarget, removeTarget, setOrder,
} from './fleetDraft.js';
import {type FleetState} from './fleetState.js';

/** Time for which a target must be missing from the instance list before it counts as gone. The list lags and may omit an instance. */
const MISSING_TIMEOUT_MS = 3 * SECOND_MS;
/** Older load reports are not checked for drift. */
const MAX_REPORT_AGE_MS = 5 * SECOND_MS;

/** Result of a check for drift. */
export type Repair = {
	/** The same object as the input if nothing changes. */
	readonly record: FleetRecord;
	readonly decisions: readonly RecordDecision[];
};

/** Options of {@link planRepair}. */
export type PlanRepairOptions = {
	readonly fleet: FleetState;
	readonly membership: MembershipState;
	readonly record: FleetRecord;
	readonly nowMs: number;
};

/**
 * Compares the reported state of the zone's targets with their last orders, and plans the changes that restore the
 * ordered state.
 *
 * @returns the record to write and the decisions to log
 */
export function planRepair(options: PlanRepairOptions): Repair {
	const {fleet, membership} = options;
	const decisions: RecordDecision[] = [];
	const addDecision: AddDecision = (name, subject, detail) => {
		decisions.push({
			type: 'decision.record', name, subject, detail,
		});
	};

	let {record} = options;
	const listed = [...membership.targets.values()].filter(({availabilityZone}) => availabilityZone === fleet.availabilityZone);
	const listedIds = new Set(listed.map(({targetId}) => targetId));
	for (const target of listed) {
		record = planTargetRepair({...options, record}, target, addDecision);
	}

	// Only one target is started at a time. Targets that were ordered to leave need no replacement.
	const isStarting = record.intents.some(({action}) => action === 'start');
	const gone = record.assignments.filter(assignment => !listedIds.has(assignment.targetId) && isGone(fleet, assignment, options.nowMs));
	for (const assignment of isStarting ? gone.filter(({desired}) => desired.isLeaving) : gone.slice(0, 1)) {
		record = handleMissingTarget(record, assignment, addDecision);
	}

	return {record, decisions};
}

type AddDecision = (name: string, subject: string, detail: Readonly<Record<string, unknown>>) => void;

function planTargetRepair({record, nowMs}: PlanRepairOptions, target: TargetView, addDecision: AddDecision): FleetRecord {
	const {load, targetId, loadAtMs, incarnation} = target;
	const assignment = record.assignments.find(candidate => candidate.targetId === targetId);
	if (load === undefined || nowMs - loadAtMs > MAX_REPORT_AGE_MS || load.state !== 'serving') {
		return record;
	}

	if (assignment?.incarnation !== incarnation) {
		addDecision('fleet.adopted', targetId, {role: load.role, models: load.models, incarnation});
		return addTarget(record, target);
	}

	const missingModels = assignment.desired.models.filter(model => !load.models.includes(model));
	const isDrifted = assignment.desired.isLeaving || load.role !== assignment.desired.role || missingModels.length > 0;
	if (assignment.state === 'open' || !isDrifted) {
		return record;
	}

	addDecision('fleet.repaired', targetId, {
		seenRole: load.role, role: assignment.desired.role, missing: missingModels, reason: 'the reported state differs from the ordered state',
	});
	return setOrder(record, target, assignment.desired);
}

function isGone(fleet: FleetState, {targetId}: Assignment, nowMs: number): boolean {
	const missingSinceMs = fleet.trackedTargets.get(targetId)?.missingSinceMs;
	return missingSinceMs !== undefined && nowMs - missingSinceMs > MISSING_TIMEOUT_MS;
}

/** Removes a target that is gone, and adds an intent to start a replacement unless the target was ordered to leave. */
function handleMissingTarget(record: FleetRecord, {targetId, incarnation, serviceId, desired}: Assignment, addDecision: AddDecision): FleetRecord {
	const rest = removeTarget(record, targetId);
	if (desired.isLeaving) {
		addDecision('fleet.targetEnded', targetId, {reason: 'stopped as ordered'});
		return rest;
	}

	const key = `replace/${targetId}/${incarnation}`;
	addDecision('fleet.targetReplaced', targetId, {key, serviceId, reason: 'the target left the instance list without an order'});
	return addIntent(rest, {
		key, action: 'start', serviceId, targetId,
	});
}
