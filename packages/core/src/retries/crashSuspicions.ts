/**
 * Requests that break the targets which run them. Such a request comes again
 * with the same method, path, caller and body, at any entry; a target that broke
 * while it ran one speaks against that request until one run of it is answered.
 */

/** A break told to peers: a fingerprint and the target that broke; no target tells that the request was answered. */
export type CrashNews = readonly [fingerprint: string, targetId: string];

/** What an entry holds against requests. */
export type CrashSuspicions = {
	/** Records that a target broke while it ran a request. */
	readonly recordBreak: (fingerprint: string, targetId: string, nowMs: number) => void;
	/** Records that a run was answered: whatever broke its targets before, it was another request. */
	readonly recordAnswer: (fingerprint: string) => void;
	/** Takes over what a peer has seen. */
	readonly merge: (news: readonly CrashNews[], nowMs: number) => void;
	/** Whether a request is not to be run any more. */
	readonly isQuarantined: (fingerprint: string, nowMs: number) => boolean;
	/** News not told to peers yet; empties the list. */
	readonly takeNews: () => CrashNews[];
};

/** Targets that a request may break before it is no longer run: no more than the users' bound on crashed targets. */
const BREAK_LIMIT = 3;
/** Time after its last break for which a suspicion is kept: longer than callers keep coming back. */
const KEPT_MS = 60_000;
/** Suspicions that are kept at once; the oldest goes first. */
const KEPT_COUNT = 2000;

/**
 * Creates suspicions against no request.
 *
 * @returns the suspicions
 */
export function createCrashSuspicions(): CrashSuspicions {
	const breaks = new Map<string, {targets: Set<string>; lastAtMs: number}>();
	let news: CrashNews[] = [];

	const apply = (fingerprint: string, targetId: string, nowMs: number) => {
		if (targetId === '') {
			breaks.delete(fingerprint);
			return;
		}

		const known = breaks.get(fingerprint);
		const isFresh = known !== undefined && nowMs - known.lastAtMs <= KEPT_MS;
		const targets = isFresh ? known.targets : new Set<string>();
		breaks.delete(fingerprint);
		breaks.set(fingerprint, {targets: targets.add(targetId), lastAtMs: nowMs});
		const [oldest] = breaks.keys();
		if (breaks.size > KEPT_COUNT && oldest !== undefined) {
			breaks.delete(oldest);
		}
	};

	return {
		recordBreak(fingerprint, targetId, nowMs) {
			apply(fingerprint, targetId, nowMs);
			news.push([fingerprint, targetId]);
		},
		recordAnswer(fingerprint) {
			if (breaks.delete(fingerprint)) {
				news.push([fingerprint, '']);
			}
		},
		merge(told, nowMs) {
			for (const [fingerprint, targetId] of told) {
				apply(fingerprint, targetId, nowMs);
			}
		},
		isQuarantined(fingerprint, nowMs) {
			const known = breaks.get(fingerprint);
			return known !== undefined && nowMs - known.lastAtMs <= KEPT_MS && known.targets.size >= BREAK_LIMIT;
		},
		takeNews() {
			const taken = news;
			news = [];
			return taken;
		},
	};
}
