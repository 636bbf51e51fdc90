import {findHeldDuty} from '../lease/leaseState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {type TargetView} from './membershipState.js';

/** Targets of unknown load that one round reads. */
const MAX_UNKNOWN_LOAD_READS = 16;
/** Targets of the own availability zone that one round reads while its fleet duty is held. */
const MAX_SAME_ZONE_READS = 12;
/** Targets beyond those that this entry chooses among, of which one round reads so many in turn. */
const MAX_SWEEP_READS = 4;

/** Handlers by which an entry decides whose load it reads between answers. */
export const loadReadHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'load.readDue'(state, {nowMs, intervalMs}) {
		const {membership, routing} = state;
		const chosen = selectLoadReads(state, nowMs, nowMs - intervalMs);
		for (const {targetId} of chosen) {
			membership.loadRequestedAtMs.set(targetId, nowMs);
		}

		return chosen.map(({targetId, address}) => ({
			type: 'load.read', address, afterSequence: routing.prefixes.get(targetId)?.lastSequence ?? 0,
		}));
	},

	'instances.listed'({membership}) {
		for (const targetId of membership.loadRequestedAtMs.keys()) {
			if (!membership.targets.has(targetId)) {
				membership.loadRequestedAtMs.delete(targetId);
			}
		}

		return [];
	},
};

/**
 * Selects the targets whose load is read in one round: those that this entry
 * chooses among and has not heard of since a given time, some that it knows
 * nothing of, the own zone in turn while its duty is held, and the rest in turn.
 * The number is bounded, so that the cost does not rise with the fleet.
 */
function selectLoadReads(state: EntryState, nowMs: number, reportedBeforeMs: number): readonly TargetView[] {
	const {membership, routing, lease, fleet, availabilityZone} = state;
	const subsetTargetIds = new Set([...routing.subsets.values()].flat());
	const isDutyHolder = findHeldDuty(lease, fleet.dutyName, nowMs) !== undefined;
	const staleTargets = [...membership.targets.values()]
		.filter(target => target.load === undefined || target.loadAtMs <= reportedBeforeMs)
		.toSorted((left, right) => getLoadRequestedAt(state, left) - getLoadRequestedAt(state, right));
	const unknownTargets = staleTargets.filter(({load}) => load === undefined);
	const sameZoneTargets = isDutyHolder ? staleTargets.filter(target => target.availabilityZone === availabilityZone) : [];
	return [...new Set([
		...staleTargets.filter(({targetId}) => subsetTargetIds.has(targetId)),
		...unknownTargets.slice(0, MAX_UNKNOWN_LOAD_READS),
		...sameZoneTargets.slice(0, MAX_SAME_ZONE_READS),
		...staleTargets.slice(0, MAX_SWEEP_READS),
	])];
}

function getLoadRequestedAt({membership}: EntryState, {targetId}: TargetView): number {
	return membership.loadRequestedAtMs.get(targetId) ?? Number.NEGATIVE_INFINITY;
}
