/** Guards against a log that an odd object fills for as long as it stays in the store, or many of them at once. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMalformedLog, type MalformedObject} from '../createMalformedLog.js';

const MINUTE_MS = 60_000;

/** Creates a log whose clock stands still until it is set. */
function createTestLog() {
	const lines: Array<MalformedObject & {readonly omitted?: number}> = [];
	const clock = {nowMs: 0};
	const log = createMalformedLog({
		write(line) {
			lines.push(line);
		},
		readClock: () => clock.nowMs,
	});
	return {log, lines, clock};
}

describe('a log of malformed objects', () => {
	it('states an object once while it stays as it is', () => {
		const {log, lines, clock} = createTestLog();
		for (; clock.nowMs < 60 * MINUTE_MS; clock.nowMs += 1000) {
			log.record({name: 'odd', detail: 'a'});
		}

		assert.deepEqual(lines, [{name: 'odd', detail: 'a'}]);
	});

	it('states an object that changes all the time at most once a minute, also if it is sound in between', () => {
		for (const isSoundBetween of [false, true]) {
			const {log, lines, clock} = createTestLog();
			for (; clock.nowMs < 10 * MINUTE_MS; clock.nowMs += 100) {
				log.record({name: 'odd', detail: String(clock.nowMs)});
				if (isSoundBetween) {
					log.clear('odd');
				}
			}

			assert.equal(lines.length, 10);
			assert.equal(lines[1]!.omitted, 599);
		}
	});

	it('states few of many, and counts the others', () => {
		const {log, lines, clock} = createTestLog();
		const recordAll = () => {
			for (let index = 0; index < 5000; index += 1) {
				log.record({name: `odd-${index}`, detail: 'a'});
			}
		};

		recordAll();
		assert.equal(lines.length, 10);
		for (; clock.nowMs < 10 * MINUTE_MS; clock.nowMs += 1000) {
			recordAll();
		}

		assert.ok(lines.length <= 10 + (10 * 10), String(lines.length));
		assert.ok(lines.at(-1)!.omitted! > 4000);
	});

	it('states an object again that was sound for longer than a minute', () => {
		const {log, lines, clock} = createTestLog();
		log.record({name: 'odd', detail: 'a'});
		log.clear('odd');
		clock.nowMs = MINUTE_MS;
		log.record({name: 'odd', detail: 'a'});
		assert.equal(lines.length, 2);
	});

	it('shortens names', () => {
		const {log, lines} = createTestLog();
		log.record({name: 'x'.repeat(100_000)});
		assert.ok(lines[0]!.name.length <= 200);
	});
});
