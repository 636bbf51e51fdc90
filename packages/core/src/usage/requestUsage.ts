import {type PeerReport, type SealedUsage, type UsageCountsByCustomer} from '../serving/servingMessages.js';

/** Counts of requests that began to run, of this entry and as told by peers, by window of the wall clock. */
export type RequestUsage = {
	readonly windowMs: number;
	/** Counts one request that began to run. */
	readonly record: (customerId: string, wallMs: number) => void;
	/** Takes over what a peer has counted so far. */
	readonly merge: (report: PeerReport) => void;
	/** Counts of this entry's latest windows, to be told to peers: those that changed since the last time, or all. */
	readonly takeLocalCounts: (wallMs: number, isFull: boolean) => PeerReport['usage'];
	/** Adds up a window over all entries that were ever heard of. */
	readonly sum: (windowId: number) => UsageCountsByCustomer;
	/** Windows with any count, oldest first. */
	readonly listWindows: () => readonly number[];
	/** Figures as fixed in the store, with the version of their object; undefined before it was read. */
	sealed: {version: number; windows: SealedUsage} | undefined;
	/** Windows whose report the platform has taken. */
	readonly reportedWindows: Set<number>;
	isStoreCallInFlight: boolean;
	readonly reportsInFlight: Set<number>;
};

/** Windows that are kept: enough for reports that wait out a long outage. */
const RETAINED_WINDOWS = 24;
/** Windows whose counts are told to peers: the present one and those that may not be sealed yet. */
const PEER_REPORT_WINDOWS = 2;

/**
 * Creates empty counts.
 *
 * @param options - length of a window
 * @returns the counts
 */
export function createRequestUsage({windowMs}: {windowMs: number}): RequestUsage {
	/** Counts by window, then by process, then by customer. */
	const countsByWindow = new Map<number, Map<string, Record<string, number>>>();
	const localProcessId = '';
	/** Customers by window whose own counts changed since they were last told. */
	const unsentCustomers = new Map<number, Set<string>>();

	const getOrCreateCounts = (windowId: number) => {
		let counts = countsByWindow.get(windowId);
		if (counts === undefined) {
			counts = new Map();
			countsByWindow.set(windowId, counts);
			if (countsByWindow.size > RETAINED_WINDOWS) {
				countsByWindow.delete(Math.min(...countsByWindow.keys()));
			}
		}

		return counts;
	};

	return {
		windowMs,
		sealed: undefined,
		reportedWindows: new Set(),
		isStoreCallInFlight: false,
		reportsInFlight: new Set(),
		record(customerId, wallMs) {
			const windowId = Math.floor(wallMs / windowMs);
			const counts = getOrCreateCounts(windowId);
			const localCounts = counts.get(localProcessId) ?? {};
			counts.set(localProcessId, localCounts);
			localCounts[customerId] = (localCounts[customerId] ?? 0) + 1;
			const unsent = unsentCustomers.get(windowId) ?? new Set();
			unsentCustomers.set(windowId, unsent.add(customerId));
		},
		merge({processId, usage}) {
			for (const [windowId, reportedCounts] of usage) {
				const counts = getOrCreateCounts(windowId);
				const knownCounts = counts.get(processId) ?? {};
				counts.set(processId, knownCounts);
				for (const [customerId, count] of Object.entries(reportedCounts)) {
					knownCounts[customerId] = Math.max(knownCounts[customerId] ?? 0, count);
				}
			}
		},
		takeLocalCounts(wallMs, isFull) {
			const currentWindowId = Math.floor(wallMs / windowMs);
			const report: Array<PeerReport['usage'][number]> = [];
			for (let windowId = currentWindowId - PEER_REPORT_WINDOWS + 1; windowId <= currentWindowId; windowId += 1) {
				const localCounts = countsByWindow.get(windowId)?.get(localProcessId) ?? {};
				const customers = isFull ? Object.keys(localCounts) : [...unsentCustomers.get(windowId) ?? []];
				if (customers.length > 0) {
					report.push([windowId, Object.fromEntries(customers.map(customerId => [customerId, localCounts[customerId] ?? 0]))]);
				}
			}

			unsentCustomers.clear();
			return report;
		},
		sum(windowId) {
			const sum: Record<string, number> = {};
			for (const counts of countsByWindow.get(windowId)?.values() ?? []) {
				for (const [customerId, count] of Object.entries(counts)) {
					sum[customerId] = (sum[customerId] ?? 0) + count;
				}
			}

			return sum;
		},
		listWindows: () => [...countsByWindow.keys()].toSorted((left, right) => left - right),
	};
}
