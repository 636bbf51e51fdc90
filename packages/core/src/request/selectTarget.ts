import {type TargetView} from '../membership/membershipState.js';
import {type EntryState} from '../reducer/entryState.js';
import {listTargetsAtRampLimit} from '../retries/targetRamps.js';
import {listFaultyZoneTargets} from '../retries/listFaultyZoneTargets.js';
import {chooseTarget} from '../routing/chooseTarget.js';
import {type RoutingDemand, toRoutingDemand} from '../routing/routingDemand.js';
import {type RequestRecord} from './requestRecord.js';

/** Selected target and the demand for which it was selected. */
export type SelectedTarget = {
	readonly target: TargetView;
	readonly demand: RoutingDemand;
};

/**
 * Selects the target for the next attempt of a request. Excludes targets that have
 * reached their slow start limit. A retry avoids faulty zones if a target is
 * available elsewhere.
 *
 * @returns the target, or undefined if no target is eligible
 */
export function selectTarget(state: EntryState, record: RequestRecord, nowMs: number): SelectedTarget | undefined {
	const {membership, retries, instanceId} = state;
	const limitedTargetIds = listTargetsAtRampLimit(retries.ramps, targetId => membership.targets.get(targetId)?.inFlight ?? 0);
	const demand = excludeTargets(toRoutingDemand(record), limitedTargetIds);
	const faultyZoneTargetIds = record.attemptCount > 0 ? listFaultyZoneTargets(membership, record.service.serviceId) : [];
	const chooseFor = (candidateDemand: RoutingDemand) => chooseTarget({
		...state, entryId: instanceId, nowMs, demand: candidateDemand,
	});
	const target = (faultyZoneTargetIds.length > 0 ? chooseFor(excludeTargets(demand, faultyZoneTargetIds)) : undefined) ?? chooseFor(demand);
	return target === undefined ? undefined : {target, demand};
}

function excludeTargets(demand: RoutingDemand, targetIds: readonly string[]): RoutingDemand {
	return targetIds.length === 0
		? demand
		: {...demand, excludedTargetIds: new Set([...demand.excludedTargetIds, ...targetIds])};
}
