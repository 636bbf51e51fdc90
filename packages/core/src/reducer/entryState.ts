import {type ConfigurationState, createConfigurationState} from '../configuration/configurationState.js';
import {createFleetState, type FleetState} from '../fleet/fleetState.js';
import {createLeaseState, type LeaseState} from '../lease/leaseState.js';
import {createMembershipState, type MembershipState} from '../membership/membershipState.js';
import {type PlanZone} from '../planning/zonePlan.js';
import {type RequestRecord} from '../request/requestRecord.js';
import {type RoutingPolicyName} from '../routing/routingPolicies.js';
import {createRoutingState, type RoutingState} from '../routing/routingState.js';

/** The whole state of an entry's decisions. */
export type EntryState = {
	readonly instanceId: string;
	readonly availabilityZone: string;
	isStopping: boolean;
	configuration: ConfigurationState;
	membership: MembershipState;
	routing: RoutingState;
	requests: Map<string, RequestRecord>;
	lease: LeaseState;
	fleet: FleetState;
};

/** Options of {@link createEntryState}. */
export type EntryStateOptions = {
	readonly instanceId: string;
	readonly availabilityZone: string;
	/** How targets are chosen; others than the default are there for experiments. */
	readonly routingPolicy?: RoutingPolicyName;
	readonly region?: string;
	/** Differs in each process that ever runs under the same instance identifier. */
	readonly processId?: string;
	/** Planner of the own zone's next step. */
	readonly planZone?: PlanZone;
};

/**
 * Creates the first state of an entry.
 *
 * @param options - who and where the entry is
 * @returns the state
 */
export function createEntryState(options: EntryStateOptions): EntryState {
	const {instanceId, availabilityZone, region = '', processId = instanceId, planZone} = options;
	return {
		instanceId,
		availabilityZone,
		isStopping: false,
		configuration: createConfigurationState(),
		membership: createMembershipState(),
		routing: createRoutingState(options.routingPolicy),
		requests: new Map(),
		lease: createLeaseState({
			instanceId, processId, availabilityZone, region,
		}),
		fleet: createFleetState({availabilityZone, ...(planZone !== undefined && {planZone})}),
	};
}
