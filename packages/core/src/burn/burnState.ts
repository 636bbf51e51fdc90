/** What an entry remembers of its service levels: counts in slots of time, by customer and service. */
import {MINUTE_MS, SECOND_MS} from '@damaskspool/shared';

/** Names of the spans over which burn is told. */
export const BURN_WINDOWS = {
	/** A fault that spends fast shows here first. */
	fast: {slotMs: 30 * SECOND_MS, slots: 10},
	/** A fault that goes on shows here. */
	slow: {slotMs: 5 * MINUTE_MS, slots: 12},
} as const;

/** One of {@link BURN_WINDOWS}. */
export type BurnWindowName = keyof typeof BURN_WINDOWS;

/** Counts of requests; they add up over slots, customers and entries. */
export type BurnCounts = {
	requests: number;
	failed: number;
	/** First token later than the service's goal. */
	lateFirst: number;
	/** Mean time between tokens above the service's goal. */
	lateBetween: number;
};

type BurnSlot = {index: number; counts: BurnCounts};

/** Counts of one customer's requests for one service. */
export type BurnTally = {
	readonly customerId: string;
	readonly serviceId: string;
	readonly slots: Readonly<Record<BurnWindowName, BurnSlot[]>>;
	/** Failures by error code, since the tally began. */
	readonly causes: Map<string, number>;
	lastAtMs: number;
};

/** A request whose end is not known yet. */
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
	open: Map<string, MeasuredRequest>;
	tallies: Map<string, BurnTally>;
};

/** Time after which a tally without requests is dropped: the longest window is over. */
const TALLY_RETENTION_MS = BURN_WINDOWS.slow.slotMs * BURN_WINDOWS.slow.slots;

/**
 * Creates the state of an entry that measured nothing.
 *
 * @returns an empty state
 */
export function createBurnState(): BurnState {
	return {open: new Map(), tallies: new Map()};
}

/**
 * Creates counts from some of them.
 *
 * @param counts - counts that are not zero
 * @returns all counts
 */
export function createBurnCounts(counts: Partial<BurnCounts> = {}): BurnCounts {
	return {
		requests: 0, failed: 0, lateFirst: 0, lateBetween: 0, ...counts,
	};
}

/**
 * Sums counts.
 *
 * @param parts - counts
 * @returns their sum
 */
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
 * Counts a request that ended.
 *
 * @param state - service levels to change
 * @param record - whose request, and how it went
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
 * Sums a tally over a window that ends now.
 *
 * @param tally - counts in slots
 * @param name - the window
 * @param nowMs - present time
 * @returns counts of the window
 */
export function sumBurnWindow(tally: BurnTally, name: BurnWindowName, nowMs: number): BurnCounts {
	const {slotMs, slots} = BURN_WINDOWS[name];
	const oldest = Math.floor(nowMs / slotMs) - slots;
	return sumBurnCounts(tally.slots[name].filter(({index}) => index > oldest).map(({counts}) => counts));
}

/**
 * Drops tallies that no window reaches any more.
 *
 * @param state - service levels to change
 * @param nowMs - present time
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
