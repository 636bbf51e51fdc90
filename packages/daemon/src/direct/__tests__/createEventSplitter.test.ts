/** Whatever a faulty target sends, a caller receives a part of its stream from the first event that is due. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createEventSplitter} from '../createEventSplitter.js';

const SEED = 20_261_205;
const EXTRA_FIELDS: ReadonlySet<string> = new Set(['weights']);

/** Lines before an event that give none. */
const SILENT_LINES = ['', ': comment\n', ': comment\n\n', '\n', '\n\n', 'event: piece\n\n', 'retry: 5\n: comment\n\n'] as const;

type EventText = {readonly before: typeof SILENT_LINES[number]; readonly lines: readonly string[]};

/** Creates the events after a number, with data of one or two lines. */
function createEvents(lastId: number, texts: readonly EventText[]): readonly string[] {
	return texts.map(({before, lines}, index) => `${before}id: ${lastId + index + 1}\n${lines.map(line => `data: ${line}\n`).join('')}\n`);
}

const lineArbitrary = fc.string({maxLength: 12}).map(text => text.replaceAll(/\p{Cc}/gv, ''));
const loadArbitrary = fc.record({
	lastId: fc.nat(50),
	texts: fc.array(fc.record({before: fc.constantFrom(...SILENT_LINES), lines: fc.array(lineArbitrary, {minLength: 1, maxLength: 2})}), {maxLength: 6}),
	lineEnd: fc.constantFrom('\n', '\r\n', '\r'),
	/** Bytes of a fault, and where they are put into the stream. */
	fault: fc.record({bytes: fc.uint8Array({maxLength: 12}), isBlankLineAdded: fc.boolean(), atShare: fc.double({min: 0, max: 1, noNaN: true})}),
	cuts: fc.array(fc.nat(400), {maxLength: 8}),
});

/** Splits bytes that come in pieces with these ends. */
function splitBytes(bytes: Buffer, {lastId, ends}: {lastId: number; ends: readonly number[]}) {
	const splitter = createEventSplitter({
		lastEventId: String(lastId), isConsecutive: true, refusedBefore: undefined, extraFields: EXTRA_FIELDS,
	});
	const passed: Buffer[] = [];
	let start = 0;
	for (const end of [...ends, bytes.length]) {
		const {completeEvents, refusal} = splitter.push(bytes.subarray(start, end));
		passed.push(Buffer.from(completeEvents ?? ''));
		start = end;
		if (refusal !== undefined) {
			return {passed: Buffer.concat(passed).toString('utf8'), refusal};
		}
	}

	const {isWithinEvent, rest} = splitter.finish();
	return {
		passed: Buffer.concat(passed).toString('utf8'), refusal: undefined, isWithinEvent, rest: rest?.toString('utf8'),
	};
}

describe('the splitter of events', () => {
	it('passes the sound events before a fault, and stops there, wherever the bytes are cut', () => {
		fc.assert(fc.property(loadArbitrary, ({
			lastId, texts, lineEnd, fault, cuts,
		}) => {
			const events = createEvents(lastId, texts).map(event => event.replaceAll('\n', lineEnd));
			const sound = Buffer.from(events.join(''));
			const at = Math.round(fault.atShare * sound.length);
			const bytes = Buffer.concat([sound.subarray(0, at), fault.bytes, Buffer.from(fault.isBlankLineAdded ? lineEnd.repeat(2) : ''), sound.subarray(at)]);
			const ends = [...new Set(cuts.map(cut => Math.min(cut, bytes.length)))].toSorted((a, b) => a - b);
			const split = splitBytes(bytes, {lastId, ends});
			for (const otherEnds of [[], [...bytes.keys()]]) {
				assert.deepEqual(splitBytes(bytes, {lastId, ends: otherEnds}), split);
			}

			const numbers = [...split.passed.matchAll(/^id: ?(?<id>.*)$/gmv)].map(({groups}) => Number(groups!.id));
			assert.deepEqual(numbers, numbers.map((_number, index) => lastId + index + 1));
			// Events that end before the fault are sound, whatever follows.
			const soundCount = events.filter((_event, index) => Buffer.byteLength(events.slice(0, index + 1).join('')) <= at).length;
			assert.ok(numbers.length >= soundCount, `${numbers.length} of ${soundCount} sound events`);
		}), {seed: SEED, numRuns: 500});
	});
});
