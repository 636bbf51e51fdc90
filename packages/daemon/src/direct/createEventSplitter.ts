import {Buffer} from 'node:buffer';

/** Whole events out of chunks. */
export type EventSplitter = {
	/** Takes a chunk; returns the events that it completes, as they came, or undefined for none. */
	readonly push: (chunk: Buffer) => Buffer | undefined;
	/** Identifier of the last whole event that had one. */
	readonly readLastId: () => string | undefined;
	/** Whether bytes of an event that is not whole are held. */
	readonly hasRest: () => boolean;
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
	let rest: Buffer = Buffer.alloc(0);
	let lastId: string | undefined;
	return {
		push(chunk) {
			const joined = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
			const end = joined.lastIndexOf(EVENT_END);
			if (end === -1) {
				rest = joined;
				return undefined;
			}

			const whole = joined.subarray(0, end + EVENT_END.length);
			rest = joined.subarray(end + EVENT_END.length);
			for (const match of whole.toString('latin1').matchAll(ID_FIELD)) {
				lastId = match.groups?.id;
			}

			return whole;
		},
		readLastId: () => lastId,
		hasRest: () => rest.length > 0,
	};
}
