import {type TargetView} from '../membership/membershipState.js';
import {type EntryState} from '../reducer/entryState.js';
import {listTargetsAtRampLimit} from '../retries/targetRamps.js';
import {listFaultyZoneTargets} from '../retries/listFaultyZoneTargets.js';
import {chooseTarget} from '../routing/chooseTarget.js';
import {type RoutingDemand, toRoutingDemand} from '../routing/routingDemand.js';
import {type RequestRecord} from './requestRecord.js';

/** A target and the demand by which it was chosen. */
export type SelectedTarget = {
	readonly target: TargetView;
	readonly demand: RoutingDemand;
};

/**
 * Selects the target of a request's next attempt. Targets that are coming back
 * are given only a few at once; a retry leaves zones that are at fault, unless
 * there is no other.
 *
 * @param state - what the entry knows
 * @param record - the request
 * @param nowMs - present time
 * @returns the target, or undefined where none may take the request
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
