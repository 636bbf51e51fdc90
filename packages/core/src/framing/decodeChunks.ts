/**
 * Takes the data out of a chunked body. It answers the load of very small chunks: the HTTP parser reports each by itself, so that they cost by their
 * number and not by their bytes.
 */

/** Part of a chunked body that the next byte belongs to. */
export const CHUNK_PARTS = {
	/** First digit of a chunk's size. */
	size: 'size',
	sizeDigits: 'sizeDigits',
	extensionStart: 'extensionStart',
	extensionName: 'extensionName',
	extensionValue: 'extensionValue',
	extensionQuote: 'extensionQuote',
	extensionEscape: 'extensionEscape',
	extensionQuoteEnd: 'extensionQuoteEnd',
	/** Line feed behind a size. */
	sizeFeed: 'sizeFeed',
	data: 'data',
	/** Line break behind data. */
	dataReturn: 'dataReturn',
	dataFeed: 'dataFeed',
	/** What comes behind the line of the last chunk. */
	end: 'end',
	invalid: 'invalid',
	/** Extensions are longer than allowed. */
	tooLong: 'tooLong',
} as const;

export type ChunkPart = typeof CHUNK_PARTS[keyof typeof CHUNK_PARTS];

/** How far a chunked body has been read. Changed in place. */
export type ChunkDecoder = {
	part: ChunkPart;
	/** Size of the present chunk as far as it is known, then bytes of it that are still to come. */
	chunkBytes: number;
	/** Digits of the present size. */
	digitCount: number;
	/** Bytes of all extensions, and of sizes beyond their usual length. */
	extensionBytes: number;
};

/** What was read of a chunked body. */
export type DecodedChunks = {
	/** Bytes read. Fewer than given where the body ends or is not valid, and before or behind a long run of data. */
	readonly readBytes: number;
	/** Bytes of data that were written to the output. */
	readonly dataBytes: number;
	/** Data that is too long to be copied. Nothing was written to the output then. */
	readonly run?: Uint8Array;
};

type PartHandler = (decoder: ChunkDecoder, byte: number) => ChunkPart;

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const SEMICOLON = 59;
const EQUALS = 61;
const QUOTE = 34;
const BACKSLASH = 92;
const TAB = 9;
const SPACE = 32;
const DELETE = 127;
/** Extensions of one body, as many as the HTTP server takes. */
const MAX_EXTENSION_BYTES = 16_384;
/** Digits of a size that do not count as extension. */
const USUAL_DIGITS = 16;
/** Length up to which bytes are copied one by one. */
const SHORT_RUN_BYTES = 32;

/** Length up to which data is copied, so that it joins that of other chunks. */
const MAX_COPIED_RUN_BYTES = 2048;

/** Marks a byte that is no digit. */
const NO_VALUE = 255;
/** Values of hexadecimal digits, by byte. */
const HEX_VALUES = Uint8Array.from({length: 256}, (_, byte) => /^[\da-f]$/iv.test(String.fromCodePoint(byte)) ? Number.parseInt(String.fromCodePoint(byte), 16) : NO_VALUE);
const TOKEN_SIGNS = '!#$%&\'*+-.^_`|~';
/** Bytes of names and of values without quotes. */
const TOKEN_BYTES = Uint8Array.from({length: 256}, (_, byte) => /^[\da-z]$/iv.test(String.fromCodePoint(byte)) || TOKEN_SIGNS.includes(String.fromCodePoint(byte)) ? 1 : 0);

const isToken = (byte: number) => TOKEN_BYTES[byte] === 1;
const isQuotable = (byte: number) => byte === TAB || (byte >= SPACE && byte !== DELETE);

const endExtension = (byte: number): ChunkPart => {
	if (byte === CARRIAGE_RETURN) {
		return CHUNK_PARTS.sizeFeed;
	}

	return byte === SEMICOLON ? CHUNK_PARTS.extensionStart : CHUNK_PARTS.invalid;
};

const readExtension = (handle: (byte: number) => ChunkPart): PartHandler => (decoder, byte) => {
	decoder.extensionBytes += 1;
	return decoder.extensionBytes > MAX_EXTENSION_BYTES ? CHUNK_PARTS.tooLong : handle(byte);
};

const readDigit = (decoder: ChunkDecoder, byte: number): ChunkPart => {
	const value = HEX_VALUES[byte]!;
	if (value === NO_VALUE) {
		return CHUNK_PARTS.invalid;
	}

	decoder.digitCount += 1;
	decoder.extensionBytes += decoder.digitCount > USUAL_DIGITS ? 1 : 0;
	decoder.chunkBytes = (decoder.chunkBytes * 16) + value;
	if (decoder.extensionBytes > MAX_EXTENSION_BYTES) {
		return CHUNK_PARTS.tooLong;
	}

	return decoder.chunkBytes > Number.MAX_SAFE_INTEGER ? CHUNK_PARTS.invalid : CHUNK_PARTS.sizeDigits;
};

