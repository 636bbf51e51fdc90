/** Load: bodies in chunks of one byte, which are joined before they are parsed. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {CHUNK_PARTS, createChunkDecoder, decodeChunks} from '../decodeChunks.js';
import {
	decodeText, encodeText, splitBytes, splitShares,
} from './splitBytes.js';

/** Reads pieces in order, and returns the data and what is left. */
function readPieces(pieces: readonly Uint8Array[]) {
	const decoder = createChunkDecoder();
	let data = '';
	let rest = '';
	for (const piece of pieces) {
		let left = piece;
		let progress = 1;
		while (progress > 0 && left.length > 0) {
			const output = new Uint8Array(left.length);
			const {readBytes, dataBytes, run} = decodeChunks(decoder, left, output);
			data += decodeText(run ?? output.subarray(0, dataBytes));
			left = left.subarray(readBytes);
			progress = readBytes;
		}

		rest += decodeText(left);
	}

	return {decoder, data, rest};
}

const token = fc.constantFrom('a', 'bc', 'def', 'x-y');
const extension = fc.oneof(fc.constant(''), token.map(name => `;${name}`), fc.tuple(token, token).map(([name, value]) => String.raw`;${name}=${value};${name}="${value} \" "`));
const chunk = fc.record({data: fc.oneof(fc.uint8Array({minLength: 1, maxLength: 80}).map(bytes => decodeText(bytes)), fc.constant('long'.repeat(1500))), extension, zeros: fc.constantFrom('', '0', '000')});
const odd = fc.constantFrom('\r', '\n', '\r\n', '0', '5', 'a', 'G', ' ', '+', '-', '0x', ';', '=', '"', '\\', '\0', '1\r\na\r\n', '0\r\n\r\n', 'ffffffffffffffff');

const INVALID_SIZES = [
	'',
	' 1',
	'1 ',
	'+1',
	'-1',
	'0x1',
	'G',
	'1\n',
	'\r\n',
	'1;',
	'1;=',
	'1; a',
	'1;a b',
	'1;a="\0"',
	'1;a\n',
	'1\r\r',
	'1\r\nab',
	'1\r\na\n',
	'1\r\na\r\r',
	'10000000000000000',
	'ffffffffffffffff',
] as const;

describe('chunks of a body', () => {
	it('give their data, wherever reads end', () => {
		fc.assert(fc.property(fc.array(chunk, {maxLength: 20}), splitShares, (chunks, shares) => {
			const text = chunks.map(({data, extension: behind, zeros}) => `${zeros}${data.length.toString(16)}${behind}\r\n${data}\r\n`).join('');
			const {decoder, data, rest} = readPieces(splitBytes(encodeText(`${text}0\r\nx: y\r\n\r\nGET`), shares));
			assert.deepEqual([decoder.part, data, rest], [CHUNK_PARTS.end, chunks.map(({data: part}) => part).join(''), 'x: y\r\n\r\nGET']);
		}));
	});

	it('are read alike for any text, wherever reads end', () => {
		fc.assert(fc.property(fc.array(odd, {maxLength: 12}), splitShares, (texts, shares) => {
			const bytes = encodeText(texts.join(''));
			assert.deepEqual(readPieces(splitBytes(bytes, shares)), readPieces([bytes]));
		}));
	});

	for (const text of INVALID_SIZES) {
		it(`are no data behind what is not valid: ${JSON.stringify(text)}`, () => {
			const {decoder, data} = readPieces([encodeText(`${text}\r\n1\r\nb\r\n0\r\n`)]);
			assert.equal(decoder.part, CHUNK_PARTS.invalid);
			assert.ok(['', 'a'].includes(data), data);
		});
	}

	it('are refused when their extensions or sizes are longer than those of sound callers', () => {
		for (const text of [`1;${'a'.repeat(20_000)}\r\n`, '1;a\r\nb\r\n'.repeat(20_000), `${'0'.repeat(20_000)}1\r\n`]) {
			assert.equal(readPieces([encodeText(text)]).decoder.part, CHUNK_PARTS.tooLong);
		}
	});
});
