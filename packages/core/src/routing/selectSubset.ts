import {type MembershipState, type TargetView} from '../membership/membershipState.js';
import {computeRank, hashIdentifier} from './rendezvous.js';
import {getLocalLoad, type RoutingState} from './routingState.js';

/** Maximum number of targets among which one entry chooses. A larger subset barely improves the choice, and each target adds time to every decision. */
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
 * Selects the targets among which an entry chooses for a service and model.
 * Targets in the entry's availability zone come first. Within and outside the zone,
 * targets are ordered by rendezvous hash, so that entries distribute themselves over
 * all targets and a change of the fleet affects few subsets. The result is cached in
 * `routing.subsets`.
 *
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
	// Up to a third of the subset is in other zones, so that requests still succeed if the zone fails or is overloaded.
	const maxSameZoneCount = MAX_SUBSET_SIZE - Math.min(MAX_SUBSET_SIZE / 3, ranked.filter(({isOtherZone}) => isOtherZone).length);
	const sameZone = ranked.filter(({isOtherZone}) => !isOtherZone).slice(0, maxSameZoneCount);
	const otherZones = ranked.filter(({isOtherZone}) => isOtherZone).slice(0, MAX_SUBSET_SIZE - sameZone.length);
	const subset = [...sameZone, ...otherZones].map(({targetId}) => targetId);
	routing.subsets.set(key, subset);
	return subset;
}

/**
 * Checks whether a target may serve a model. Returns true if the target has not
 * reported its models yet.
 *
 * @param modelId - model, adapter and version, or undefined for a plain service
 */
export function mayServeModel(target: TargetView, modelId: string | undefined): boolean {
	return modelId === undefined || target.load === undefined || target.load.models.includes(modelId);
}
