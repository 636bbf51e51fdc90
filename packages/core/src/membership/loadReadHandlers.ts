import {findHeldDuty} from '../lease/leaseState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {type TargetView} from './membershipState.js';

/** Maximum number of targets without a load report that one round reads. */
const MAX_UNKNOWN_LOAD_READS = 16;
/** Maximum number of targets in the entry's availability zone that one round reads while the entry holds the fleet duty. */
const MAX_SAME_ZONE_READS = 12;
/** Maximum number of further targets that one round reads, in rotation over all known targets. */
const MAX_SWEEP_READS = 4;

/** Handlers that decide which sidecars an entry queries for load when no recent response carried a load report. */
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
 * Selects the targets whose load is read in one round. Only targets without a
 * load report since `reportedBeforeMs` qualify, and those whose load was requested
 * least recently come first. A round reads:
 *
 * - all targets in the routing subsets of this entry,
 * - some targets that have never reported,
 * - some targets of the entry's zone, if the entry holds the fleet duty,
 * - some of all known targets.
 *
 * Each group is bounded, so the cost does not grow with the fleet.
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
