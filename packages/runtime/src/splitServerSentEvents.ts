import {Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {KIBIBYTE_BYTES} from '@damaskspool/shared';

/** Maximum size of an event from a target. */
const MAX_EVENT_BYTES = 256 * KIBIBYTE_BYTES;

/** A complete server-sent event. */
export type ServerSentEvent = {
	/** Bytes of the event including its closing blank line. Forwarded unchanged. */
	readonly bytes: Buffer;
	/** Value of the `id` field, or undefined if there is none. */
	readonly id: string | undefined;
	/** Value of the `data` field, with several fields joined by line breaks. Undefined for a comment. */
	readonly data: string | undefined;
};

/** Thrown if a target's response is not a valid event stream. */
export class MalformedStreamError extends Error {
	override readonly name = 'MalformedStreamError';
}

/**
 * Splits a byte stream into complete events: if the stream breaks off, a caller
 * never receives a partial event. Buffers only data that does not yet form a complete event.
 * Throws a {@link MalformedStreamError} if the stream is not a valid event stream.
 *
 * @param stream - body of a response of type text/event-stream
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
			throw new MalformedStreamError('an event exceeds the size limit');
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
			throw new MalformedStreamError('a line is not a field of an event');
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
