import {findHeldDuty} from '../lease/leaseState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {setOrder} from './fleetDraft.js';
import {updateDraft} from './fleetStore.js';

/** Handles operators' requests to drain targets. Only the holder of the zone's fleet duty acts on them. */
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
 * Returns whether this entry may drain a target now. It must hold the fleet duty and have written the fleet record
 * under its current epoch, and the target must belong to the same zone and have reported its load.
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
