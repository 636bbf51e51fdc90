/**
 * Finds the part of every allotment that an entry may use together with the peers that it hears. Groups of entries that
 * do not hear one another have different members, so their parts together are at most the whole. It answers cuts between
 * entries, killed entries, and entries that start or wake.
 */
import {computeReportInterval} from '../membership/reportRoutes.js';

/** Part of the allotments of all customers that a group of entries may use. */
export type GroupStanding = {
	/** Members of the group divided by all entries; zero if the group may use nothing. */
	readonly part: number;
	/** Whether the group has more than half of the entries. There is one such group at most. */
	readonly isMajority: boolean;
	/** Number of entries, heard or not. */
	readonly entryCount: number;
};

/** The entries that an entry hears, and those it knows of. */
export type EntryGroup = {
	/** Records a report of a peer. Returns the time since the last one, `Infinity` if there was none. */
	readonly recordReport: (peerId: string, nowMs: number) => number;
	/** Sets the registered peers. */
	readonly setRegistered: (peerIds: readonly string[], nowMs: number) => void;
	/** Counts all peers as silent, because this process did not run for a time. */
	readonly recordSuspension: (nowMs: number) => void;
	readonly isLive: (peerId: string, nowMs: number) => boolean;
	readonly computeStanding: (nowMs: number) => GroupStanding;
	/** Time without a report after which a peer is no member of the group. */
	readonly getTimeoutMs: () => number;
};

/** Least time without a report after which a peer counts as silent. An idle entry reports at intervals of up to 0.5 s. */
const MIN_TIMEOUT_MS = 800;
const TIMEOUT_INTERVALS = 3;
/** Time after which a group with less than half of the entries uses nothing. Shorter than {@link RESERVE_MS}. */
const MINORITY_MS = 30_000;
/** Time for which a majority reserves the part of a silent entry. Registrations of entries that were removed stay in the store. */
const RESERVE_MS = 60_000;
/** Time for which a computed standing is used again. */
const STANDING_AGE_MS = 50;

/** Creates the group of an entry that has just started. */
export function createEntryGroup(): EntryGroup {
	const reportedAtMs = new Map<string, number>();
	const registeredAtMs = new Map<string, number>();
	let hasList = false;
	let minoritySinceMs: number | undefined;
	let standing: GroupStanding | undefined;
	let standingAtMs = 0;
	let timeoutMs = MIN_TIMEOUT_MS;

	const isLive = (peerId: string, nowMs: number) => nowMs - (reportedAtMs.get(peerId) ?? Number.NEGATIVE_INFINITY) <= timeoutMs;

	const computeStanding = (nowMs: number): GroupStanding => {
		const peerIds = new Set([...registeredAtMs.keys(), ...reportedAtMs.keys()]);
		timeoutMs = Math.max(MIN_TIMEOUT_MS, TIMEOUT_INTERVALS * computeReportInterval(peerIds.size));
		let memberCount = 1;
		let reservedCount = 0;
		for (const peerId of peerIds) {
			const lastMs = Math.max(reportedAtMs.get(peerId) ?? Number.NEGATIVE_INFINITY, registeredAtMs.get(peerId) ?? Number.NEGATIVE_INFINITY);
			if (isLive(peerId, nowMs)) {
				memberCount += 1;
			} else if (nowMs - lastMs <= RESERVE_MS) {
				reservedCount += 1;
			} else if (!registeredAtMs.has(peerId)) {
				reportedAtMs.delete(peerId);
			}
		}

		const hasMajorityOfAll = memberCount * 2 > 1 + peerIds.size;
		const entryCount = hasMajorityOfAll ? memberCount + reservedCount : 1 + peerIds.size;
		minoritySinceMs = memberCount * 2 < entryCount ? minoritySinceMs ?? nowMs : undefined;
		const hasLapsed = minoritySinceMs !== undefined && nowMs - minoritySinceMs > MINORITY_MS;
		const isAlone = !hasList && memberCount === 1;
		return {part: hasLapsed || isAlone ? 0 : memberCount / entryCount, isMajority: !isAlone && hasMajorityOfAll, entryCount};
	};

	return {
		recordReport(peerId, nowMs) {
			const silentMs = nowMs - (reportedAtMs.get(peerId) ?? Number.NEGATIVE_INFINITY);
			reportedAtMs.set(peerId, nowMs);
			if (silentMs > timeoutMs) {
				standing = undefined;
			}

			return silentMs;
		},
		setRegistered(peerIds, nowMs) {
			hasList = true;
			standing = undefined;
			const listed = new Set(peerIds);
			for (const peerId of registeredAtMs.keys()) {
				if (!listed.has(peerId)) {
					registeredAtMs.delete(peerId);
				}
			}

			for (const peerId of peerIds) {
				registeredAtMs.set(peerId, registeredAtMs.get(peerId) ?? nowMs);
			}
		},
		recordSuspension(nowMs) {
			standing = undefined;
			for (const [peerId, atMs] of reportedAtMs) {
				reportedAtMs.set(peerId, Math.min(atMs, nowMs - timeoutMs - 1));
			}
		},
		isLive,
		computeStanding(nowMs) {
			if (standing === undefined || nowMs - standingAtMs >= STANDING_AGE_MS) {
				standing = computeStanding(nowMs);
				standingAtMs = nowMs;
			}

			return standing;
		},
		getTimeoutMs: () => timeoutMs,
	};
}
