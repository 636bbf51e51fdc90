import {
	type Assignment, type FleetRecord, SECOND_MS,
} from '@damaskspool/shared';
import {type MembershipState, type TargetView} from '../membership/membershipState.js';
import {type RecordDecision} from '../reducer/entryEffects.js';
import {
	withAdopted, withIntent, withOrder, withoutTarget,
} from './fleetDraft.js';
import {type FleetState} from './fleetState.js';

/** Time for which a target must be off the instance list before it counts as gone: the list lags and may skip a row. */
const GONE_AFTER_MS = 3 * SECOND_MS;
/** A load report older than this shows no drift. */
const REPORT_LIMIT_MS = 5 * SECOND_MS;

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
	const decide: Decide = (name, subject, detail) => {
		decisions.push({
			type: 'decision.record', name, subject, detail,
		});
	};

	let {record} = options;
	const listed = [...membership.targets.values()].filter(({availabilityZone}) => availabilityZone === fleet.availabilityZone);
	const listedIds = new Set(listed.map(({targetId}) => targetId));
	for (const target of listed) {
		record = repairTarget({...options, record}, target, decide);
	}

	const isStarting = record.intents.some(({action}) => action === 'start');
	const gone = record.assignments.filter(assignment => !listedIds.has(assignment.targetId) && isGone(fleet, assignment, options.nowMs));
	for (const assignment of isStarting ? gone.filter(({desired}) => desired.isLeaving) : gone.slice(0, 1)) {
		record = replaceTarget(record, assignment, decide);
	}

	return {record, decisions};
}

type Decide = (name: string, subject: string, detail: Readonly<Record<string, unknown>>) => void;

function repairTarget({record, nowMs}: PlanRepairOptions, target: TargetView, decide: Decide): FleetRecord {
	const {load, targetId, loadAtMs, incarnation} = target;
	const assignment = record.assignments.find(candidate => candidate.targetId === targetId);
	if (load === undefined || nowMs - loadAtMs > REPORT_LIMIT_MS || load.state !== 'serving') {
		return record;
	}

	if (assignment?.incarnation !== incarnation) {
		decide('fleet.adopted', targetId, {role: load.role, models: load.models, incarnation});
		return withAdopted(record, target);
	}

	const missing = assignment.desired.models.filter(model => !load.models.includes(model));
	const isDrifted = assignment.desired.isLeaving || load.role !== assignment.desired.role || missing.length > 0;
	if (assignment.state === 'open' || !isDrifted) {
		return record;
	}

	decide('fleet.repaired', targetId, {
		seenRole: load.role, role: assignment.desired.role, missing, reason: 'the target is not what it was ordered to be',
	});
	return withOrder(record, target, assignment.desired);
}

function isGone(fleet: FleetState, {targetId}: Assignment, nowMs: number): boolean {
	const missingSinceMs = fleet.notes.get(targetId)?.missingSinceMs;
	return missingSinceMs !== undefined && nowMs - missingSinceMs > GONE_AFTER_MS;
}

/** Drops a target that has gone, and starts another in its place unless it was ordered away. One start at a time. */
function replaceTarget(record: FleetRecord, {targetId, incarnation, serviceId, desired}: Assignment, decide: Decide): FleetRecord {
	const rest = withoutTarget(record, targetId);
	if (desired.isLeaving) {
		decide('fleet.targetEnded', targetId, {reason: 'stopped as ordered'});
		return rest;
	}

	const key = `replace/${targetId}/${incarnation}`;
	decide('fleet.targetReplaced', targetId, {key, serviceId, reason: 'the target left the instance list without an order'});
	return withIntent(rest, {
		key, action: 'start', serviceId, targetId,
	});
}
