/**
 * Whom an entry tells its work. Every entry needs the work of all others within
 * a fraction of the time that a prompt takes to be read, but bytes between zones
 * are dear and small machines have narrow links. So a report goes to each peer
 * of the own zone, and to a single peer of each other zone, another one each
 * time; that one passes it on within its zone with its own next report.
 */

/** A peer as the routes see it. */
export type ReportPeer = {
	readonly availabilityZone: string;
	/** Whether it was heard of lately, directly or by way of others. */
	readonly isLive: boolean;
};

/** Receivers of one report, by entry. */
export type ReportRoutes = {
	/** Peers of the own zone: they get the report, and those of other zones that are to be passed on. */
	readonly sameZonePeers: readonly string[];
	/** One peer of each other zone, which passes the report on. */
	readonly otherZonePeers: readonly string[];
};

/** Options of {@link planReportRoutes}. */
export type ReportRouteOptions = {
	readonly availabilityZone: string;
	readonly peers: ReadonlyMap<string, ReportPeer>;
	/** Number of the report: rises by one each time. */
	readonly round: number;
};

/** Reports that an entry takes in a second, of all peers together: bounds its processor time and its link. */
const MAX_REPORTS_PER_SECOND = 500;
/** Shortest time between reports: a fraction of the time that reading a prompt takes. */
const MIN_INTERVAL_MS = 40;
const SECOND_MS = 1000;

/**
 * Plans who gets the next report.
 *
 * @param options - own zone, known peers, and the number of the report
 * @returns the receivers
 */
export function planReportRoutes({availabilityZone, peers, round: round}: ReportRouteOptions): ReportRoutes {
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
		// Where nobody of a zone was heard lately, each may be the one that can be reached.
		const candidates = (liveByZone.get(zone) ?? unreachableByZone.get(zone) ?? []).toSorted();
		return candidates[round % candidates.length]!;
	});
	return {sameZonePeers: sameZonePeers, otherZonePeers: otherZonePeers};
}

/**
 * Computes the shortest time between two reports.
 *
 * @param peerCount - entries that report, besides this one
 * @returns the time in milliseconds
 */
export function computeReportInterval(peerCount: number): number {
	return Math.max(MIN_INTERVAL_MS, peerCount * SECOND_MS / MAX_REPORTS_PER_SECOND);
}
