/** A change of the prefix cache, as engines publish it. */
export type CacheEvent = {
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted';
	readonly hash: string;
};

/** KV memory of an engine, counted in pieces: prefixes are shared and evicted, other pieces belong to one sequence. */
export type PrefixCache = {
	/** Counts the leading prefixes whose KV cache is there. */
	readonly countComputedBlocks: (hashes: readonly string[]) => number;
	/** Holds memory for a sequence; false where it does not fit now. */
	readonly acquire: (hashes: readonly string[], privateBlocks: number) => boolean;
	/** Marks the prefixes of a sequence as computed. */
	readonly setComputed: (hashes: readonly string[]) => void;
	/** Gives back what {@link PrefixCache.acquire} took; computed prefixes stay until they are evicted. */
	readonly release: (hashes: readonly string[], privateBlocks: number) => void;
	/** Drops every prefix that no sequence holds. */
	readonly clear: () => void;
	readonly countFreeBlocks: () => number;
	readonly countCachedBlocks: () => number;
};

type Entry = {referenceCount: number; isComputed: boolean};

/** Options of {@link createPrefixCache}. */
export type PrefixCacheOptions = {
	readonly blockCount: number;
	readonly onEvent?: (kind: CacheEvent['kind'], hash: string) => void;
};

/**
 * Creates the KV memory of an engine. The least recently used prefix that
 * no sequence holds is evicted first.
 *
 * @param options - size, and who is told of changes
 * @returns the memory
 */
export function createPrefixCache({blockCount, onEvent}: PrefixCacheOptions): PrefixCache {
	/** Least recently used first. */
	const entries = new Map<string, Entry>();
	let usedPrivateBlocks = 0;

	const remove = (hash: string, entry: Entry) => {
		entries.delete(hash);
		if (entry.isComputed) {
			onEvent?.('evicted', hash);
		}
	};

	const evict = (neededBlocks: number, protectedHashes: ReadonlySet<string>): boolean => {
		for (const [hash, entry] of entries) {
			if (blockCount - usedPrivateBlocks - entries.size >= neededBlocks) {
				return true;
			}

			if (entry.referenceCount === 0 && !protectedHashes.has(hash)) {
				remove(hash, entry);
			}
		}

		return blockCount - usedPrivateBlocks - entries.size >= neededBlocks;
	};

	return {
		countComputedBlocks(hashes) {
			const firstMissing = hashes.findIndex(hash => entries.get(hash)?.isComputed !== true);
			return firstMissing === -1 ? hashes.length : firstMissing;
		},
		acquire(hashes, privateBlocks) {
			const newBlocks = hashes.filter(hash => !entries.has(hash)).length;
			const isIdle = usedPrivateBlocks === 0 && [...entries.values()].every(entry => entry.referenceCount === 0);
			// A sequence larger than the whole memory runs alone, as an engine pages it itself.
			if (!evict(newBlocks + privateBlocks, new Set(hashes)) && !isIdle) {
				return false;
			}

			usedPrivateBlocks += privateBlocks;
			for (const hash of hashes) {
				const entry = entries.get(hash) ?? {referenceCount: 0, isComputed: false};
				entry.referenceCount += 1;
				entries.delete(hash);
				entries.set(hash, entry);
			}

			return true;
		},
		setComputed(hashes) {
			for (const hash of hashes) {
				const entry = entries.get(hash);
				if (entry?.isComputed === false) {
					entry.isComputed = true;
					onEvent?.('stored', hash);
				}
			}
		},
		release(hashes, privateBlocks) {
			usedPrivateBlocks -= privateBlocks;
			for (const hash of hashes) {
				const entry = entries.get(hash);
				if (entry === undefined) {
					continue;
				}

				entry.referenceCount -= 1;
				if (entry.referenceCount === 0 && !entry.isComputed) {
					remove(hash, entry);
				}
			}

			evict(0, new Set());
		},
		clear() {
			for (const [hash, entry] of entries) {
				if (entry.referenceCount === 0) {
					remove(hash, entry);
				}
			}
		},
		countFreeBlocks: () => Math.max(0, blockCount - usedPrivateBlocks - [...entries.values()].filter(entry => entry.referenceCount > 0).length),
		countCachedBlocks: () => entries.size,
	};
}
