/** Service levels of an entry: request counts in time slots, by customer and service. */
import {MINUTE_MS, SECOND_MS} from '@damaskspool/shared';

/** Windows over which the burn rate is computed. */
export const BURN_WINDOWS = {
	/** Shows a fault that spends the budget quickly. */
	fast: {slotMs: 30 * SECOND_MS, slots: 10},
	/** Shows a fault that persists. */
	slow: {slotMs: 5 * MINUTE_MS, slots: 12},
} as const;

/** One of {@link BURN_WINDOWS}. */
export type BurnWindowName = keyof typeof BURN_WINDOWS;

/** Request counts, which can be summed over slots, customers and entries. */
export type BurnCounts = {
	requests: number;
	failed: number;
	/** Requests whose first token came later than the latency objective of the service. */
	lateFirst: number;
	/** Requests whose mean time between tokens exceeds the latency objective of the service. */
	lateBetween: number;
};

type BurnSlot = {index: number; counts: BurnCounts};

/** Counts of the requests of one customer to one service. */
export type BurnTally = {
	readonly customerId: string;
	readonly serviceId: string;
	readonly slots: Readonly<Record<BurnWindowName, BurnSlot[]>>;
	/** Failures by error code since the tally was created. */
	readonly causes: Map<string, number>;
	/** When the last request was recorded. */
	lastAtMs: number;
};

/** A request that has not ended yet. */
export type MeasuredRequest = {
	readonly customerId: string;
	readonly serviceId: string;
	readonly receivedAtMs: number;
	readonly firstTokenGoalMs: number;
	readonly betweenTokensGoalMs: number;
	readonly isModel: boolean;
	firstTokenAtMs: number | undefined;
};

/** The service levels of an entry. */
export type BurnState = {
	/** Requests that have not ended, by request identifier. */
	open: Map<string, MeasuredRequest>;
	tallies: Map<string, BurnTally>;
};

/** Time without requests after which a tally is dropped. It is the length of the longest window. */
const TALLY_RETENTION_MS = BURN_WINDOWS.slow.slotMs * BURN_WINDOWS.slow.slots;

/**
 * Creates the state of an entry that has measured no requests.
 */
export function createBurnState(): BurnState {
	return {open: new Map(), tallies: new Map()};
}

/**
 * Creates a full set of counts.
 *
 * @param counts - counts that are not zero
 */
export function createBurnCounts(counts: Partial<BurnCounts> = {}): BurnCounts {
	return {
		requests: 0, failed: 0, lateFirst: 0, lateBetween: 0, ...counts,
	};
}

/** Sums request counts. */
export function sumBurnCounts(parts: readonly BurnCounts[]): BurnCounts {
	const sum = createBurnCounts();
	for (const part of parts) {
		sum.requests += part.requests;
		sum.failed += part.failed;
		sum.lateFirst += part.lateFirst;
		sum.lateBetween += part.lateBetween;
	}

	return sum;
}

/** Options of {@link recordBurn}. */
export type RecordBurnOptions = {
	readonly customerId: string;
	readonly serviceId: string;
	readonly counts: BurnCounts;
	/** Error code of a failure. */
	readonly cause?: string;
	readonly nowMs: number;
};

/**
 * Records a request that ended.
 *
 * @param state - service levels, modified in place
 * @param options - customer, service, counts and the cause of a failure
 */
export function recordBurn(state: BurnState, {customerId, serviceId, counts, cause, nowMs}: RecordBurnOptions): void {
	const key = `${serviceId} ${customerId}`;
	let tally = state.tallies.get(key);
	if (tally === undefined) {
		tally = {
			customerId, serviceId, slots: {fast: [], slow: []}, causes: new Map(), lastAtMs: nowMs,
		};
		state.tallies.set(key, tally);
	}

	tally.lastAtMs = nowMs;
	for (const name of Object.keys(BURN_WINDOWS) as BurnWindowName[]) {
		recordInSlot(tally.slots[name], name, counts, nowMs);
	}

	if (cause !== undefined) {
		tally.causes.set(cause, (tally.causes.get(cause) ?? 0) + 1);
	}
}

/**
 * Sums the counts of a tally over a window that ends now.
 *
 * @param tally - counts in time slots
 * @param name - name of the window
 * @param nowMs - current time
 */
export function sumBurnWindow(tally: BurnTally, name: BurnWindowName, nowMs: number): BurnCounts {
	const {slotMs, slots} = BURN_WINDOWS[name];
	const oldest = Math.floor(nowMs / slotMs) - slots;
	return sumBurnCounts(tally.slots[name].filter(({index}) => index > oldest).map(({counts}) => counts));
}

/**
 * Drops tallies whose last request lies before the longest window.
 *
 * @param state - service levels, modified in place
 * @param nowMs - current time
 */
export function expireTallies(state: BurnState, nowMs: number): void {
	for (const [key, {lastAtMs}] of state.tallies) {
		if (lastAtMs + TALLY_RETENTION_MS <= nowMs) {
			state.tallies.delete(key);
		}
	}
}

function recordInSlot(tallySlots: BurnSlot[], name: BurnWindowName, counts: BurnCounts, nowMs: number): void {
	const {slotMs, slots} = BURN_WINDOWS[name];
	const index = Math.floor(nowMs / slotMs);
	const last = tallySlots.at(-1);
	if (last?.index === index) {
		last.counts = sumBurnCounts([last.counts, counts]);
		return;
	}

	tallySlots.push({index, counts});
	if (tallySlots.length > slots) {
		tallySlots.shift();
	}
}
