import {type MembershipState, type TargetView} from '../membership/membershipState.js';

/** Targets of a zone that must be failing before the zone is taken to be at fault; one alone says nothing of its zone. */
const ZONE_FAULT_TARGETS = 2;
/** Part of a zone's targets that must be failing. */
const ZONE_FAULT_SHARE = 0.5;

/**
 * Lists the targets of availability zones that are at fault: where half of the
 * targets of a service, and at least two, have failed since their last answer.
 *
 * @param membership - targets that the entry knows
 * @param serviceId - service whose targets are looked at
 * @returns every target of such zones, failing or not
 */
export function listFaultyZoneTargets({targets}: MembershipState, serviceId: string): string[] {
	const byZone = new Map<string, TargetView[]>();
	for (const target of targets.values()) {
		if (target.serviceId === serviceId) {
			byZone.set(target.availabilityZone, [...byZone.get(target.availabilityZone) ?? [], target]);
		}
	}

	return [...byZone.values()]
		.filter(zone => {
			const failing = zone.filter(target => target.failuresInRow > 0).length;
			return failing >= ZONE_FAULT_TARGETS && failing >= zone.length * ZONE_FAULT_SHARE;
		})
		.flatMap(zone => zone.map(target => target.targetId));
}
