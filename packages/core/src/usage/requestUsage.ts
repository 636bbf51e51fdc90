import {type PeerReport, type SealedUsage, type UsageCountsByCustomer} from '../serving/servingMessages.js';

/** Counts of requests that began to run, from this entry and its peers, by window of wall-clock time. */
export type RequestUsage = {
	readonly windowMs: number;
	/** Counts one request that began to run. */
	readonly record: (customerId: string, wallMs: number) => void;
	/** Merges the counts that a peer reported. Keeps the higher count for each process and customer. */
	readonly merge: (report: PeerReport) => void;
	/**
	 * Returns this entry's counts of the latest windows, to be sent to peers: all counts if `isFull`,
	 * otherwise those that changed since the last call. Marks all changes as sent.
	 */
	readonly takeLocalCounts: (wallMs: number, isFull: boolean) => PeerReport['usage'];
	/** Sums a window's counts over all processes that ever reported, including those that have ended. */
	readonly sum: (windowId: number) => UsageCountsByCustomer;
	/** Lists the windows that have counts, oldest first. */
	readonly listWindows: () => readonly number[];
	/** Sealed figures in the store and the version of their object. Undefined until the object is read. */
	sealed: {version: number; windows: SealedUsage} | undefined;
	/** Windows whose report the platform has accepted. */
	readonly reportedWindows: Set<number>;
	/** Figures that were sealed in any era of the store, by window, as this entry or a peer has seen them. */
	readonly knownSealed: Map<number, UsageCountsByCustomer>;
	/** Windows for which different figures were seen. None of them is reported. */
	readonly disputedWindows: Set<number>;
	/** Records sealed figures. Returns the windows that became disputed. */
	readonly recordSealed: (windows: SealedUsage) => readonly number[];
	/** Returns figures that this entry has sealed and not reported to its peers often enough. */
	readonly takeSealedForPeers: () => PeerReport['sealed'];
	/** Records that this entry has sealed windows, so that peers are told. */
	readonly enqueueSealed: (windowIds: readonly number[]) => void;
	/**
	 * Wall-clock time at which this entry first saw the current era of the store. Windows that were due before may have
	 * been sealed and reported in an earlier era.
	 */
	eraSeenAtWallMs: number;
	/** Whether a read or write of the sealed figures is in progress. */
	isStoreCallInFlight: boolean;
	/** Windows whose report to the platform is in progress. */
	readonly reportsInFlight: Set<number>;
};

/** Number of windows whose counts are retained: enough to report them after a long outage. */
const RETAINED_WINDOWS = 24;
/** Number of reports to peers that carry the figures of a window that this entry has sealed. Reports may be lost. */
const SEALED_ANNOUNCEMENTS = 3;
/** Number of windows whose counts are sent to peers: the current one and those that may not be sealed yet. */
const PEER_REPORT_WINDOWS = 2;

/** Creates empty counts. */
export function createRequestUsage({windowMs}: {windowMs: number}): RequestUsage {
	/** Counts by window, process and customer. */
	const countsByWindow = new Map<number, Map<string, Record<string, number>>>();
	const localProcessId = '';
	const knownSealed = new Map<number, UsageCountsByCustomer>();
	const disputedWindows = new Set<number>();
	/** Remaining number of reports to peers, by window that this entry has sealed. */
	const announcements = new Map<number, number>();
	/** By window, the customers whose local counts changed since they were last sent to peers. */
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
		knownSealed,
		disputedWindows,
		eraSeenAtWallMs: Number.NEGATIVE_INFINITY,
		recordSealed(windows) {
			const newlyDisputed: number[] = [];
			for (const [id, counts] of Object.entries(windows)) {
				const windowId = Number(id);
				const known = knownSealed.get(windowId);
				if (known === undefined) {
					knownSealed.set(windowId, counts);
				} else if (!hasSameCounts(known, counts) && !disputedWindows.has(windowId)) {
					disputedWindows.add(windowId);
					newlyDisputed.push(windowId);
				}
			}

			while (knownSealed.size > RETAINED_WINDOWS) {
				knownSealed.delete(Math.min(...knownSealed.keys()));
			}

			return newlyDisputed;
		},
		enqueueSealed(windowIds) {
			for (const windowId of windowIds) {
				announcements.set(windowId, SEALED_ANNOUNCEMENTS);
			}
		},
		takeSealedForPeers() {
			const sealed: Array<PeerReport['sealed'][number]> = [];
			for (const [windowId, remaining] of announcements) {
				const counts = knownSealed.get(windowId);
				if (counts !== undefined) {
					sealed.push([windowId, counts]);
				}

				if (remaining > 1) {
					announcements.set(windowId, remaining - 1);
				} else {
					announcements.delete(windowId);
				}
			}

			return sealed;
		},
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

function hasSameCounts(left: UsageCountsByCustomer, right: UsageCountsByCustomer): boolean {
	const customers = Object.keys(left);
	return customers.length === Object.keys(right).length && customers.every(customerId => left[customerId] === right[customerId]);
}
