import {type LeaseRecord, SECOND_MS} from '@damaskspool/shared';

/** Term of a lease: short enough that a killed holder is replaced and its work repaired within ten seconds. */
export const LEASE_DURATION_MS = 4 * SECOND_MS;
/** Taken off the holder's term and added to a bidder's wait: covers clocks that run at different rates. */
export const LEASE_MARGIN_MS = 400;

/** A write whose effect is not known yet, or not known to have failed. */
export type LeaseWrite = {
	readonly record: LeaseRecord;
	/** Read before the write was sent: the term counts from here. */
	readonly sentAtMs: number;
};

/** A lease that this process took. */
export type HeldLease = {
	readonly epoch: number;
	readonly expiresAtMs: number;
};

/** Which entries may hold a duty. */
export type DutyScope
	= | {readonly kind: 'availabilityZone'; readonly availabilityZone: string}
		| {readonly kind: 'region'; readonly region: string}
		| {readonly kind: 'everywhere'};

/** What an entry knows of the lease of one duty. */
export type DutyState = {
	readonly name: string;
	readonly scope: DutyScope;
	/** Place of this entry among those in scope; only the first few read the lease often. */
	rank: number;
	/** Version last seen; zero where the object does not exist, undefined before the first read. */
	version: number | undefined;
	record: LeaseRecord | undefined;
	/** When the version was last seen to change, by this process's own clock. */
	changeSeenAtMs: number;
	held: HeldLease | undefined;
	/** Call under way; the reply to any other is discarded. */
	callId: string | undefined;
	/** Writes against the version last seen that may still take effect. */
	unconfirmedWrites: LeaseWrite[];
	/** Next time to read or renew. */
	nextCallAtMs: number;
};

/** The leases that an entry holds or bids for. */
export type LeaseState = {
	readonly instanceId: string;
	/** Differs in each process that ever runs under the same instance identifier. */
	readonly processId: string;
	/** Term that this process asks for. */
	readonly durationMs: number;
	/** Whether a planned stop ends the term at once; else a successor waits it out, so that no holder returns within a term. */
	readonly isReleasedOnStop: boolean;
	readonly duties: Map<string, DutyState>;
	callCount: number;
};

/** Options of {@link createLeaseState}. */
export type LeaseStateOptions = {
	readonly instanceId: string;
	readonly processId: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly durationMs?: number;
	readonly isReleasedAtStop?: boolean;
	/** Duties to bid for; those of the zone's fleet and the region's usage where left out. */
	readonly duties?: ReadonlyArray<{readonly name: string; readonly scope: DutyScope}>;
};

/** A duty that is held now. */
export type HeldDuty = {
	readonly epoch: number;
	readonly remainingMs: number;
};

/**
 * Names the duty over the targets of an availability zone.
 *
 * @param availabilityZone - the zone
 * @returns the duty's name
 */
export function toFleetDuty(availabilityZone: string): string {
	return `fleet/${availabilityZone}`;
}

/**
 * Names the duty over the usage reports of a region.
 *
 * @param region - the region
 * @returns the duty's name
 */
export function toUsageDuty(region: string): string {
	return `usage/${region}`;
}

/**
 * Creates the state of an entry that holds nothing and bids for the duties of
 * its availability zone and region.
 *
 * @param options - who and where the entry is
 * @returns the state
 */
export function createLeaseState(options: LeaseStateOptions): LeaseState {
	const {instanceId, processId, availabilityZone, region, durationMs = LEASE_DURATION_MS, isReleasedAtStop: isReleasedOnStop = true} = options;
	const duties = options.duties ?? [
		{name: toFleetDuty(availabilityZone), scope: {kind: 'availabilityZone', availabilityZone}},
		{name: toUsageDuty(region), scope: {kind: 'region', region}},
	];
	return {
		instanceId,
		processId,
		durationMs,
		isReleasedOnStop,
		duties: new Map(duties.map(({name, scope}) => [name, createDuty(name, scope)])),
		callCount: 0,
	};
}

function createDuty(name: string, scope: DutyScope): DutyState {
	return {
		name,
		scope,
		rank: 0,
		version: undefined,
		record: undefined,
		changeSeenAtMs: 0,
		held: undefined,
		callId: undefined,
		unconfirmedWrites: [],
		nextCallAtMs: 0,
	};
}

/**
 * Finds whether a duty is held at a given time. To be asked again just before
 * any effect that needs authority is carried out, since the process may have
 * been paused since the decision.
 *
 * @param state - leases of this entry
 * @param dutyName - the duty
 * @param nowMs - present time on the own monotonic clock
 * @returns epoch and remaining term, or undefined where the duty is not held
 */
export function findHeldDuty(state: LeaseState, dutyName: string, nowMs: number): HeldDuty | undefined {
	const held = state.duties.get(dutyName)?.held;
	return held === undefined || nowMs >= held.expiresAtMs
		? undefined
		: {epoch: held.epoch, remainingMs: held.expiresAtMs - nowMs};
}

/**
 * Ends a term at once: something proved that another process holds the duty.
 *
 * @param state - leases of this entry, changed
 * @param dutyName - the duty
 */
export function dropDuty(state: LeaseState, dutyName: string): void {
	const duty = state.duties.get(dutyName);
	if (duty !== undefined) {
		duty.held = undefined;
	}
}

/**
 * Counts the duties that are held at a given time.
 *
 * @param state - leases of this entry
 * @param nowMs - present time
 * @returns their number
 */
export function countHeldDuties(state: LeaseState, nowMs: number): number {
	return [...state.duties.keys()].filter(name => findHeldDuty(state, name, nowMs) !== undefined).length;
}
