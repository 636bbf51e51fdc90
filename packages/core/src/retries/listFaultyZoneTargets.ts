import {type MembershipState, type TargetView} from '../membership/membershipState.js';

/** Minimum number of failing targets in a faulty zone. A single failing target does not indicate a fault of its zone. */
const MIN_FAILING_TARGETS = 2;
/** Minimum ratio of failing targets in a faulty zone. */
const MIN_FAILING_RATIO = 0.5;

/**
 * Lists the targets of a service in faulty availability zones. A zone is faulty if
 * at least two and at least half of the service's targets there have failed since
 * their last success.
 *
 * @returns identifiers of all targets of the service in such zones, failing or not
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
