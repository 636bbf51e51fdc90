/** A change of the prefix cache, as an engine publishes it. */
export type CacheEvent = {
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted';
	readonly hash: string;
};

/** KV cache of an engine, counted in blocks. Prefix blocks are shared and can be evicted; private blocks belong to one sequence. */
export type PrefixCache = {
	/** Counts the leading prefix blocks whose KV cache is computed. */
	readonly countComputedBlocks: (hashes: readonly string[]) => number;
	/** Reserves blocks for a sequence; returns false and reserves nothing if they do not fit now. */
	readonly acquire: (hashes: readonly string[], privateBlocks: number) => boolean;
	/** Marks prefix blocks as computed. */
	readonly setComputed: (hashes: readonly string[]) => void;
	/** Releases what {@link PrefixCache.acquire} reserved; computed prefix blocks stay cached until they are evicted. */
	readonly release: (hashes: readonly string[], privateBlocks: number) => void;
	/** Removes every prefix block that no sequence uses. */
	readonly clear: () => void;
	/** Counts the blocks that no sequence uses, including cached blocks that can be evicted. */
	readonly countFreeBlocks: () => number;
	/** Counts all prefix blocks, including those that are not computed yet. */
	readonly countCachedBlocks: () => number;
};

/** One prefix block; the reference count is the number of sequences that use it. */
type Entry = {referenceCount: number; isComputed: boolean};

/** Options of {@link createPrefixCache}. */
export type PrefixCacheOptions = {
	readonly blockCount: number;
	readonly onEvent?: (kind: CacheEvent['kind'], hash: string) => void;
};

/**
 * Creates the KV cache of an engine. Evicts the least recently used prefix
 * block that no sequence uses first.
 */
export function createPrefixCache({blockCount, onEvent}: PrefixCacheOptions): PrefixCache {
	/** Prefix blocks by hash, least recently used first. */
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
			// A sequence larger than the full cache is admitted while no other sequence runs: a real engine pages it by itself.
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
