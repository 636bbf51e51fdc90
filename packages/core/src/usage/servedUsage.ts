import {type PeerReport, type SealedUsage, type UsageCountsByCustomer} from '../serving/servingMessages.js';

/** Counts of requests that began to run, of this entry and as told by peers, by window of the wall clock. */
export type ServedUsage = {
	readonly windowMs: number;
	/** Counts one request that began to run. */
	readonly record: (customerId: string, wallMs: number) => void;
	/** Takes over what a peer has counted so far. */
	readonly merge: (report: PeerReport) => void;
	/** Counts of this entry's latest windows, to be told to peers: those that changed since the last time, or all. */
	readonly takeOwn: (wallMs: number, isWhole: boolean) => PeerReport['usage'];
	/** Adds up a window over all entries that were ever heard of. */
	readonly sum: (windowId: number) => UsageCountsByCustomer;
	/** Windows with any count, oldest first. */
	readonly listWindows: () => readonly number[];
	/** Figures as fixed in the store, with the version of their object; undefined before it was read. */
	sealed: {version: number; windows: SealedUsage} | undefined;
	/** Windows whose report the platform has taken. */
	readonly reported: Set<number>;
	isSealing: boolean;
	readonly reporting: Set<number>;
};

/** Windows that are kept: enough for reports that wait out a long outage. */
const KEPT_WINDOWS = 24;
/** Windows whose counts are told to peers: the present one and those that may not be sealed yet. */
const TOLD_WINDOWS = 2;

/**
 * Creates empty counts.
 *
 * @param options - length of a window
 * @returns the counts
 */
export function createServedUsage({windowMs}: {windowMs: number}): ServedUsage {
	/** Counts by window, then by process, then by customer. */
	const windows = new Map<number, Map<string, Record<string, number>>>();
	const ownProcess = '';
	/** Customers by window whose own counts changed since they were last told. */
	const untold = new Map<number, Set<string>>();

	const findCounts = (windowId: number) => {
		let counts = windows.get(windowId);
		if (counts === undefined) {
			counts = new Map();
			windows.set(windowId, counts);
			if (windows.size > KEPT_WINDOWS) {
				windows.delete(Math.min(...windows.keys()));
			}
		}

		return counts;
	};

	return {
		windowMs,
		sealed: undefined,
		reported: new Set(),
		isSealing: false,
		reporting: new Set(),
		record(customerId, wallMs) {
			const windowId = Math.floor(wallMs / windowMs);
			const counts = findCounts(windowId);
			const own = counts.get(ownProcess) ?? {};
			counts.set(ownProcess, own);
			own[customerId] = (own[customerId] ?? 0) + 1;
			const changed = untold.get(windowId) ?? new Set();
			untold.set(windowId, changed.add(customerId));
		},
		merge({processId, usage}) {
			for (const [windowId, told] of usage) {
				const counts = findCounts(windowId);
				const known = counts.get(processId) ?? {};
				counts.set(processId, known);
				for (const [customerId, count] of Object.entries(told)) {
					known[customerId] = Math.max(known[customerId] ?? 0, count);
				}
			}
		},
		takeOwn(wallMs, isWhole) {
			const present = Math.floor(wallMs / windowMs);
			const told: Array<PeerReport['usage'][number]> = [];
			for (let windowId = present - TOLD_WINDOWS + 1; windowId <= present; windowId += 1) {
				const own = windows.get(windowId)?.get(ownProcess) ?? {};
				const customers = isWhole ? Object.keys(own) : [...untold.get(windowId) ?? []];
				if (customers.length > 0) {
					told.push([windowId, Object.fromEntries(customers.map(customerId => [customerId, own[customerId] ?? 0]))]);
				}
			}

			untold.clear();
			return told;
		},
		sum(windowId) {
			const sum: Record<string, number> = {};
			for (const counts of windows.get(windowId)?.values() ?? []) {
				for (const [customerId, count] of Object.entries(counts)) {
					sum[customerId] = (sum[customerId] ?? 0) + count;
				}
			}

			return sum;
		},
		listWindows: () => [...windows.keys()].toSorted((left, right) => left - right),
	};
}
