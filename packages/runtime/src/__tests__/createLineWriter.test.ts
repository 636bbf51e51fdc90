import assert from 'node:assert/strict';
import {type Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {createLineWriter, type LineWriterOptions} from '../createLineWriter.js';

type Done = (error: null, bytesWritten: number) => void;

/** Creates a writer whose output is only consumed when `read` is called. */
function createTestReader(options: LineWriterOptions = {}) {
	const read: string[] = [];
	const pending: Array<() => void> = [];
	let nowMs = 0;
	const writer = createLineWriter({
		flushDelayMs: 0,
		readClock: () => nowMs,
		writeBytes(_fd: number, bytes: Buffer, done: Done) {
			pending.push(() => {
				read.push(bytes.toString());
				done(null, bytes.length);
			});
		},
		...options,
	});
	return {
		writer,
		read() {
			while (pending.length > 0) {
				pending.shift()!();
			}

			return read.join('').split('\n').filter(line => line !== '');
		},
		advance(durationMs: number) {
			nowMs += durationMs;
		},
	};
}

describe('createLineWriter', () => {
	it('writes lines in order', () => {
		const {writer, read} = createTestReader();
		writer.write('one');
		writer.write('two');
		assert.deepEqual(read(), ['one', 'two']);
	});

	it('limits the rate of lines and reports how many were dropped', () => {
		let dropped = 0;
		const {writer, read, advance} = createTestReader({
			linesPerSecond: 10,
			onDropped(count) {
				dropped += count;
			},
		});
		for (let line = 0; line < 100; line += 1) {
			writer.write(`line ${line}`);
		}

		advance(1000);
		writer.write('later');
		const seen = read();
		assert.equal(seen.length, 22);
		assert.match(seen[20]!, /"log\.dropped","context":\{"lines":80\}/v);
		assert.equal(seen[21], 'later');
		assert.equal(dropped, 80);
	});

	it('writes lines that explain a failure while routine lines are dropped', () => {
		const {writer, read} = createTestReader({linesPerSecond: 10, isRoutine: line => line.startsWith('routine')});
		for (let line = 0; line < 100; line += 1) {
			writer.write('routine');
		}

		writer.write('refused');
		assert.equal(read().at(-1), 'refused');
	});

	it('buffers a limited number of characters if the reader is stuck', () => {
		const {writer, read} = createTestReader({linesPerSecond: 1_000_000});
		for (let line = 0; line < 10_000; line += 1) {
			writer.write('x'.repeat(1000));
		}

		assert.ok(read().length < 600);
	});
});
