import {
	type Assignment, type DesiredTarget, type FleetRecord, type Intent,
} from '@damaskspool/shared';
import {type TargetView} from '../membership/membershipState.js';

/**
 * Rewrites the orders of a predecessor under a new epoch. Orders that may still
 * be under way are given anew under the new epoch, unchanged in what they ask.
 *
 * @param record - orders as found; undefined where there are none
 * @param epoch - epoch of the new holder
 * @returns the orders to write
 */
export function createTakeoverRecord(record: FleetRecord | undefined, epoch: number): FleetRecord {
	// Numbers that were given under the same epoch are never given again.
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

/**
 * Gives a target an order.
 *
 * @param record - orders so far
 * @param target - the target
 * @param desired - what it is to be
 * @returns orders with the new one, which replaces any other of the target
 */
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
 * Takes a target in as it is, without an order, so that a later difference is seen.
 *
 * @param record - orders so far
 * @param target - a target that has reported
 * @returns orders that name the target
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

/**
 * Notes how the last order of a target ended.
 *
 * @param record - orders so far
 * @param targetId - the target
 * @param state - how it ended
 * @returns orders with the change
 */
export function setOrderState(record: FleetRecord, targetId: string, state: Assignment['state']): FleetRecord {
	return {
		...record,
		assignments: record.assignments.map(assignment => assignment.targetId === targetId ? {...assignment, state} : assignment),
	};
}

/**
 * Drops a target that is gone.
 *
 * @param record - orders so far
 * @param targetId - the target
 * @param sequence - last sequence; that of the record where left out
 * @returns orders without it
 */
export function removeTarget(record: FleetRecord, targetId: string, sequence = record.sequence): FleetRecord {
	return {...record, sequence, assignments: listOtherAssignments(record, targetId)};
}

/**
 * Writes down a call to the platform, once for each key.
 *
 * @param record - orders so far
 * @param intent - the call
 * @returns orders with the call
 */
export function addIntent(record: FleetRecord, intent: Intent): FleetRecord {
	return record.intents.some(({key}) => key === intent.key) ? record : {...record, intents: [...record.intents, intent]};
}

/**
 * Strikes a call that the platform has taken.
 *
 * @param record - orders so far
 * @param key - idempotency key of the call
 * @returns orders without the call
 */
export function removeIntent(record: FleetRecord, key: string): FleetRecord {
	return {...record, intents: record.intents.filter(intent => intent.key !== key)};
}

function listOtherAssignments(record: FleetRecord, targetId: string): Assignment[] {
	return record.assignments.filter(assignment => assignment.targetId !== targetId);
}
