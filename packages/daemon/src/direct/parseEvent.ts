import {type Buffer, isUtf8} from 'node:buffer';
import {parseEventNumber} from '@damaskspool/core';
import {type LineEnd} from './lineEnds.js';

/** Identifier of an event, as it is written and as a number. */
export type NumberedEvent = {readonly id: string; readonly number: number};

/** Options of {@link parseEvent}. */
export type ParseEventOptions = {
	readonly lineEnd: LineEnd;
	/** Names of fields that targets may send in addition to the standard ones. */
	readonly extraFields: ReadonlySet<string>;
};

/** What is told of a stream whose lines do not all end in the same way. */
export const MIXED_LINE_ENDS = 'a line break of another kind than before';
/** Fields of the specification of server-sent events. */
const STANDARD_FIELDS: ReadonlySet<string> = new Set(['id', 'data', 'event', 'retry']);
/** Control characters of ASCII other than a tab and a line break. */
const CONTROL_CHARACTER = /[\p{Cc}--[\t\n\r\u0080-\u009F]]/v;

/**
 * Parses an event of a numbered stream.
 *
 * @param bytes - the event with its closing blank line
 * @returns why the bytes are no such event, without their content, if they are none
 */
export function parseEvent(bytes: Buffer, {lineEnd, extraFields}: ParseEventOptions): NumberedEvent | string {
	const text = bytes.toString('utf8');
	if (lineEnd.foreign.test(text)) {
		return MIXED_LINE_ENDS;
	}

	if (!isUtf8(bytes)) {
		return 'bytes that are not UTF-8';
	}

	if (CONTROL_CHARACTER.test(text)) {
		return 'a control character';
	}

	let id: string | undefined;
	let hasData = false;
	for (const line of text.slice(0, -2 * lineEnd.end.length).split(lineEnd.end)) {
		const [name, value] = splitLine(line);
		if (!(STANDARD_FIELDS.has(name) || extraFields.has(name))) {
			return 'a line that is no known field';
		}

		if (name === 'id' && id !== undefined) {
			return 'an event with two identifiers';
		}

		id = name === 'id' ? value : id;
		hasData ||= name === 'data';
	}

	if (id === undefined || !hasData) {
		return id === undefined ? 'an event without an identifier' : 'an event without data';
	}

	const number = parseEventNumber(id);
	return number === undefined ? 'an event whose identifier is no number' : {id, number};
}

function splitLine(line: string): readonly [name: string, value: string] {
	const colon = line.indexOf(':');
	return colon === -1 ? ['', ''] : [line.slice(0, colon), line.slice(colon + 1).replace(/^ /v, '')];
}
