import {type LeaseRecord, SECOND_MS} from '@damaskspool/shared';

/** Default term of a lease. It is short enough to replace a killed holder and repair its work within ten seconds. */
export const LEASE_DURATION_MS = 4 * SECOND_MS;
/** Subtracted from the holder's term and added to a bidder's wait, since clocks may run at different rates. */
export const LEASE_MARGIN_MS = 400;

/** A lease write whose outcome is not known. */
export type LeaseWrite = {
	readonly record: LeaseRecord;
	/** Time before the write was sent. The term starts here. */
	readonly sentAtMs: number;
};

/** A lease that this process holds. */
export type HeldLease = {
	readonly epoch: number;
	readonly expiresAtMs: number;
};

/** Which entries may hold a duty. */
export type DutyScope
	= | {readonly kind: 'availabilityZone'; readonly availabilityZone: string}
		| {readonly kind: 'region'; readonly region: string}
		| {readonly kind: 'everywhere'};

/** An entry's view of the lease of one duty. */
export type DutyState = {
	readonly name: string;
	readonly scope: DutyScope;
	/** Rank of this entry among those in scope, from zero. Only the first few read the lease often. */
	rank: number;
	/** Version last seen: zero if the object does not exist, undefined before the first read. */
	version: number | undefined;
	record: LeaseRecord | undefined;
	/** Highest epoch seen in earlier eras of the store. */
	lastEpoch: number;
	/** Time on the local monotonic clock when the version was last seen to change. */
	changeSeenAtMs: number;
	held: HeldLease | undefined;
	/** Call in progress. Replies to other calls are discarded. */
	callId: string | undefined;
	/** Writes that expect the version last seen and may still take effect. */
	unconfirmedWrites: LeaseWrite[];
	/** Time of the next read or renewal. */
	nextCallAtMs: number;
};

/** The leases that an entry holds or bids for. */
export type LeaseState = {
	readonly instanceId: string;
	/** Unique for each process that runs under the same instance identifier. */
	readonly processId: string;
	/** Lease term that this process requests. */
	readonly durationMs: number;
	/**
	 * Whether a planned stop releases the duties at once. Otherwise the next
	 * holder waits until the term ends, so no holder returns within a term.
	 */
	readonly isReleasedOnStop: boolean;
	readonly duties: Map<string, DutyState>;
	/** Latest era of the store. Zero for a store that never comes back from an older copy. */
	storeEra: number;
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
	/** Duties to bid for. Defaults to the fleet duty of the availability zone and the usage duty of the region. */
	readonly duties?: ReadonlyArray<{readonly name: string; readonly scope: DutyScope}>;
};

/** A duty that is held at a given time. */
export type HeldDuty = {
	readonly epoch: number;
	readonly remainingMs: number;
};

/** Returns the name of the duty that manages the targets of an availability zone. */
export function toFleetDuty(availabilityZone: string): string {
	return `fleet/${availabilityZone}`;
}

/** Returns the name of the duty that reports the usage of a region. */
export function toUsageDuty(region: string): string {
	return `usage/${region}`;
}

/**
 * Creates the state of an entry that holds no duty. By default, the entry bids
 * for the duties of its availability zone and region.
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
		storeEra: 0,
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
		lastEpoch: 0,
		changeSeenAtMs: 0,
		held: undefined,
		callId: undefined,
		unconfirmedWrites: [],
		nextCallAtMs: 0,
	};
}

/**
 * Finds a duty that is held at a given time. Call this again immediately before
 * an effect that needs authority, since the process may have been paused after
 * the decision.
 *
 * @param nowMs - current time on the local monotonic clock
 * @returns epoch and remaining term, or undefined if the duty is not held
 */
export function findHeldDuty(state: LeaseState, dutyName: string, nowMs: number): HeldDuty | undefined {
	const held = state.duties.get(dutyName)?.held;
	return held === undefined || nowMs >= held.expiresAtMs
		? undefined
		: {epoch: held.epoch, remainingMs: held.expiresAtMs - nowMs};
}

/** Ends the local term of a duty at once. Used when another process is known to hold the duty. Changes `state`. */
export function dropDuty(state: LeaseState, dutyName: string): void {
	const duty = state.duties.get(dutyName);
	if (duty !== undefined) {
		duty.held = undefined;
	}
}

/** Counts the duties that are held at a given time. */
export function countHeldDuties(state: LeaseState, nowMs: number): number {
	return [...state.duties.keys()].filter(name => findHeldDuty(state, name, nowMs) !== undefined).length;
}
