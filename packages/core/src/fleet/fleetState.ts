import {type FleetRecord, type TargetRole} from '@damaskspool/shared';
import {toFleetDuty} from '../lease/leaseState.js';
import {planNoStep, type PlanZone, type ServiceDemand} from '../planning/zonePlan.js';

/** A write of the fleet record that is not known to have taken effect. */
export type FleetWrite = {
	readonly record: FleetRecord;
	readonly expectedVersion: number;
};

/** State of one target that the fleet duty tracks in addition to the fleet record. */
export type TrackedTarget = {
	role: TargetRole | undefined;
	/** When the target was first seen in its current role. */
	inRoleSinceMs: number;
	/** Time of the first instance list that omitted the target; undefined while it is listed. */
	missingSinceMs: number | undefined;
	nextOfferAtMs: number;
};

/** State of the fleet duty of the local availability zone, whether or not this entry holds the duty. */
export type FleetState = {
	readonly availabilityZone: string;
	readonly dutyName: string;
	readonly planZone: PlanZone;
	/** Demand in the zone by service, updated by the demand handlers. */
	demands: readonly ServiceDemand[];
	/** Epoch under which this entry has written the fleet record. It acts on the record only under this epoch. */
	ownedEpoch: number | undefined;
	/** Fleet record as last known to be stored. */
	record: FleetRecord | undefined;
	version: number;
	/** Write in flight or with an unknown result. Nothing else is written until it is settled. */
	pendingWrite: FleetWrite | undefined;
	/** Record to write next. */
	draft: FleetRecord | undefined;
	callId: string | undefined;
	nextStoreCallAtMs: number;
	nextPlanAtMs: number;
	trackedTargets: Map<string, TrackedTarget>;
	/** Earliest retry of each call to the platform, by the key of its intent. */
	intentRetryAtMs: Map<string, number>;
	callCount: number;
};

/** Options of {@link createFleetState}. */
export type FleetStateOptions = {
	readonly availabilityZone: string;
	readonly planZone?: PlanZone;
};

/** Creates the state of an entry that does not hold the fleet duty. */
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

/** Clears everything that is valid only while this entry holds the duty under one epoch. Mutates `fleet`. */
export function resetFleet(fleet: FleetState): void {
	fleet.ownedEpoch = undefined;
	fleet.record = undefined;
	fleet.pendingWrite = undefined;
	fleet.draft = undefined;
	fleet.callId = undefined;
	fleet.intentRetryAtMs.clear();
}
