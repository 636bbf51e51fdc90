import {Buffer} from 'node:buffer';

/** Whole events out of chunks. */
export type EventSplitter = {
	/** Takes a chunk; returns the events that it completes, as they came, or undefined for none. */
	readonly push: (chunk: Buffer) => Buffer | undefined;
	/** Identifier of the last whole event that had one. */
	readonly getLastEventId: () => string | undefined;
	/** Whether bytes of an event that is not whole are held. */
	readonly hasIncompleteEvent: () => boolean;
};

const EVENT_END = '\n\n';
/** The `id` field of an event, wherever in it that stands. */
const ID_FIELD = /^id: ?(?<id>.*)$/gmv;

/**
 * Creates a splitter that holds at most one event back, so that a break never
 * hands half an event to a caller.
 *
 * @returns the splitter
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
		hasIncompleteEvent: () => incompleteEvent.length > 0,
	};
}
