/**
 * Tracks poison requests: requests that crash the targets that run them. Callers
 * may send such a request again, to any entry. It is recognized by its fingerprint,
 * a hash of method, path, caller and body. Each target that crashes while it runs
 * the request counts against it until an attempt of the request is answered.
 */
import {setNewest} from '@damaskspool/shared';

/** Crash that is reported to peers: the request's fingerprint and the target that crashed. An empty target identifier reports that the request was answered. */
export type CrashUpdate = readonly [fingerprint: string, targetId: string];

/** Crashes that an entry has recorded, by request. */
export type PoisonRequestTracker = {
	/** Records that a target crashed while it ran a request. */
	readonly recordCrash: (fingerprint: string, targetId: string, nowMs: number) => void;
	/** Records that a request was answered. This clears its crashes, because another request must have caused them. */
	readonly recordAnswer: (fingerprint: string) => void;
	/** Merges the updates reported by a peer. */
	readonly merge: (updates: readonly CrashUpdate[], nowMs: number) => void;
	/** Returns whether the request must not run any more. */
	readonly isQuarantined: (fingerprint: string, nowMs: number) => boolean;
	/** Lists the targets that crashed while they ran a request. Another run belongs elsewhere, so that each run can count. */
	readonly listCrashedTargets: (fingerprint: string, nowMs: number) => readonly string[];
	/** Returns the updates that are not reported to peers yet, and clears them. */
	readonly takeUpdates: () => CrashUpdate[];
};

/** Number of crashed targets at which a request is quarantined. It must not exceed the limit on crashed targets that users require. */
const MAX_CRASHED_TARGETS = 3;
/** Time for which a request's crashes are retained after the last one. Callers do not retry for this long. */
const RETENTION_MS = 60_000;
/** Maximum number of requests with recorded crashes. The one with the oldest last crash is dropped first. */
const MAX_TRACKED_REQUESTS = 2000;

/** Creates a tracker without recorded crashes. */
export function createPoisonRequestTracker(): PoisonRequestTracker {
	const crashesByFingerprint = new Map<string, {targetIds: Set<string>; lastCrashAtMs: number}>();
	let pendingUpdates: CrashUpdate[] = [];

	const findRecentCrashes = (fingerprint: string, nowMs: number) => {
		const crashes = crashesByFingerprint.get(fingerprint);
		return crashes !== undefined && nowMs - crashes.lastCrashAtMs <= RETENTION_MS ? crashes : undefined;
	};

	const applyUpdate = (fingerprint: string, targetId: string, nowMs: number) => {
		if (targetId === '') {
			crashesByFingerprint.delete(fingerprint);
			return;
		}

		const targetIds = findRecentCrashes(fingerprint, nowMs)?.targetIds ?? new Set<string>();
		setNewest(crashesByFingerprint, {key: fingerprint, value: {targetIds: targetIds.add(targetId), lastCrashAtMs: nowMs}, maxSize: MAX_TRACKED_REQUESTS});
	};

	return {
		recordCrash(fingerprint, targetId, nowMs) {
			applyUpdate(fingerprint, targetId, nowMs);
			pendingUpdates.push([fingerprint, targetId]);
		},
		recordAnswer(fingerprint) {
			if (crashesByFingerprint.delete(fingerprint)) {
				pendingUpdates.push([fingerprint, '']);
			}
		},
		merge(updates, nowMs) {
			for (const [fingerprint, targetId] of updates) {
				applyUpdate(fingerprint, targetId, nowMs);
			}
		},
		isQuarantined(fingerprint, nowMs) {
			const crashes = findRecentCrashes(fingerprint, nowMs);
			return crashes !== undefined && crashes.targetIds.size >= MAX_CRASHED_TARGETS;
		},
		listCrashedTargets: (fingerprint, nowMs) => [...findRecentCrashes(fingerprint, nowMs)?.targetIds ?? []],
		takeUpdates() {
			const updates = pendingUpdates;
			pendingUpdates = [];
			return updates;
		},
	};
}
