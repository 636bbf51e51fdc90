import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createPrefixCache, type PrefixCache} from '../createPrefixCache.js';

const SEED = 11;
const PIECES = 12;

function listHashes(family: number, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${family}-${index}`);
}

function useOnce(cache: PrefixCache, hashes: readonly string[]): void {
	assert.ok(cache.hold(hashes, 1));
	cache.markReady(hashes);
	cache.release(hashes, 1);
}

describe('the prefix cache', () => {
	it('evicts the least recently used prefix first', () => {
		const cache = createPrefixCache({pieces: 5});
		useOnce(cache, listHashes(1, 2));
		useOnce(cache, listHashes(2, 2));
		useOnce(cache, listHashes(1, 2));
		useOnce(cache, listHashes(3, 2));
		assert.deepEqual([1, 2, 3].map(family => cache.countReady(listHashes(family, 2))), [2, 0, 2]);
	});

	it('holds a prefix as long as a sequence uses it, and refuses what does not fit', () => {
		const cache = createPrefixCache({pieces: 4});
		assert.ok(cache.hold(listHashes(1, 3), 1));
		assert.equal(cache.hold(listHashes(2, 1), 0), false);
		assert.ok(cache.hold(listHashes(1, 3), 0), 'a shared prefix takes no further memory');
	});

	it('does not count a prefix that was never worked through', () => {
		const cache = createPrefixCache({pieces: 4});
		cache.hold(listHashes(1, 2), 0);
		assert.equal(cache.countReady(listHashes(1, 2)), 0);
		cache.release(listHashes(1, 2), 0);
		assert.equal(cache.countCached(), 0);
	});

	it('never takes more memory than it has, and its events tell what it holds', () => {
		const use = fc.record({family: fc.integer({min: 0, max: 5}), count: fc.integer({min: 1, max: 4}), own: fc.integer({min: 0, max: 2})});
		fc.assert(fc.property(fc.array(use, {maxLength: 60}), uses => {
			const told = new Set<string>();
			const cache = createPrefixCache({
				pieces: PIECES,
				onEvent(kind, hash) {
					told[kind === 'stored' ? 'add' : 'delete'](hash);
				},
			});
			const held: Array<() => void> = [];
			for (const {family, count, own} of uses) {
				const hashes = listHashes(family, count);
				if (cache.hold(hashes, own)) {
					cache.markReady(hashes);
					held.push(() => {
						cache.release(hashes, own);
					});
				} else {
					held.shift()?.();
				}

				assert.ok(cache.countCached() <= PIECES);
				assert.equal(told.size, cache.countCached());
			}
		}), {seed: SEED});
	});
});

