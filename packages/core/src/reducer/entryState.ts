import {MINUTE_MS} from '@damaskspool/shared';
import {type BurnState, createBurnState} from '../burn/burnState.js';
import {type ClaimState, createClaimState} from '../claims/claimState.js';
import {type ConfigurationState, createConfigurationState} from '../configuration/configurationState.js';
import {createFleetState, type FleetState} from '../fleet/fleetState.js';
import {createLeaseState, type LeaseState} from '../lease/leaseState.js';
import {createSpreadState, type SpreadState} from '../configuration/spreadState.js';
import {createMembershipState, type MembershipState} from '../membership/membershipState.js';
import {type PlanZone} from '../planning/zonePlan.js';
import {type RequestRecord} from '../request/requestRecord.js';
import {createRetryState, type RetryState} from '../retries/retryState.js';
import {type RoutingPolicyName} from '../routing/routingPolicyNames.js';
import {createEntryUsageState, type EntryUsageState} from '../usage/entryUsage.js';
import {createUsageSealerState, type UsageSealerState} from '../usage/usageSealerState.js';
import {createDemandState, type DemandState} from '../planning/demandState.js';
import {createRoutingState, type RoutingState} from '../routing/routingState.js';

/** Length of a usage window where the settings do not say. */
const DEFAULT_USAGE_WINDOW_MS = 15 * MINUTE_MS;
/** Wait after a usage window's end where the settings do not say: longer than a flush and the longest stream. */
const DEFAULT_USAGE_GRACE_MS = 3 * MINUTE_MS;

/** The whole state of an entry's decisions. */
export type EntryState = {
	readonly instanceId: string;
	readonly availabilityZone: string;
	isStopping: boolean;
	configuration: ConfigurationState;
	membership: MembershipState;
	propagation: SpreadState;
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
	/** How targets are chosen; others than the default are there for experiments. */
	readonly routingPolicy?: RoutingPolicyName;
	readonly region?: string;
	/** Differs in each process that ever runs under the same instance identifier. */
	readonly processId?: string;
	/** Planner of the own zone's next step. */
	readonly planZone?: PlanZone;
	/** Length of a usage window. */
	readonly usageWindow?: number;
	/** Wait after a usage window's end before it is sealed. */
	readonly usageGrace?: number;
};

/**
 * Creates the first state of an entry.
 *
 * @param options - who and where the entry is
 * @returns the state
 */
export function createEntryState(options: EntryStateOptions): EntryState {
	const {instanceId, availabilityZone, region = '', processId = instanceId, planZone} = options;
	const runId = `${instanceId}~${processId}`;
	return {
		instanceId,
		availabilityZone,
		isStopping: false,
		configuration: createConfigurationState(),
		membership: createMembershipState(),
		propagation: createSpreadState(options),
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
