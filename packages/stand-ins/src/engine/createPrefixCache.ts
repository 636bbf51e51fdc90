/** A change of the prefix cache, as engines publish it. */
export type CacheEvent = {
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted';
	readonly hash: string;
};

/** KV memory of an engine, counted in pieces: prefixes are shared and evicted, other pieces belong to one sequence. */
export type PrefixCache = {
	/** Counts the leading prefixes whose KV cache is there. */
	readonly countReady: (hashes: readonly string[]) => number;
	/** Holds memory for a sequence; false where it does not fit now. */
	readonly hold: (hashes: readonly string[], privatePieces: number) => boolean;
	/** Marks the prefixes of a sequence as computed. */
	readonly markReady: (hashes: readonly string[]) => void;
	/** Gives back what {@link PrefixCache.hold} took; computed prefixes stay until they are evicted. */
	readonly release: (hashes: readonly string[], privatePieces: number) => void;
	/** Drops every prefix that no sequence holds. */
	readonly clear: () => void;
	readonly countFree: () => number;
	readonly countCached: () => number;
};

type Entry = {holders: number; isReady: boolean};

/** Options of {@link createPrefixCache}. */
export type PrefixCacheOptions = {
	readonly pieces: number;
	readonly onEvent?: (kind: CacheEvent['kind'], hash: string) => void;
};

/**
 * Creates the KV memory of an engine. The least recently used prefix that
 * no sequence holds is evicted first.
 *
 * @param options - size, and who is told of changes
 * @returns the memory
 */
export function createPrefixCache({pieces, onEvent}: PrefixCacheOptions): PrefixCache {
	/** Least recently used first. */
	const entries = new Map<string, Entry>();
	let privateHeld = 0;

	const remove = (hash: string, entry: Entry) => {
		entries.delete(hash);
		if (entry.isReady) {
			onEvent?.('evicted', hash);
		}
	};

	const evict = (wanted: number, kept: ReadonlySet<string>): boolean => {
		for (const [hash, entry] of entries) {
			if (pieces - privateHeld - entries.size >= wanted) {
				return true;
			}

			if (entry.holders === 0 && !kept.has(hash)) {
				remove(hash, entry);
			}
		}

		return pieces - privateHeld - entries.size >= wanted;
	};

	return {
		countReady(hashes) {
			const missing = hashes.findIndex(hash => entries.get(hash)?.isReady !== true);
			return missing === -1 ? hashes.length : missing;
		},
		hold(hashes, privatePieces) {
			const added = hashes.filter(hash => !entries.has(hash)).length;
			const isAlone = privateHeld === 0 && [...entries.values()].every(entry => entry.holders === 0);
			// A sequence larger than the whole memory runs alone, as an engine pages it itself.
			if (!evict(added + privatePieces, new Set(hashes)) && !isAlone) {
				return false;
			}

			privateHeld += privatePieces;
			for (const hash of hashes) {
				const entry = entries.get(hash) ?? {holders: 0, isReady: false};
				entry.holders += 1;
				entries.delete(hash);
				entries.set(hash, entry);
			}

			return true;
		},
		markReady(hashes) {
			for (const hash of hashes) {
				const entry = entries.get(hash);
				if (entry?.isReady === false) {
					entry.isReady = true;
					onEvent?.('stored', hash);
				}
			}
		},
		release(hashes, privatePieces) {
			privateHeld -= privatePieces;
			for (const hash of hashes) {
				const entry = entries.get(hash);
				if (entry === undefined) {
					continue;
				}

				entry.holders -= 1;
				if (entry.holders === 0 && !entry.isReady) {
					remove(hash, entry);
				}
			}

			evict(0, new Set());
		},
		clear() {
			for (const [hash, entry] of entries) {
				if (entry.holders === 0) {
					remove(hash, entry);
				}
			}
		},
		countFree: () => Math.max(0, pieces - privateHeld - [...entries.values()].filter(entry => entry.holders > 0).length),
		countCached: () => entries.size,
	};
}
