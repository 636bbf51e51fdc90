import {
	type Assignment, type FleetRecord, SECOND_MS,
} from '@damaskspool/shared';
import {type MembershipState, type TargetView} from '../membership/membershipState.js';
import {type RecordDecision} from '../reducer/entryEffects.js';
import {
	addTarget, addIntent, setOrder, removeTarget,
} from './fleetDraft.js';
import {type FleetState} from './fleetState.js';

/** Time for which a target must be off the instance list before it counts as gone: the list lags and may skip a row. */
const MISSING_TIMEOUT_MS = 3 * SECOND_MS;
/** A load report older than this shows no drift. */
const MAX_REPORT_AGE_MS = 5 * SECOND_MS;

/** What a look for drift found. */
export type Repair = {
	/** The same object as before where nothing differs. */
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
 * Compares what the targets of the zone are with what they were last ordered
 * to be, and plans the changes that bring them back.
 *
 * @param options - the zone, its targets and orders
 * @returns the orders to write, and what was seen and done
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
		seenRole: load.role, role: assignment.desired.role, missing: missingModels, reason: 'the target is not what it was ordered to be',
	});
	return setOrder(record, target, assignment.desired);
}

function isGone(fleet: FleetState, {targetId}: Assignment, nowMs: number): boolean {
	const missingSinceMs = fleet.trackedTargets.get(targetId)?.missingSinceMs;
	return missingSinceMs !== undefined && nowMs - missingSinceMs > MISSING_TIMEOUT_MS;
}

/** Drops a target that has gone, and starts another in its place unless it was ordered away. One start at a time. */
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
