import {Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {KIBIBYTE_BYTES} from '@damaskspool/shared';

/** Largest single event that a target may send. */
const MAX_EVENT_BYTES = 256 * KIBIBYTE_BYTES;

/** One whole server-sent event. */
export type ServerSentEvent = {
	/** The event's bytes with its closing blank line, passed on unchanged. */
	readonly bytes: Buffer;
	/** Value of its `id` field, or undefined. */
	readonly id: string | undefined;
	/** Value of its `data` field, or undefined for a comment. */
	readonly data: string | undefined;
};

/** What a target sent is not an event stream. */
export class MalformedStreamError extends Error {
	override readonly name = 'MalformedStreamError';
}

/**
 * Splits a byte stream into whole events, so that a break never hands half an
 * event to a caller. Only one event is held at a time.
 *
 * @param stream - body of an answer of type text/event-stream
 * @returns the events in order; throws {@link MalformedStreamError} for bytes that are none
 */
export async function * splitServerSentEvents(stream: Readable): AsyncGenerator<ServerSentEvent, void, void> {
	let buffered: Buffer = Buffer.alloc(0);
	for await (const chunk of stream as AsyncIterable<Buffer>) {
		buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
		let start = 0;
		for (;;) {
			const end = buffered.indexOf('\n\n', start);
			if (end === -1) {
				break;
			}

			yield parseEvent(buffered.subarray(start, end + 2));
			start = end + 2;
		}

		buffered = buffered.subarray(start);
		if (buffered.length > MAX_EVENT_BYTES) {
			throw new MalformedStreamError('an event is over the size limit');
		}
	}

	if (buffered.length > 0) {
		throw new MalformedStreamError('the stream ended within an event');
	}
}

function parseEvent(bytes: Buffer): ServerSentEvent {
	let id: string | undefined;
	let data: string | undefined;
	for (const line of bytes.toString('utf8').split('\n')) {
		if (line === '' || line.startsWith(':')) {
			continue;
		}

		const match = /^(?<field>id|data|event|retry): ?(?<value>.*)$/v.exec(line);
		if (match?.groups === undefined) {
			throw new MalformedStreamError('a line is no field of an event');
		}

		const {field, value} = match.groups;
		if (field === 'id') {
			id = value;
		} else if (field === 'data') {
			data = data === undefined ? value : `${data}\n${value}`;
		}
	}

	return {bytes, id, data};
}
