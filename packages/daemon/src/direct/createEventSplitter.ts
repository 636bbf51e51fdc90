import {Buffer} from 'node:buffer';
import {
	advanceEventOrder, createEventOrder, type EventOrderStart, type StreamForm,
} from '@damaskspool/core';
import {findLineEnd, LINE_ENDS, type LineEnd} from './lineEnds.js';
import {BLOCK_KINDS, MIXED_LINE_ENDS, parseEvent} from './parseEvent.js';

/** What a chunk adds to a stream. */
export type SplitResult = {
	/**
	 * Unchanged bytes of the events that the chunk completes, with the lines before, between and behind them that give no event;
	 * undefined if there are none. Such lines are held until the first event.
	 */
	readonly completeEvents: Buffer | undefined;
	/** Why the bytes that follow are not the next event of the stream, without their content; undefined if they may be. Nothing after them can be used. */
	readonly refusal: string | undefined;
};

/** What is left at the end of a stream. */
export type SplitEnd = {
	/** Whether the stream ended within an event. */
	readonly isWithinEvent: boolean;
	/** Whole lines that give no event and were held; undefined if there are none. */
	readonly rest: Buffer | undefined;
};

/** Splits a stream of chunks into complete server-sent events. */
export type EventSplitter = {
	/** Adds a chunk. */
	readonly push: (chunk: Buffer) => SplitResult;
	/** Takes what is left at the end of the stream. */
	readonly finish: () => SplitEnd;
	/** Returns the identifier of the last complete event, or the one that the splitter was created with. */
	readonly getLastEventId: () => string | undefined;
	/** Returns what the events have shown of how they are numbered. */
	readonly getForm: () => StreamForm;
	/** Returns the number of buffered bytes: those of an incomplete event, and those held until the first event. */
	readonly countIncompleteBytes: () => number;
};

/** Options of {@link createEventSplitter}. */
export type EventSplitterOptions = EventOrderStart & {
	/** Names of fields that targets may send in addition to the standard ones. */
	readonly extraFields: ReadonlySet<string>;
};

/** Bytes in a row that give no event. Targets that send nothing else are not forwarded without end. */
const MAX_SILENT_BYTES = 16_384;

/**
 * Creates a splitter that buffers an event until it is complete, so that a caller never receives part of an event when the
 * target's connection breaks, nor bytes that are no event of the stream.
 */
export function createEventSplitter({extraFields, ...orderStart}: EventSplitterOptions): EventSplitter {
	/** Starts with the bytes that are held. Grows by doubling, so that small chunks are not copied again and again. */
	let buffer: Buffer = Buffer.alloc(0);
	let length = 0;
	/** Begin of the incomplete lines among the bytes that are held. */
	let blockStart = 0;
	/** Bytes of complete lines since the last event. */
	let silentBytes = 0;
	let order = createEventOrder(orderStart);
	let lineEnd: LineEnd | undefined;

	/** Returns the bytes that are held followed by those of a chunk. */
	const joinChunk = (chunk: Buffer): Buffer => {
		if (length === 0) {
			return chunk;
		}

		const joinedLength = length + chunk.length;
		if (joinedLength > buffer.length) {
			const grown = Buffer.allocUnsafe(Math.max(joinedLength, 2 * length));
			grown.set(buffer.subarray(0, length));
			buffer = grown;
		}

		buffer.set(chunk, length);
		return buffer.subarray(0, joinedLength);
	};

	/** Keeps the bytes that are not forwarded yet, apart from what they were read with. */
	const storeHeld = (bytes: Buffer) => {
		if (length === 0) {
			buffer = Buffer.from(bytes);
		}

		length = bytes.length;
	};

	/** Takes complete lines. Returns why they can be no part of the stream; undefined if they are. */
	const takeBlock = (bytes: Buffer, blockEnd: LineEnd): string | undefined => {
		const block = parseEvent(bytes, {lineEnd: blockEnd, extraFields});
		if (block.kind === BLOCK_KINDS.refused) {
			return block.refusal;
		}

		if (block.kind === BLOCK_KINDS.silent) {
			silentBytes += bytes.length;
			return silentBytes > MAX_SILENT_BYTES ? `more than ${MAX_SILENT_BYTES} bytes without an event` : undefined;
		}

		const advanced = advanceEventOrder(order, block);
		order = advanced.order;
		silentBytes = 0;
		return advanced.fault;
	};

	return {
		push(chunk) {
			const joinedFrom = length;
			const joined = joinChunk(chunk);
			lineEnd ??= findLineEnd(joined, Math.max(0, joinedFrom - 1));
			if (lineEnd === undefined) {
				storeHeld(joined);
				return {completeEvents: undefined, refusal: undefined};
			}

			// What came before holds no end of an event, but may hold all of one but its last byte.
			let searchStart = Math.max(blockStart, joinedFrom - lineEnd.blockEnd.length);
			let passedLength = 0;
			let refusal: string | undefined;
			for (let end = findBlockEnd(joined, lineEnd, {blockStart, searchStart}); end !== -1; end = findBlockEnd(joined, lineEnd, {blockStart, searchStart})) {
				refusal = takeBlock(joined.subarray(blockStart, end), lineEnd);
				if (refusal !== undefined) {
					break;
				}

				blockStart = end;
				searchStart = end;
				passedLength = order.hasEvents ? end : 0;
			}

			// The rest need not wait for the end of an event that never comes.
			if (refusal === undefined && lineEnd.foreign.test(joined.toString('latin1', searchStart))) {
				refusal = MIXED_LINE_ENDS;
			}

			if (passedLength > 0) {
				length = 0;
				blockStart -= passedLength;
			}

			storeHeld(joined.subarray(passedLength));
			return {completeEvents: passedLength === 0 ? undefined : joined.subarray(0, passedLength), refusal};
		},
		finish() {
			const held = buffer.subarray(0, length);
			const lines = held.subarray(blockStart);
			const text = lines.toString('latin1');
			// A carriage return as the first line break of all may be the first half of one until nothing follows.
			const knownEnd = lineEnd ?? LINE_ENDS.cr;
			const isWhole = lines.length === 0 || text.endsWith(knownEnd.end);
			const block = isWhole ? parseEvent(lines, {lineEnd: knownEnd, extraFields}) : undefined;
			const isWithinEvent = block?.kind !== BLOCK_KINDS.silent || block.hasFields;
			return {isWithinEvent, rest: length === 0 || isWithinEvent ? undefined : held};
		},
		getLastEventId: () => order.lastEventId,
		getForm: () => order,
		countIncompleteBytes: () => length,
	};
}

/**
 * Finds the end of the lines up to a blank line, or of a blank line that has none before it.
 *
 * @returns -1 if it has not come yet
 */
function findBlockEnd(bytes: Buffer, {end, blockEnd}: LineEnd, {blockStart, searchStart}: {blockStart: number; searchStart: number}): number {
	const isBlankLine = bytes[blockStart] === end.codePointAt(0) && (end.length === 1 || bytes[blockStart + 1] === end.codePointAt(1));
	if (isBlankLine) {
		return blockStart + end.length;
	}

	const at = bytes.indexOf(blockEnd, searchStart);
	return at === -1 ? -1 : at + blockEnd.length;
}
