import {findHeldDuty} from '../lease/leaseState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {type TargetView} from './membershipState.js';

/** Targets of unknown load that one round reads. */
const UNKNOWN_READS = 16;
/** Targets of the own availability zone that one round reads while its fleet duty is held. */
const OWN_ZONE_READS = 12;
/** Targets beyond those that this entry chooses among, of which one round reads so many in turn. */
const SWEEP_READS = 4;

/** Handlers by which an entry decides whose load it reads between answers. */
export const loadReadHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'load.readDue'(state, {nowMs, intervalMs}) {
		const {membership, routing} = state;
		const chosen = selectLoadReads(state, nowMs, nowMs - intervalMs);
		for (const {targetId} of chosen) {
			membership.loadAskedAtMs.set(targetId, nowMs);
		}

		return chosen.map(({targetId, address}) => ({
			type: 'load.read', address, afterSequence: routing.prefixes.get(targetId)?.lastSequence ?? 0,
		}));
	},

	'instances.listed'({membership}) {
		for (const targetId of membership.loadAskedAtMs.keys()) {
			if (!membership.targets.has(targetId)) {
				membership.loadAskedAtMs.delete(targetId);
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
function selectLoadReads(state: EntryState, nowMs: number, heardBeforeMs: number): readonly TargetView[] {
	const {membership, routing, lease, fleet, availabilityZone} = state;
	const inUse = new Set([...routing.subsets.values()].flat());
	const isHolder = findHeldDuty(lease, fleet.dutyName, nowMs) !== undefined;
	const inTurn = [...membership.targets.values()]
		.filter(target => target.load === undefined || target.loadAtMs <= heardBeforeMs)
		.toSorted((left, right) => readAskedAt(state, left) - readAskedAt(state, right));
	const unknown = inTurn.filter(({load}) => load === undefined);
	const ownZone = isHolder ? inTurn.filter(target => target.availabilityZone === availabilityZone) : [];
	return [...new Set([
		...inTurn.filter(({targetId}) => inUse.has(targetId)),
		...unknown.slice(0, UNKNOWN_READS),
		...ownZone.slice(0, OWN_ZONE_READS),
		...inTurn.slice(0, SWEEP_READS),
	])];
}

function readAskedAt({membership}: EntryState, {targetId}: TargetView): number {
	return membership.loadAskedAtMs.get(targetId) ?? Number.NEGATIVE_INFINITY;
}
