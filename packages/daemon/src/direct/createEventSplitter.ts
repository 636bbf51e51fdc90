import {Buffer} from 'node:buffer';
import {findOrderFault} from '@damaskspool/core';
import {findLineEnd, type LineEnd} from './lineEnds.js';
import {MIXED_LINE_ENDS, parseEvent} from './parseEvent.js';

/** What a chunk adds to a stream. */
export type SplitResult = {
	/** Unchanged bytes of the events that the chunk completes; undefined if it completes none. */
	readonly completeEvents: Buffer | undefined;
	/** Why the bytes that follow are not the next event of the stream, without their content; undefined if they may be. Nothing after them can be used. */
	readonly refusal: string | undefined;
};

/** Splits a stream of chunks into complete server-sent events. */
export type EventSplitter = {
	/** Adds a chunk. */
	readonly push: (chunk: Buffer) => SplitResult;
	/** Returns the identifier of the last complete event, or the one that the splitter was created with. */
	readonly getLastEventId: () => string | undefined;
	/** Returns the number of buffered bytes, which belong to an incomplete event. */
	readonly countIncompleteBytes: () => number;
};

/** Options of {@link createEventSplitter}. */
export type EventSplitterOptions = {
	/** Identifier of the last event that the caller has; undefined if it has none. */
	readonly lastEventId: string | undefined;
	/** Names of fields that targets may send in addition to the standard ones. */
	readonly extraFields: ReadonlySet<string>;
};

/**
 * Creates a splitter that buffers an event until it is complete, so that a caller never receives part of an event when the
 * target's connection breaks, nor bytes that are no event of the stream.
 */
export function createEventSplitter({lastEventId: firstEventId, extraFields}: EventSplitterOptions): EventSplitter {
	/** Starts with the bytes of the incomplete event. Grows by doubling, so that small chunks are not copied again and again. */
	let buffer: Buffer = Buffer.alloc(0);
	let length = 0;
	let lastEventId = firstEventId;
	let lineEnd: LineEnd | undefined;

	/** Returns the bytes of the incomplete event followed by those of a chunk. */
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

	/** Keeps the bytes of an incomplete event, apart from what they were read with. */
	const storeIncomplete = (bytes: Buffer) => {
		if (length === 0) {
			buffer = Buffer.from(bytes);
		}

		length = bytes.length;
	};

	return {
		push(chunk) {
			// What came before holds no end of an event, but may hold all of one but its last byte.
			const joinedFrom = length;
			const joined = joinChunk(chunk);
			lineEnd ??= findLineEnd(joined, Math.max(0, joinedFrom - 1));
			if (lineEnd === undefined) {
				storeIncomplete(joined);
				return {completeEvents: undefined, refusal: undefined};
			}

			const eventEnd = lineEnd.end.repeat(2);
			let start = 0;
			let refusal: string | undefined;
			let searchStart = Math.max(0, joinedFrom - eventEnd.length);
			for (let at = joined.indexOf(eventEnd, searchStart); at !== -1; at = joined.indexOf(eventEnd, start)) {
				const end = at + eventEnd.length;
				const event = parseEvent(joined.subarray(start, end), {lineEnd, extraFields});
				refusal = typeof event === 'string' ? event : findOrderFault(lastEventId, event.number);
				if (typeof event === 'string' || refusal !== undefined) {
					break;
				}

				lastEventId = event.id;
				start = end;
				searchStart = end;
			}

			// The rest need not wait for the end of an event that never comes.
			if (refusal === undefined && lineEnd.foreign.test(joined.toString('latin1', searchStart))) {
				refusal = MIXED_LINE_ENDS;
			}

			if (start > 0) {
				length = 0;
			}

			storeIncomplete(joined.subarray(start));
			return {completeEvents: start === 0 ? undefined : joined.subarray(0, start), refusal};
		},
		getLastEventId: () => lastEventId,
		countIncompleteBytes: () => length,
	};
}
