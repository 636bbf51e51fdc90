import {
	type Assignment, type DesiredTarget, type FleetRecord, type Intent,
} from '@damaskspool/shared';
import {type TargetView} from '../membership/membershipState.js';

/**
 * Returns the fleet record that a new holder of the fleet duty writes first. Open orders may still be in progress at
 * their sidecars, so they are issued again under the new epoch with the same desired state.
 *
 * @param record - stored record; undefined if the zone has none
 * @param epoch - epoch of the new holder
 */
export function createTakeoverRecord(record: FleetRecord | undefined, epoch: number): FleetRecord {
	// An order number is never reused within an epoch.
	let sequence = record?.epoch === epoch ? record.sequence : 0;
	const assignments = (record?.assignments ?? []).map(assignment => {
		if (assignment.state !== 'open') {
			return assignment;
		}

		sequence += 1;
		return {...assignment, order: {epoch, sequence}};
	});
	return {
		epoch, nonce: '', sequence, assignments, intents: record?.intents ?? [],
	};
}

/** Returns a record in which a new open order for the target replaces any earlier one. */
export function setOrder(record: FleetRecord, target: TargetView, desired: DesiredTarget): FleetRecord {
	const sequence = record.sequence + 1;
	const assignment: Assignment = {
		targetId: target.targetId,
		serviceId: target.serviceId,
		incarnation: target.incarnation,
		order: {epoch: record.epoch, sequence},
		desired,
		state: 'open',
	};
	return {...removeTarget(record, target.targetId, sequence), assignments: [...listOtherAssignments(record, target.targetId), assignment]};
}

/**
 * Returns a record that includes a target without an order. Its reported role and models become the desired state, so
 * that later drift is detected.
 */
export function addTarget(record: FleetRecord, target: TargetView): FleetRecord {
	const assignment: Assignment = {
		targetId: target.targetId,
		serviceId: target.serviceId,
		incarnation: target.incarnation,
		order: {epoch: 0, sequence: 0},
		desired: {role: target.load?.role ?? 'mixed', models: [...target.load?.models ?? []], isLeaving: false},
		state: 'applied',
	};
	return {...record, assignments: [...listOtherAssignments(record, target.targetId), assignment]};
}

/** Returns a record in which the last order of a target has the given state. */
export function setOrderState(record: FleetRecord, targetId: string, state: Assignment['state']): FleetRecord {
	return {
		...record,
		assignments: record.assignments.map(assignment => assignment.targetId === targetId ? {...assignment, state} : assignment),
	};
}

/**
 * Returns a record without a target.
 *
 * @param sequence - last sequence number used under the epoch; defaults to that of the record
 */
export function removeTarget(record: FleetRecord, targetId: string, sequence = record.sequence): FleetRecord {
	return {...record, sequence, assignments: listOtherAssignments(record, targetId)};
}

/** Returns a record with an intent added, unless it already contains one with the same key. */
export function addIntent(record: FleetRecord, intent: Intent): FleetRecord {
	return record.intents.some(({key}) => key === intent.key) ? record : {...record, intents: [...record.intents, intent]};
}

/**
 * Returns a record without the intent whose call the platform has accepted.
 *
 * @param key - idempotency key of the call
 */
export function removeIntent(record: FleetRecord, key: string): FleetRecord {
	return {...record, intents: record.intents.filter(intent => intent.key !== key)};
}

function listOtherAssignments(record: FleetRecord, targetId: string): Assignment[] {
	return record.assignments.filter(assignment => assignment.targetId !== targetId);
}
