import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	CHUNK_PARTS, type ChunkDecoder, type ChunkPart, createChunkDecoder, createHeadScan, decodeChunks, estimateHeadMs, hasHeadBegun, isHeadCostly, isHeadTooLong, scanHead,
} from '@damaskspool/core';
import {createByteCollector} from '@damaskspool/runtime';
import {CLOSE_REASONS, destroyConnection} from './closeReasons.js';

/** What a connection has sent of a request that the HTTP server does not know yet. */
export type HeldRequest = {
	readonly socket: Socket;
	/** Bytes of this request, and of what was sent behind it. */
	readonly heldBytes: number;
	/** When the first byte of its head was read, or its last one if the head is whole. */
	readonly heldSinceMs: number;
	/** Whether its head is whole, or a part of it. Neither holds for bytes of a body that wait. */
	readonly isWhole: boolean;
	readonly isPartial: boolean;
};

/** Hands the requests of one connection to the HTTP server, one at a time. */
export type RequestReader = {
	/** Reads bytes of the connection. */
	readonly receive: (bytes: Buffer) => void;
	/** Goes on with bytes that wait. In a turn of the connection, a head that costs much may be parsed. */
	readonly proceed: (options?: {readonly isTurn?: boolean}) => void;
	/** Records the request that the HTTP server has made of the head that it was given. */
	readonly recordRequest: (incoming: IncomingMessage, response: ServerResponse, framing: BodyFraming) => void;
	/** Tells whether the connection should be read further. */
	readonly mayReceive: () => boolean;
	/** Returns bytes that wait to be parsed. */
	readonly countHeldBytes: () => number;
	readonly isHeadWhole: () => boolean;
	/** Returns the request that waits; undefined if there is none. */
	readonly findHeld: () => HeldRequest | undefined;
	readonly getTimes: () => RequestTimes;
	/** Forgets what waits, and everything that comes after it. */
	readonly discard: () => void;
};

/** How the HTTP parser takes the body of a request to be delimited. */
export type BodyFraming = {readonly contentLength: number; readonly isChunked: boolean};

/** Times of the request that was parsed last. */
export type RequestTimes = {
	/** Earliest time at which its head may have arrived. */
	readonly arrivedAtMs: number;
	/** When bytes were last read. What is complete by now was complete then. */
	readonly lastReadAtMs: number;
};

/** Options of {@link createRequestReader}. */
export type RequestReaderOptions = {
	readonly socket: Socket;
	/** Hands bytes to the HTTP parser. */
	readonly parse: (bytes: Buffer) => void;
	readonly mayParse: () => boolean;
	/** Records processor time. It counts up to `maxMs`. */
	readonly recordWork: (workMs: number, maxMs: number) => void;
	/** Waits for the turn of the connection. */
	readonly requestTurn: () => void;
	readonly findMaxHeadBytes: () => number;
	/** Returns the time for which what was read just now may have waited. */
	readonly measureUnreadMs: () => number;
	/** Called with the code of an error of the HTTP parser if the bytes are no request that may be served. */
	readonly onRejected: (code: string) => void;
	/** Called when as much as possible was read, which changes whether the connection may be read further. */
	readonly onProceeded: () => void;
};

/** Steps of reading a request. */
const STEPS = {
	head: 'head', wholeHead: 'wholeHead', length: 'length', chunks: 'chunks', trailers: 'trailers', wholeTrailers: 'wholeTrailers', answer: 'answer', ended: 'ended',
} as const;

type Step = typeof STEPS[keyof typeof STEPS];

/** Codes of errors that the HTTP parser has for chunks of the kind. */
const CHUNK_ERROR_CODES: Readonly<Partial<Record<ChunkPart, string>>> = {
	tooLong: 'HPE_CHUNK_EXTENSIONS_OVERFLOW',
	invalid: 'HPE_INVALID_CHUNK_SIZE',
};
/** Bytes behind a request that is under way from which on its connection is not read. A caller that sends nothing ahead is seen to leave. */
const MAX_AHEAD_BYTES = 1024;
/** Time that counts at most for a step, beside what a head is estimated to take. More than that, the process did not run. */
const MAX_WORK_MS = 1;
/** Bytes around the data of a chunk: its size in hexadecimal digits and two line breaks. */
const MAX_CHUNK_FRAME_BYTES = 16;
const LINE_BREAK = Buffer.from('\r\n');
const LAST_CHUNK = Buffer.from('0\r\n');
const NO_BYTES = Buffer.alloc(0);
/** Memory that data of chunks is written to before it is copied. Grows to the longest read. */
let scratch = Buffer.alloc(0);

