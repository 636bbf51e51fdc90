import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createPrefixHomes} from '../prefixHomes.js';

describe('the index of kept prompt parts', () => {
	it('forgets the least recently used part of a target past its limit', () => {
		const homes = createPrefixHomes();
		homes.setLimit(100);
		homes.recordUse('a', 'target', 40);
		homes.recordUse('b', 'target', 40);
		homes.recordUse('a', 'target', 40);
		homes.recordUse('c', 'target', 40);
		assert.deepEqual(['a', 'b', 'c'].map(part => homes.has(part, 'target')), [true, false, true]);
	});

	it('never believes more tokens at a target than its limit, and lists just what it has', () => {
		const use = fc.record({part: fc.integer({min: 0, max: 9}), target: fc.integer({min: 0, max: 3}), isGone: fc.boolean()});
		fc.assert(fc.property(fc.array(use, {maxLength: 60}), uses => {
			const homes = createPrefixHomes();
			homes.setLimit(100);
			for (const {part, target, isGone} of uses) {
				if (isGone) {
					homes.removeTarget(`target${target}`);
				} else {
					homes.recordUse(`part${part}`, `target${target}`, 10 + part);
				}
			}

			for (let target = 0; target < 4; target += 1) {
				const kept = Array.from({length: 10}, (_, part) => part).filter(part => homes.has(`part${part}`, `target${target}`));
				assert.ok(kept.reduce((sum, part) => sum + 10 + part, 0) <= 100);
				assert.ok(kept.every(part => homes.list(`part${part}`).includes(`target${target}`)));
			}
		}));
	});
});
