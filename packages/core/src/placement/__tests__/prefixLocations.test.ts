import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createPrefixLocations} from '../prefixLocations.js';

describe('createPrefixLocations', () => {
	it('removes the least recently used part of a target beyond its limit', () => {
		const locations = createPrefixLocations();
		locations.setMaxTokens(100);
		locations.recordUse('a', 'target', 40);
		locations.recordUse('b', 'target', 40);
		locations.recordUse('a', 'target', 40);
		locations.recordUse('c', 'target', 40);
		assert.deepEqual(['a', 'b', 'c'].map(part => locations.has(part, 'target')), [true, false, true]);
	});

	it('never holds more tokens for a target than its limit, and lists exactly the parts it holds', () => {
		const use = fc.record({part: fc.integer({min: 0, max: 9}), target: fc.integer({min: 0, max: 3}), isRemoved: fc.boolean()});
		fc.assert(fc.property(fc.array(use, {maxLength: 60}), uses => {
			const locations = createPrefixLocations();
			locations.setMaxTokens(100);
			for (const {part, target, isRemoved} of uses) {
				if (isRemoved) {
					locations.removeTarget(`target${target}`);
				} else {
					locations.recordUse(`part${part}`, `target${target}`, 10 + part);
				}
			}

			for (let target = 0; target < 4; target += 1) {
				const cached = Array.from({length: 10}, (_, part) => part).filter(part => locations.has(`part${part}`, `target${target}`));
				assert.ok(cached.reduce((sum, part) => sum + 10 + part, 0) <= 100);
				assert.ok(cached.every(part => locations.list(`part${part}`).includes(`target${target}`)));
			}
		}));
	});
});
