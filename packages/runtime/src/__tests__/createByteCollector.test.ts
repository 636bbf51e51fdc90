import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createByteCollector} from '../createByteCollector.js';

/** A block may be this short on average, beside the first and the last ones. */
const MIN_MEAN_BLOCK_BYTES = 256;

describe('the collector of bytes', () => {
	it('returns what was pushed, in order, also after it was taken before', () => {
		fc.assert(fc.property(fc.array(fc.array(fc.uint8Array({maxLength: 3000}), {maxLength: 8}), {maxLength: 4}), rounds => {
			const collector = createByteCollector();
			for (const chunks of rounds) {
				for (const chunk of chunks) {
					collector.push(Buffer.from(chunk));
				}

				const expected = Buffer.concat(chunks);
				assert.equal(collector.getLength(), expected.length);
				assert.deepEqual(collector.take(), expected);
				assert.equal(collector.getLength(), 0);
			}
		}));
	});

	it('holds chunks of one byte in few blocks', () => {
		const collector = createByteCollector();
		for (let index = 0; index < 100_000; index += 1) {
			collector.push(Buffer.from('a'));
		}

		const blocks = collector.takeBlocks();
		assert.ok(blocks.length < 100_000 / MIN_MEAN_BLOCK_BYTES, `${blocks.length} blocks`);
		assert.equal(Buffer.concat(blocks).length, 100_000);
	});
});
