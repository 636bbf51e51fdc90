/**
 * Divides the slots of targets among the entries of their zone. It is made for entries that choose at the same time from
 * reports that tell little of the present: as long as each sends to slots of its own, together they never overrun a
 * target, whatever they know of each other's work. All entries that know the same targets and peers divide the slots
 * alike, without a message.
 */
import {type PlacedTarget, type PlacementState} from './placementState.js';

/** This entry among the entries of its zone, in the order of their identifiers. */
export type ZoneRank = {readonly rank: number; readonly entryCount: number};

/** Ranks this entry among itself and the known peers of its zone. */
export function computeZoneRank({entryId, availabilityZone, peers}: Pick<PlacementState, 'entryId' | 'availabilityZone' | 'peers'>): ZoneRank {
	const zonePeerIds = [...peers].filter(([, peer]) => peer.availabilityZone === availabilityZone).map(([peerId]) => peerId);
	return {rank: zonePeerIds.filter(peerId => peerId < entryId).length, entryCount: 1 + zonePeerIds.length};
}

/** Numbers the slots of a service's targets in each zone, in the order of the targets' identifiers. Changes the targets in place. */
export function updateFirstSlots(targets: readonly PlacedTarget[]): void {
	const slotsByZone = new Map<string, number>();
	for (const target of targets.toSorted((left, right) => left.record.targetId < right.record.targetId ? -1 : 1)) {
		const {availabilityZone, slots} = target.record;
		target.firstSlot = slotsByZone.get(availabilityZone) ?? 0;
		slotsByZone.set(availabilityZone, target.firstSlot + slots);
	}
}

/** Counts the slots of a target that belong to this entry. The entries take turns, so that those of one target belong to as many entries as possible. */
export function countOwnSlots({availabilityZone, peerIndex: {zoneRank: {rank, entryCount}}}: PlacementState, {record, firstSlot}: PlacedTarget): number {
	const countBelow = (end: number) => Math.ceil((end - rank) / entryCount);
	return record.availabilityZone === availabilityZone ? countBelow(firstSlot + record.slots) - countBelow(firstSlot) : 0;
}

/** Returns whether a slot of this entry is free at a target. */
export function hasFreeOwnSlot(state: PlacementState, target: PlacedTarget): boolean {
	return target.localWork.running < countOwnSlots(state, target);
}
