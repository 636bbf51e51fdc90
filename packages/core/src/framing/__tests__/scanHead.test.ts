/** Load: heads of very many lines, whose end and cost are known before they are parsed. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {estimateHeadMs, isHeadCostly} from '../headCost.js';
import {
	createHeadScan, hasHeadBegun, isHeadTooLong, scanHead,
} from '../scanHead.js';
import {
	decodeText, encodeText, splitBytes, splitShares,
} from './splitBytes.js';

/** Reads pieces in order, and returns the head and what came behind it. */
function readPieces(pieces: readonly Uint8Array[], skipsLeadingBreaks = true) {
	const scan = createHeadScan({skipsLeadingBreaks});
	let head = '';
	let rest = '';
	let isWhole = false;
	for (const piece of pieces) {
		if (isWhole) {
			rest += decodeText(piece);
			continue;
		}

		const {startsAt, endsAt} = scanHead(scan, piece);
		head += decodeText(piece.subarray(startsAt, endsAt));
		isWhole = endsAt !== undefined;
		rest += isWhole ? decodeText(piece.subarray(endsAt)) : '';
	}

	return {
		scan, head, rest, isWhole,
	};
}

const lineBreak = fc.constantFrom('\r\n', '\n');
const pieceOfText = fc.constantFrom('\r', '\n', '\r\n', '\r\n\r\n', 'GET / HTTP/1.1', 'a: b', ' ', 'x');
const field = fc.tuple(fc.constantFrom('a:', 'b: c', 'host: example', 'long: with words'), lineBreak).map(([line, end]) => `${line}${end}`);
const behindHead = fc.uint8Array({maxLength: 40}).map(bytes => decodeText(bytes));

describe('the end of a head', () => {
	it('is found at the first blank line, whatever its line breaks, wherever reads end', () => {
		fc.assert(fc.property(fc.array(field), lineBreak, behindHead, splitShares, (fields, lastBreak, behind, shares) => {
			const lines = fields.join('') + lastBreak;
			const head = `GET / HTTP/1.1\r\n${lines}`;
			const read = readPieces(splitBytes(encodeText(`\r\n\r\n${head}${behind}`), shares));
			assert.deepEqual([read.isWhole, read.head, read.rest], [true, head, behind]);
			assert.deepEqual([read.scan.lineCount, read.scan.firstLineBytes, read.scan.otherBytes], [fields.length, 16, lines.length]);
		}));
	});

	it('is the same for any text, wherever reads end', () => {
		fc.assert(fc.property(fc.array(pieceOfText, {maxLength: 30}), fc.boolean(), splitShares, (texts, skipsLeadingBreaks, shares) => {
			const bytes = encodeText(texts.join(''));
			assert.deepEqual(readPieces(splitBytes(bytes, shares), skipsLeadingBreaks), readPieces([bytes], skipsLeadingBreaks));
		}));
	});

	it('is a blank line at once for trailers, and never one for a head', () => {
		assert.equal(readPieces([encodeText('\r\n')], false).isWhole, true);
		assert.equal(readPieces([encodeText('\r\n\r\n\n')]).isWhole, false);
		assert.equal(hasHeadBegun(readPieces([encodeText('\r\n\r\n\n')]).scan), false);
	});
});

describe('the limit of a head', () => {
	it('refuses no head whose lines are within it, whatever the line of the request, and those that are longer before they are whole', () => {
		fc.assert(fc.property(fc.integer({min: 40, max: 400}), fc.integer({min: -30, max: 30}), (maxBytes, excessBytes) => {
			const head = `GET /${'a'.repeat(maxBytes - 16)} HTTP/1.1\r\na: ${'b'.repeat(maxBytes + excessBytes - 7)}\r\n\r\n`;
			const isTooLong = (text: string) => isHeadTooLong(readPieces([encodeText(text)]).scan, maxBytes);
			assert.deepEqual([isTooLong(head), isTooLong(head.slice(0, -4)), isTooLong(head.slice(0, maxBytes - 20))], [excessBytes > 0, excessBytes > 4, false]);
		}));
	});
});

describe('the cost of a head', () => {
	it('follows its lines, not its bytes', () => {
		const long = readPieces([encodeText(`GET / HTTP/1.1\r\na: ${'b'.repeat(16_000)}\r\n\r\n`)]).scan;
		const short = readPieces([encodeText(`GET / HTTP/1.1\r\n${'a:\r\n'.repeat(4000)}\r\n`)]).scan;
		assert.deepEqual([isHeadCostly(long), isHeadCostly(short)], [false, true]);
		assert.ok(estimateHeadMs(long) < 0.1 && estimateHeadMs(short) > 1);
	});
});
