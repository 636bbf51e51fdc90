import {type CacheEvent} from '@damaskspool/shared';

/** Prefixes kept for each target: a little over the 64 pieces of the largest memory in use. */
const MAX_PREFIXES_PER_TARGET = 256;
/** Part of a target's prefixes that is forgotten when cache events were lost: any of the older ones may be gone. */
const LOST_EVENTS_DROP_RATIO = 0.25;

/** What an entry believes to be in one target's prefix cache. */
export type PrefixRecord = {
	/** Least recently used first. */
	readonly hashes: Set<string>;
	/** Sequence number of the last cache event that was seen; undefined before the first. */
	lastSequence: number | undefined;
};

/** Prefixes by target. */
export type PrefixIndex = Map<string, PrefixRecord>;

/**
 * Records that a prompt was sent to a target, whose cache will hold its prefixes.
 *
 * @param index - index to change
 * @param targetId - the target
 * @param hashes - prefixes of the prompt, shortest first
 */
export function recordPrefixes(index: PrefixIndex, targetId: string, hashes: readonly string[]): void {
	const record = getRecord(index, targetId);
	for (const hash of hashes) {
		storeHash(record, hash);
	}
}

/**
 * Corrects the index by cache events, which come late. A jump in their sequence
 * numbers means lost events, perhaps evictions: the prefixes that were not used
 * for longest are forgotten.
 *
 * @param index - index to change
 * @param targetId - target that published the events
 * @param events - events in order
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
 * Counts the leading prefixes of a prompt that a target is believed to hold.
 *
 * @param index - the index
 * @param targetId - the target
 * @param hashes - prefixes of the prompt, shortest first
 * @returns how many of them, without a gap from the first
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