/** Creates a reader for a connection that has sent nothing yet. */
export function createRequestReader(options: RequestReaderOptions): RequestReader {
	const {socket, parse, mayParse, recordWork, requestTurn, findMaxHeadBytes, measureUnreadMs, onRejected, onProceeded} = options;
	let step: Step = STEPS.head;
	/** Bytes that were read and not looked at, beside those in `ahead`. */
	let unread: Buffer = NO_BYTES;
	const ahead = createByteCollector();
	/** Head or trailers as far as they were read. */
	const section = createByteCollector();
	let scan = createHeadScan();
	let heldSinceMs = 0;
	let lastReadAtMs = 0;
	let arrivedAtMs = 0;
	let lengthLeft = 0;
	let decoder: ChunkDecoder = createChunkDecoder();
	let incoming: IncomingMessage | undefined;
	let hasBody = false;
	let isAnswered = false;
	let isRunning = false;
	/** Time that the present step is estimated to take at most. */
	let estimatedMs = 0;
	let isTurn = false;

	const discard = () => {
		step = STEPS.ended;
		unread = NO_BYTES;
		ahead.takeBlocks();
		section.takeBlocks();
	};

	const refuse = (code: string) => {
		discard();
		onRejected(code);
	};

	/** Closes a connection whose request ends elsewhere for the parser, which would take bytes of a body for a request. */
	const checkEnd = (isEnd: boolean) => {
		if (incoming !== undefined && incoming.complete !== isEnd && !socket.destroyed) {
			discard();
			destroyConnection(socket, {reason: CLOSE_REASONS.otherEnd});
		}
	};

	const endRequest = () => {
		step = STEPS.answer;
		if (incoming !== undefined) {
			incoming.rawTrailers = [];
		}

		checkEnd(true);
	};

	/** Reads on in a head or in trailers. Returns whether they are whole. */
	const readSection = (): boolean => {
		const hadBegun = hasHeadBegun(scan);
		const {startsAt, endsAt} = scanHead(scan, unread);
		if (isHeadTooLong(scan, findMaxHeadBytes())) {
			refuse('HPE_HEADER_OVERFLOW');
			return false;
		}

		if (!hadBegun) {
			heldSinceMs = lastReadAtMs;
		}

		section.push(unread.subarray(startsAt, endsAt));
		unread = endsAt === undefined ? NO_BYTES : unread.subarray(endsAt);
		return endsAt !== undefined;
	};

	/** Returns whether a section that is whole may be parsed now. Asks for a turn if it costs much. */
	const mayParseSection = (): boolean => {
		if (isTurn || !isHeadCostly(scan)) {
			return true;
		}

		requestTurn();
		return false;
	};

	const parseSection = () => {
		estimatedMs = estimateHeadMs(scan);
		parse(section.take());
	};

	/** Steps by name. Each returns whether it made progress. */
	const runStep: Readonly<Record<Step, () => boolean>> = {
		head() {
			if (unread.length === 0) {
				return false;
			}

			if (readSection()) {
				step = STEPS.wholeHead;
				heldSinceMs = lastReadAtMs;
				arrivedAtMs = performance.now() - measureUnreadMs();
			}

			return true;
		},
		wholeHead() {
			if (!mayParseSection()) {
				return false;
			}

			incoming = undefined;
			isAnswered = false;
			step = STEPS.ended;
			parseSection();
			checkEnd(!hasBody);
			return true;
		},
		length() {
			if (unread.length === 0) {
				return false;
			}

			const bytes = unread.subarray(0, lengthLeft);
			unread = unread.subarray(bytes.length);
			lengthLeft -= bytes.length;
			parse(bytes);
			if (lengthLeft === 0) {
				endRequest();
			}

			return true;
		},
		chunks() {
			if (unread.length === 0) {
				return false;
			}

			const {readBytes, dataBytes, run} = decodeChunks(decoder, unread, takeScratch(unread.length));
			unread = unread.subarray(readBytes);
			if (dataBytes > 0) {
				parse(formatChunk(dataBytes));
			}

			if (run !== undefined) {
				parse(Buffer.from(`${run.length.toString(16)}\r\n`));
				parse(run as Buffer);
				parse(LINE_BREAK);
			}

			if (decoder.part === CHUNK_PARTS.end) {
				parse(LAST_CHUNK);
				scan = createHeadScan({skipsLeadingBreaks: false});
				step = STEPS.trailers;
			}

			const code = CHUNK_ERROR_CODES[decoder.part];
			if (code !== undefined) {
				refuse(code);
			}

			return true;
		},
		trailers() {
			if (unread.length === 0) {
				return false;
			}

			if (readSection()) {
				step = STEPS.wholeTrailers;
			}

			return true;
		},
		wholeTrailers() {
			if (!mayParseSection()) {
				return false;
			}

			parseSection();
			endRequest();
			return true;
		},
		answer() {
			if (!isAnswered) {
				return false;
			}

			scan = createHeadScan();
			step = STEPS.head;
			return true;
		},
		ended() {
			discard();
			return false;
		},
	};

	const proceed = ({isTurn: isTurnNow = false} = {}) => {
		if (isRunning) {
			return;
		}

		isRunning = true;
		isTurn = isTurnNow;
		if (ahead.getLength() > 0) {
			unread = ahead.take();
		}

		let hasMore = true;
		while (hasMore && mayParse()) {
			const startedAtMs = performance.now();
			estimatedMs = 0;
			hasMore = runStep[step]();
			if (hasMore) {
				recordWork(performance.now() - startedAtMs, MAX_WORK_MS + estimatedMs);
			}
		}

		if (unread.length > 0) {
			// A part of a read would keep the whole of it.
			ahead.push(unread.length < unread.buffer.byteLength / 2 ? Buffer.from(unread) : unread);
			unread = NO_BYTES;
		}

		isTurn = false;
		isRunning = false;
		onProceeded();
	};

	const isHeadWhole = () => step === STEPS.wholeHead;
	const countHeldBytes = () => step === STEPS.head || step === STEPS.wholeHead || step === STEPS.answer ? ahead.getLength() + section.getLength() : 0;

	return {
		receive(bytes) {
			lastReadAtMs = performance.now();
			if (ahead.getLength() > 0) {
				ahead.push(bytes);
			} else {
				unread = bytes;
			}

			proceed();
		},
		proceed,
		recordRequest(request, response, {contentLength, isChunked}) {
			incoming = request;
			lengthLeft = contentLength;
			response.on('close', () => {
				isAnswered = true;
				queueMicrotask(proceed);
			});
			hasBody = isChunked || contentLength > 0;
			decoder = createChunkDecoder();
			step = isChunked ? STEPS.chunks : (hasBody ? STEPS.length : STEPS.answer);
		},
		mayReceive: () => ahead.getLength() <= MAX_AHEAD_BYTES,
		countHeldBytes,
		isHeadWhole,
		findHeld() {
			const heldBytes = ahead.getLength() + section.getLength();
			return heldBytes === 0
				? undefined
				: {
					socket, heldBytes, heldSinceMs, isWhole: isHeadWhole(), isPartial: step === STEPS.head,
				};
		},
		getTimes: () => ({arrivedAtMs, lastReadAtMs}),
		discard,
	};
}

function takeScratch(length: number): Buffer {
	if (scratch.length < length) {
		scratch = Buffer.alloc(length);
	}

	return scratch;
}

/** Copies data from the scratch memory as one chunk. */
function formatChunk(dataBytes: number): Buffer {
	const size = `${dataBytes.toString(16)}\r\n`;
	const chunk = Buffer.allocUnsafe(dataBytes + MAX_CHUNK_FRAME_BYTES);
	const startsAt = chunk.write(size, 'latin1');
	scratch.copy(chunk, startsAt, 0, dataBytes);
	chunk.write('\r\n', startsAt + dataBytes, 'latin1');
	return chunk.subarray(0, startsAt + dataBytes + 2);
}
