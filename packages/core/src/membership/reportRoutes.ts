/**
 * Selects the peers that receive an entry's reports of its work in progress.
 * Every entry needs the work of all others within a fraction of the prefill time
 * of a prompt, but traffic between zones is expensive and small instances have
 * little bandwidth. An entry therefore sends each report to every peer in its own
 * zone and to a single peer in each other zone. That peer changes with each round
 * and forwards the report within its zone, together with its own next report.
 */

/** Data about a peer that the choice of recipients depends on. */
export type ReportPeer = {
	readonly availabilityZone: string;
	/** Whether a recent report of the peer arrived, directly or forwarded by other peers. */
	readonly isLive: boolean;
};

/** Recipients of one report, as entry identifiers. */
export type ReportRoutes = {
	/** All peers in the entry's zone. They receive the report and the reports forwarded from other zones. */
	readonly sameZonePeers: readonly string[];
	/** One peer in each other zone, which forwards the report within its zone. */
	readonly otherZonePeers: readonly string[];
};

/** Options of {@link planReportRoutes}. */
export type ReportRouteOptions = {
	readonly availabilityZone: string;
	readonly peers: ReadonlyMap<string, ReportPeer>;
	/** Sequence number of the report. It increases by one with each report. */
	readonly round: number;
};

/** Maximum number of reports that an entry receives per second from all peers together. Limits its CPU time and bandwidth. */
const MAX_REPORTS_PER_SECOND = 500;
/** Minimum time between two reports: a fraction of the prefill time of a prompt. */
const MIN_INTERVAL_MS = 40;
const SECOND_MS = 1000;

/** Plans which peers receive the next report. */
export function planReportRoutes({availabilityZone, peers, round}: ReportRouteOptions): ReportRoutes {
	const sameZonePeers: string[] = [];
	const liveByZone = new Map<string, string[]>();
	const unreachableByZone = new Map<string, string[]>();
	for (const [entryId, peer] of peers) {
		if (peer.availabilityZone === availabilityZone) {
			sameZonePeers.push(entryId);
			continue;
		}

		const byZone = peer.isLive ? liveByZone : unreachableByZone;
		byZone.set(peer.availabilityZone, [...byZone.get(peer.availabilityZone) ?? [], entryId]);
	}

	const zones = new Set([...liveByZone.keys(), ...unreachableByZone.keys()]);
	const otherZonePeers = [...zones].map(zone => {
		// If no peer of a zone is live, any of them may still be reachable, so all of them are tried in rotation.
		const candidates = (liveByZone.get(zone) ?? unreachableByZone.get(zone) ?? []).toSorted();
		return candidates[round % candidates.length]!;
	});
	return {sameZonePeers, otherZonePeers};
}

/**
 * Computes the minimum time between two reports.
 *
 * @param peerCount - number of reporting entries, without this one
 * @returns the time in milliseconds
 */
export function computeReportInterval(peerCount: number): number {
	return Math.max(MIN_INTERVAL_MS, peerCount * SECOND_MS / MAX_REPORTS_PER_SECOND);
}
