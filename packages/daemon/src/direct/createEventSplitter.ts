import {Buffer} from 'node:buffer';

/** Splits a stream of chunks into complete server-sent events. */
export type EventSplitter = {
	/** Adds a chunk. Returns the unchanged bytes of the events that it completes, or undefined if it completes none. */
	readonly push: (chunk: Buffer) => Buffer | undefined;
	/** Returns the identifier of the last complete event that has one. */
	readonly getLastEventId: () => string | undefined;
	/** Returns the number of buffered bytes, which belong to an incomplete event. */
	readonly countIncompleteBytes: () => number;
};

const EVENT_END = '\n\n';
/** The `id` field of an event, on any of its lines. */
const ID_FIELD = /^id: ?(?<id>.*)$/gmv;

/**
 * Creates a splitter that buffers an event until it is complete, so that a caller
 * never receives part of an event when the target's connection breaks.
 */
export function createEventSplitter(): EventSplitter {
	let incompleteEvent: Buffer = Buffer.alloc(0);
	let lastEventId: string | undefined;
	return {
		push(chunk) {
			const joined = incompleteEvent.length === 0 ? chunk : Buffer.concat([incompleteEvent, chunk]);
			const end = joined.lastIndexOf(EVENT_END);
			if (end === -1) {
				incompleteEvent = joined;
				return undefined;
			}

			const completeEvents = joined.subarray(0, end + EVENT_END.length);
			incompleteEvent = joined.subarray(end + EVENT_END.length);
			for (const match of completeEvents.toString('latin1').matchAll(ID_FIELD)) {
				lastEventId = match.groups?.id;
			}

			return completeEvents;
		},
		getLastEventId: () => lastEventId,
		countIncompleteBytes: () => incompleteEvent.length,
	};
}
