import {findHeldDuty} from '../lease/leaseState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {setOrder} from './fleetDraft.js';
import {updateDraft} from './fleetStore.js';

/** Handlers by which the holder of a zone's fleet duty drains targets for operators. */
export const drainHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'target.drainRequested'(state, {targetId, nowMs}) {
		const target = state.membership.targets.get(targetId);
		if (!mayDrain(state, targetId, nowMs) || target?.load === undefined) {
			return [];
		}

		const {role, models} = target.load;
		updateDraft(state.fleet, record => {
			const desired = record.assignments.find(assignment => assignment.targetId === targetId)?.desired ?? {role, models};
			return setOrder(record, target, {...desired, isLeaving: true});
		});
		return [{
			type: 'decision.record', name: 'target.drainOrdered', subject: targetId, detail: {},
		}];
	},
};

/**
 * Tells whether this entry may drain a target now.
 *
 * @param state - state of the entry
 * @param targetId - the target
 * @param nowMs - present time
 * @returns whether the target is known, in the own zone, and the zone's duty is held and its orders are read
 */
export function mayDrain({fleet, lease, membership}: EntryState, targetId: string, nowMs: number): boolean {
	const held = findHeldDuty(lease, fleet.dutyName, nowMs);
	const target = membership.targets.get(targetId);
	return held !== undefined
		&& held.epoch === fleet.ownedEpoch
		&& fleet.record !== undefined
		&& target?.load !== undefined
		&& target.availabilityZone === fleet.availabilityZone;
}
