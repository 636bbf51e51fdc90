import {type MembershipState, type TargetView} from '../membership/membershipState.js';
import {computeRank, hashIdentifier} from './rendezvous.js';
import {getLocalLoad, type RoutingState} from './routingState.js';

/** Targets among which one entry chooses. More adds little to the best of a few, and each costs time in every decision. */
export const MAX_SUBSET_SIZE = 24;

/** Options of {@link selectSubset}. */
export type SelectSubsetOptions = {
	readonly routing: RoutingState;
	readonly membership: MembershipState;
	readonly entryId: string;
	readonly availabilityZone: string;
	readonly serviceId: string;
	readonly modelId: string | undefined;
};

/**
 * Selects the targets among which an entry chooses for a service and model:
 * those of its own availability zone first, then by rendezvous hash, so that
 * entries spread over all targets and a change of the fleet moves few of them.
 *
 * @param options - who chooses, and for what
 * @returns identifiers of the targets
 */
export function selectSubset(options: SelectSubsetOptions): readonly string[] {
	const {routing, membership, serviceId, modelId} = options;
	const key = `${serviceId}\n${modelId ?? ''}`;
	const cachedSubset = routing.subsets.get(key);
	if (cachedSubset !== undefined) {
		return cachedSubset;
	}

	const entryHash = hashIdentifier(options.entryId);
	const ranked = [...membership.targets.values()]
		.filter(target => target.serviceId === serviceId && mayServeModel(target, modelId))
		.map(target => ({
			targetId: target.targetId,
			isOtherZone: target.availabilityZone !== options.availabilityZone,
			rank: computeRank(entryHash, getLocalLoad(routing, target.targetId).targetHash),
		}))
		.toSorted((left, right) => Number(left.isOtherZone) - Number(right.isOtherZone) || left.rank - right.rank);
	// A third of the subset lies elsewhere where it can, so that the loss or overload of the zone is no outage.
	const maxSameZoneCount = MAX_SUBSET_SIZE - Math.min(MAX_SUBSET_SIZE / 3, ranked.filter(({isOtherZone}) => isOtherZone).length);
	const sameZone = ranked.filter(({isOtherZone}) => !isOtherZone).slice(0, maxSameZoneCount);
	const otherZones = ranked.filter(({isOtherZone}) => isOtherZone).slice(0, MAX_SUBSET_SIZE - sameZone.length);
	const subset = [...sameZone, ...otherZones].map(({targetId}) => targetId);
	routing.subsets.set(key, subset);
	return subset;
}

/**
 * Tells whether a target may be asked for a model.
 *
 * @param target - view of the target
 * @param modelId - model, adapter and version; undefined for a plain service
 * @returns true also where the target has not said yet what it offers
 */
export function mayServeModel(target: TargetView, modelId: string | undefined): boolean {
	return modelId === undefined || target.load === undefined || target.load.models.includes(modelId);
}
