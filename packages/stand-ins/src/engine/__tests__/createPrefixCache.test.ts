import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createPrefixCache, type PrefixCache} from '../createPrefixCache.js';

const SEED = 11;
const BLOCK_COUNT = 12;

function listHashes(family: number, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${family}-${index}`);
}

function runSequence(cache: PrefixCache, hashes: readonly string[]): void {
	assert.ok(cache.acquire(hashes, 1));
	cache.setComputed(hashes);
	cache.release(hashes, 1);
}

describe('the prefix cache', () => {
	it('evicts the least recently used prefix first', () => {
		const cache = createPrefixCache({blockCount: 5});
		runSequence(cache, listHashes(1, 2));
		runSequence(cache, listHashes(2, 2));
		runSequence(cache, listHashes(1, 2));
		runSequence(cache, listHashes(3, 2));
		assert.deepEqual([1, 2, 3].map(family => cache.countComputedBlocks(listHashes(family, 2))), [2, 0, 2]);
	});

	it('keeps a prefix while a sequence uses it and refuses a sequence that does not fit', () => {
		const cache = createPrefixCache({blockCount: 4});
		assert.ok(cache.acquire(listHashes(1, 3), 1));
		assert.equal(cache.acquire(listHashes(2, 1), 0), false);
		assert.ok(cache.acquire(listHashes(1, 3), 0), 'a shared prefix needs no further blocks');
	});

	it('does not count a prefix that was never computed', () => {
		const cache = createPrefixCache({blockCount: 4});
		cache.acquire(listHashes(1, 2), 0);
		assert.equal(cache.countComputedBlocks(listHashes(1, 2)), 0);
		cache.release(listHashes(1, 2), 0);
		assert.equal(cache.countCachedBlocks(), 0);
	});

	it('never exceeds its block count, and its events match the cached prefixes', () => {
		const use = fc.record({family: fc.integer({min: 0, max: 5}), count: fc.integer({min: 1, max: 4}), privateBlocks: fc.integer({min: 0, max: 2})});
		fc.assert(fc.property(fc.array(use, {maxLength: 60}), uses => {
			const reportedHashes = new Set<string>();
			const cache = createPrefixCache({
				blockCount: BLOCK_COUNT,
				onEvent(kind, hash) {
					reportedHashes[kind === 'stored' ? 'add' : 'delete'](hash);
				},
			});
			const releases: Array<() => void> = [];
			for (const {family, count, privateBlocks} of uses) {
				const hashes = listHashes(family, count);
				if (cache.acquire(hashes, privateBlocks)) {
					cache.setComputed(hashes);
					releases.push(() => {
						cache.release(hashes, privateBlocks);
					});
				} else {
					releases.shift()?.();
				}

				assert.ok(cache.countCachedBlocks() <= BLOCK_COUNT);
				assert.equal(reportedHashes.size, cache.countCachedBlocks());
			}
		}), {seed: SEED});
	});
});

