import {MINUTE_MS} from '@damaskspool/shared';
import {type BurnState, createBurnState} from '../burn/burnState.js';
import {type ClaimState, createClaimState} from '../claims/claimState.js';
import {type ConfigurationState, createConfigurationState} from '../configuration/configurationState.js';
import {createFleetState, type FleetState} from '../fleet/fleetState.js';
import {createLeaseState, type LeaseState} from '../lease/leaseState.js';
import {createPropagationState, type PropagationState} from '../configuration/propagationState.js';
import {createMembershipState, type MembershipState} from '../membership/membershipState.js';
import {type PlanZone} from '../planning/zonePlan.js';
import {type RequestRecord} from '../request/requestRecord.js';
import {createRetryState, type RetryState} from '../retries/retryState.js';
import {type RoutingPolicyName} from '../routing/routingPolicyNames.js';
import {createEntryUsageState, type EntryUsageState} from '../usage/entryUsage.js';
import {createUsageSealerState, type UsageSealerState} from '../usage/usageSealerState.js';
import {createDemandState, type DemandState} from '../planning/demandState.js';
import {createRoutingState, type RoutingState} from '../routing/routingState.js';

/** Default length of a usage window. */
const DEFAULT_USAGE_WINDOW_MS = 15 * MINUTE_MS;
/** Default delay between the end of a usage window and its seal: longer than a flush interval and the longest stream. */
const DEFAULT_USAGE_GRACE_MS = 3 * MINUTE_MS;

/** State of an entry's reducer. */
export type EntryState = {
	readonly instanceId: string;
	readonly availabilityZone: string;
	isStopping: boolean;
	configuration: ConfigurationState;
	membership: MembershipState;
	propagation: PropagationState;
	routing: RoutingState;
	demand: DemandState;
	requests: Map<string, RequestRecord>;
	retries: RetryState;
	claims: ClaimState;
	lease: LeaseState;
	fleet: FleetState;
	burn: BurnState;
	usage: EntryUsageState;
	usageSealer: UsageSealerState;
};

/** Options of {@link createEntryState}. */
export type EntryStateOptions = {
	readonly instanceId: string;
	readonly availabilityZone: string;
	/** Policy that selects targets. Policies other than the default are for experiments. */
	readonly routingPolicy?: RoutingPolicyName;
	readonly region?: string;
	/** Unique among all processes that ever run under this instance identifier. */
	readonly processId?: string;
	/** Function that plans the next step of the local availability zone. */
	readonly planZone?: PlanZone;
	/** Length of a usage window, in milliseconds. */
	readonly usageWindow?: number;
	/** Delay between the end of a usage window and its seal, in milliseconds. */
	readonly usageGrace?: number;
};

/** Creates the initial state of an entry. */
export function createEntryState(options: EntryStateOptions): EntryState {
	const {instanceId, availabilityZone, region = '', processId = instanceId, planZone} = options;
	const runId = `${instanceId}~${processId}`;
	return {
		instanceId,
		availabilityZone,
		isStopping: false,
		configuration: createConfigurationState(),
		membership: createMembershipState(),
		propagation: createPropagationState(options),
		routing: createRoutingState(options.routingPolicy),
		demand: createDemandState(),
		requests: new Map(),
		retries: createRetryState(),
		claims: createClaimState(runId),
		lease: createLeaseState({
			instanceId, processId, availabilityZone, region,
		}),
		fleet: createFleetState({availabilityZone, ...(planZone !== undefined && {planZone})}),
		burn: createBurnState(),
		usage: createEntryUsageState(region, runId),
		usageSealer: createUsageSealerState({
			region,
			instanceId,
			runId,
			windowMs: options.usageWindow ?? DEFAULT_USAGE_WINDOW_MS,
			graceMs: options.usageGrace ?? DEFAULT_USAGE_GRACE_MS,
		}),
	};
}
