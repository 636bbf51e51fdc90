import {type CacheEvent} from '@damaskspool/shared';

/** Maximum number of prefixes per target. It exceeds the 64 KV cache blocks of the largest target in use. */
const MAX_PREFIXES_PER_TARGET = 256;
/** Fraction of a target's prefixes that is dropped when cache events were lost, because any of the older prefixes may have been evicted. */
const LOST_EVENTS_DROP_RATIO = 0.25;

/** Assumed content of one target's prefix cache. */
export type PrefixRecord = {
	/** Hashes of the cached prefixes, least recently used first. */
	readonly hashes: Set<string>;
	/** Sequence number of the last cache event received, or undefined before the first. */
	lastSequence: number | undefined;
};

/** Assumed prefix caches by target identifier. */
export type PrefixIndex = Map<string, PrefixRecord>;

/**
 * Records that a prompt was sent to a target, which will cache the prompt's
 * prefixes. Changes the index in place.
 *
 * @param hashes - prefix hashes of the prompt, shortest prefix first
 */
export function recordPrefixes(index: PrefixIndex, targetId: string, hashes: readonly string[]): void {
	const record = getRecord(index, targetId);
	for (const hash of hashes) {
		storeHash(record, hash);
	}
}

/**
 * Corrects the index with the cache events of a target, which arrive with a delay.
 * A gap in their sequence numbers means that events were lost, possibly evictions.
 * The least recently used prefixes are then dropped. Changes the index in place.
 *
 * @param events - events in ascending order of sequence numbers
 */
export function mergeCacheEvents(index: PrefixIndex, targetId: string, events: readonly CacheEvent[]): void {
	const record = getRecord(index, targetId);
	for (const {sequence, kind, hash} of events) {
		if (record.lastSequence !== undefined && sequence <= record.lastSequence) {
			continue;
		}

		if (record.lastSequence !== undefined && sequence > record.lastSequence + 1) {
			dropOldest(record, Math.ceil(record.hashes.size * LOST_EVENTS_DROP_RATIO));
		}

		record.lastSequence = sequence;
		if (kind === 'stored') {
			storeHash(record, hash);
		} else {
			record.hashes.delete(hash);
		}
	}
}

/**
 * Counts the prefixes of a prompt that a target is assumed to cache, from the
 * shortest prefix up to the first that is not cached.
 *
 * @param hashes - prefix hashes of the prompt, shortest prefix first
 */
export function countCachedPrefixes(index: PrefixIndex, targetId: string, hashes: readonly string[]): number {
	const record = index.get(targetId);
	if (record === undefined) {
		return 0;
	}

	let count = 0;
	while (count < hashes.length && record.hashes.has(hashes[count]!)) {
		count += 1;
	}

	return count;
}

function getRecord(index: PrefixIndex, targetId: string): PrefixRecord {
	let record = index.get(targetId);
	if (record === undefined) {
		record = {hashes: new Set(), lastSequence: undefined};
		index.set(targetId, record);
	}

	return record;
}

function storeHash(record: PrefixRecord, hash: string): void {
	record.hashes.delete(hash);
	record.hashes.add(hash);
	if (record.hashes.size > MAX_PREFIXES_PER_TARGET) {
		dropOldest(record, 1);
	}
}

function dropOldest(record: PrefixRecord, count: number): void {
	let remaining = count;
	for (const hash of record.hashes) {
		if (remaining <= 0) {
			return;
		}

		record.hashes.delete(hash);
		remaining -= 1;
	}
}
