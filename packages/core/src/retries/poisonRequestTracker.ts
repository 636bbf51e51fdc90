/**
 * Requests that break the targets which run them. Such a request comes again
 * with the same method, path, caller and body, at any entry; a target that broke
 * while it ran one speaks against that request until one run of it is answered.
 */

/** A break told to peers: a fingerprint and the target that broke; no target tells that the request was answered. */
export type CrashUpdate = readonly [fingerprint: string, targetId: string];

/** What an entry holds against requests. */
export type PoisonRequestTracker = {
	/** Records that a target broke while it ran a request. */
	readonly recordCrash: (fingerprint: string, targetId: string, nowMs: number) => void;
	/** Records that a run was answered: whatever broke its targets before, it was another request. */
	readonly recordAnswer: (fingerprint: string) => void;
	/** Takes over what a peer has seen. */
	readonly merge: (updates: readonly CrashUpdate[], nowMs: number) => void;
	/** Whether a request is not to be run any more. */
	readonly isQuarantined: (fingerprint: string, nowMs: number) => boolean;
	/** News not told to peers yet; empties the list. */
	readonly takeUpdates: () => CrashUpdate[];
};

/** Targets that a request may break before it is no longer run: no more than the users' bound on crashed targets. */
const MAX_CRASHED_TARGETS = 3;
/** Time after its last break for which a suspicion is kept: longer than callers keep coming back. */
const RETENTION_MS = 60_000;
/** Suspicions that are kept at once; the oldest goes first. */
const MAX_TRACKED_REQUESTS = 2000;

/**
 * Creates suspicions against no request.
 *
 * @returns the suspicions
 */
export function createPoisonRequestTracker(): PoisonRequestTracker {
	const crashesByFingerprint = new Map<string, {targetIds: Set<string>; lastCrashAtMs: number}>();
	let pendingUpdates: CrashUpdate[] = [];

	const applyUpdate = (fingerprint: string, targetId: string, nowMs: number) => {
		if (targetId === '') {
			crashesByFingerprint.delete(fingerprint);
			return;
		}

		const previous = crashesByFingerprint.get(fingerprint);
		const isFresh = previous !== undefined && nowMs - previous.lastCrashAtMs <= RETENTION_MS;
		const targetIds = isFresh ? previous.targetIds : new Set<string>();
		crashesByFingerprint.delete(fingerprint);
		crashesByFingerprint.set(fingerprint, {targetIds: targetIds.add(targetId), lastCrashAtMs: nowMs});
		const [oldest] = crashesByFingerprint.keys();
		if (crashesByFingerprint.size > MAX_TRACKED_REQUESTS && oldest !== undefined) {
			crashesByFingerprint.delete(oldest);
		}
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
			const crashes = crashesByFingerprint.get(fingerprint);
			return crashes !== undefined && nowMs - crashes.lastCrashAtMs <= RETENTION_MS && crashes.targetIds.size >= MAX_CRASHED_TARGETS;
		},
		takeUpdates() {
			const updates = pendingUpdates;
			pendingUpdates = [];
			return updates;
		},
	};
}
