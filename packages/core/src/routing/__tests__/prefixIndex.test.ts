import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	countCachedPrefixes, mergeCacheEvents, type PrefixIndex, recordPrefixes,
} from '../prefixIndex.js';

describe('prefix index', () => {
	it('counts the cached prefixes up to the first that is missing', () => {
		const index: PrefixIndex = new Map();
		recordPrefixes(index, 't', ['a', 'b', 'd']);
		assert.equal(countCachedPrefixes(index, 't', ['a', 'b', 'c', 'd']), 2);
		assert.equal(countCachedPrefixes(index, 'other', ['a']), 0);
	});

	it('applies cache events and ignores those it has already received', () => {
		const index: PrefixIndex = new Map();
		recordPrefixes(index, 't', ['a', 'b']);
		mergeCacheEvents(index, 't', [{sequence: 1, kind: 'stored', hash: 'c'}, {sequence: 2, kind: 'evicted', hash: 'a'}]);
		recordPrefixes(index, 't', ['a']);
		mergeCacheEvents(index, 't', [{sequence: 2, kind: 'evicted', hash: 'a'}]);
		assert.deepEqual(['a', 'b', 'c'].map(hash => countCachedPrefixes(index, 't', [hash])), [1, 1, 1]);
	});

	it('drops the least recently used prefixes when cache events were lost', () => {
		const index: PrefixIndex = new Map();
		mergeCacheEvents(index, 't', [{sequence: 1, kind: 'stored', hash: 'a'}]);
		recordPrefixes(index, 't', ['b', 'c', 'd']);
		mergeCacheEvents(index, 't', [{sequence: 5, kind: 'stored', hash: 'e'}]);
		assert.deepEqual(['a', 'b', 'c', 'd', 'e'].map(hash => countCachedPrefixes(index, 't', [hash])), [0, 1, 1, 1, 1]);
	});

	it('keeps a bounded number of prefixes per target', () => {
		const index: PrefixIndex = new Map();
		recordPrefixes(index, 't', Array.from({length: 5000}, (_, number) => `h${number}`));
		assert.ok(index.get('t')!.hashes.size <= 256);
	});
});
