import {type FleetRecord, type TargetRole} from '@damaskspool/shared';
import {toFleetDuty} from '../lease/leaseState.js';
import {planNoStep, type PlanZone, type ServiceDemand} from '../planning/zonePlan.js';

/** A write of the zone's orders that is not known to have taken effect. */
export type FleetWrite = {
	readonly record: FleetRecord;
	readonly expectedVersion: number;
};

/** What the fleet duty keeps of one target beside its orders. */
export type TrackedTarget = {
	role: TargetRole | undefined;
	/** When the target was first seen in its role. */
	inRoleSinceMs: number;
	/** Since when each instance list left it out; undefined while it is listed. */
	missingSinceMs: number | undefined;
	nextOfferAtMs: number;
};

/** The fleet duty of the own availability zone, whether this entry holds it or not. */
export type FleetState = {
	readonly availabilityZone: string;
	readonly dutyName: string;
	readonly planZone: PlanZone;
	/** Demand of the zone, kept up by whoever measures it. */
	demands: readonly ServiceDemand[];
	/** Epoch under which this entry has written the zone's orders; only then does it act on them. */
	ownedEpoch: number | undefined;
	/** Orders as last known to be written. */
	record: FleetRecord | undefined;
	version: number;
	/** Write under way or in doubt; nothing else is written before it is settled. */
	pendingWrite: FleetWrite | undefined;
	/** Changes to make with the next write. */
	draft: FleetRecord | undefined;
	callId: string | undefined;
	nextStoreCallAtMs: number;
	nextPlanAtMs: number;
	trackedTargets: Map<string, TrackedTarget>;
	/** Calls to the platform under way, by key, and when they may be repeated. */
	intentRetryAtMs: Map<string, number>;
	callCount: number;
};

/** Options of {@link createFleetState}. */
export type FleetStateOptions = {
	readonly availabilityZone: string;
	readonly planZone?: PlanZone;
};

/**
 * Creates the state of an entry that does not hold the fleet duty.
 *
 * @param options - the zone and its planner
 * @returns the state
 */
export function createFleetState({availabilityZone, planZone = planNoStep}: FleetStateOptions): FleetState {
	return {
		availabilityZone,
		dutyName: toFleetDuty(availabilityZone),
		planZone,
		demands: [],
		ownedEpoch: undefined,
		record: undefined,
		version: 0,
		pendingWrite: undefined,
		draft: undefined,
		callId: undefined,
		nextStoreCallAtMs: 0,
		nextPlanAtMs: 0,
		trackedTargets: new Map(),
		intentRetryAtMs: new Map(),
		callCount: 0,
	};
}

/**
 * Forgets everything that was known under an authority that is gone.
 *
 * @param fleet - state to change
 */
export function resetFleet(fleet: FleetState): void {
	fleet.ownedEpoch = undefined;
	fleet.record = undefined;
	fleet.pendingWrite = undefined;
	fleet.draft = undefined;
	fleet.callId = undefined;
	fleet.intentRetryAtMs.clear();
}