const PART_HANDLERS: Readonly<Partial<Record<ChunkPart, PartHandler>>> = {
	size: readDigit,
	sizeDigits(decoder, byte) {
		return byte === CARRIAGE_RETURN || byte === SEMICOLON ? endExtension(byte) : readDigit(decoder, byte);
	},
	extensionStart: readExtension(byte => isToken(byte) ? CHUNK_PARTS.extensionName : CHUNK_PARTS.invalid),
	extensionName: readExtension(byte => {
		if (isToken(byte)) {
			return CHUNK_PARTS.extensionName;
		}

		return byte === EQUALS ? CHUNK_PARTS.extensionValue : endExtension(byte);
	}),
	extensionValue: readExtension(byte => {
		if (isToken(byte)) {
			return CHUNK_PARTS.extensionValue;
		}

		return byte === QUOTE ? CHUNK_PARTS.extensionQuote : endExtension(byte);
	}),
	extensionQuote: readExtension(byte => {
		if (byte === QUOTE) {
			return CHUNK_PARTS.extensionQuoteEnd;
		}

		if (byte === BACKSLASH) {
			return CHUNK_PARTS.extensionEscape;
		}

		return isQuotable(byte) ? CHUNK_PARTS.extensionQuote : CHUNK_PARTS.invalid;
	}),
	extensionEscape: readExtension(byte => isQuotable(byte) ? CHUNK_PARTS.extensionQuote : CHUNK_PARTS.invalid),
	extensionQuoteEnd: readExtension(endExtension),
	sizeFeed({chunkBytes}, byte) {
		if (byte !== LINE_FEED) {
			return CHUNK_PARTS.invalid;
		}

		return chunkBytes === 0 ? CHUNK_PARTS.end : CHUNK_PARTS.data;
	},
	dataReturn: (_decoder, byte) => byte === CARRIAGE_RETURN ? CHUNK_PARTS.dataFeed : CHUNK_PARTS.invalid,
	dataFeed(decoder, byte) {
		decoder.chunkBytes = 0;
		decoder.digitCount = 0;
		return byte === LINE_FEED ? CHUNK_PARTS.size : CHUNK_PARTS.invalid;
	},
};

/** Begins to read a chunked body. */
export function createChunkDecoder(): ChunkDecoder {
	return {
		part: CHUNK_PARTS.size, chunkBytes: 0, digitCount: 0, extensionBytes: 0,
	};
}

/**
 * Reads more bytes of a chunked body, at most up to the line of its last chunk or around a long run of data. Whatever deviates from the specification makes it invalid.
 *
 * @param decoder - changed in place
 * @param output - the data is written to it; at least as long as `bytes`
 */
export function decodeChunks(decoder: ChunkDecoder, bytes: Uint8Array, output: Uint8Array): DecodedChunks {
	let index = 0;
	let dataBytes = 0;
	while (index < bytes.length) {
		if (decoder.part === CHUNK_PARTS.data) {
			const runBytes = Math.min(decoder.chunkBytes, bytes.length - index);
			const isCopied = runBytes <= MAX_COPIED_RUN_BYTES;
			if (!isCopied && dataBytes > 0) {
				break;
			}

			decoder.chunkBytes -= runBytes;
			decoder.part = decoder.chunkBytes === 0 ? CHUNK_PARTS.dataReturn : CHUNK_PARTS.data;
			if (!isCopied) {
				return {readBytes: index + runBytes, dataBytes, run: bytes.subarray(index, index + runBytes)};
			}

			copyRun(bytes, index, output, {at: dataBytes, runBytes});
			index += runBytes;
			dataBytes += runBytes;
			continue;
		}

		const handle = PART_HANDLERS[decoder.part];
		if (handle === undefined) {
			break;
		}

		decoder.part = handle(decoder, bytes[index]!);
		index += 1;
	}

	return {readBytes: index, dataBytes};
}

function copyRun(bytes: Uint8Array, from: number, output: Uint8Array, {at, runBytes}: {readonly at: number; readonly runBytes: number}): void {
	if (runBytes > SHORT_RUN_BYTES) {
		output.set(bytes.subarray(from, from + runBytes), at);
		return;
	}

	for (let offset = 0; offset < runBytes; offset += 1) {
		output[at + offset] = bytes[from + offset]!;
	}
}
