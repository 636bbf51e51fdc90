import {type MembershipState, type TargetView} from '../membership/membershipState.js';

/** Targets of a zone that must be failing before the zone is taken to be at fault; one alone says nothing of its zone. */
const MIN_FAILING_TARGETS = 2;
/** Part of a zone's targets that must be failing. */
const MIN_FAILING_RATIO = 0.5;

/**
 * Lists the targets of availability zones that are at fault: where half of the
 * targets of a service, and at least two, have failed since their last answer.
 *
 * @param membership - targets that the entry knows
 * @param serviceId - service whose targets are looked at
 * @returns every target of such zones, failing or not
 */
export function listFaultyZoneTargets({targets}: MembershipState, serviceId: string): string[] {
	const targetsByZone = new Map<string, TargetView[]>();
	for (const target of targets.values()) {
		if (target.serviceId === serviceId) {
			targetsByZone.set(target.availabilityZone, [...targetsByZone.get(target.availabilityZone) ?? [], target]);
		}
	}

	return [...targetsByZone.values()]
		.filter(zoneTargets => {
			const failing = zoneTargets.filter(target => target.failuresInRow > 0).length;
			return failing >= MIN_FAILING_TARGETS && failing >= zoneTargets.length * MIN_FAILING_RATIO;
		})
		.flatMap(zoneTargets => zoneTargets.map(target => target.targetId));
}
