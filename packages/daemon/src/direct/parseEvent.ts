import {type Buffer, isUtf8} from 'node:buffer';
import {parseEventNumber} from '@damaskspool/core';
import {type LineEnd} from './lineEnds.js';

/** What the lines up to a blank line are. */
export const BLOCK_KINDS = {
	/** An event with a number. */
	event: 'event',
	/** Lines that give no event by the specification, such as comments. */
	silent: 'silent',
	refused: 'refused',
} as const;

/** Lines of a stream up to a blank line. An event has its identifier as it is written and as a number. */
export type EventBlock
	= | {readonly kind: typeof BLOCK_KINDS.event; readonly id: string; readonly number: number}
		| {readonly kind: typeof BLOCK_KINDS.silent; readonly hasFields: boolean}
		/** Why the lines can be no part of the stream, without their content. */
		| {readonly kind: typeof BLOCK_KINDS.refused; readonly refusal: string};

/** Options of {@link parseEvent}. */
export type ParseEventOptions = {
	readonly lineEnd: LineEnd;
	/** Names of fields that targets may send in addition to the standard ones. */
	readonly extraFields: ReadonlySet<string>;
};

/** What is told of a stream whose lines do not all end in the same way. */
export const MIXED_LINE_ENDS = 'a line break of another kind than before';
/** Fields of the specification of server-sent events that give no event without others. */
const SILENT_FIELDS: ReadonlySet<string> = new Set(['event', 'retry']);
/** Fields that make an event. */
const EVENT_FIELDS: ReadonlySet<string> = new Set(['id', 'data']);
/** Control characters of ASCII other than a tab and a line break. */
const CONTROL_CHARACTER = /[\p{Cc}--[\t\n\r\u0080-\u009F]]/v;

/**
 * Parses lines of a numbered stream.
 *
 * @param bytes - whole lines, with the blank line that closes them or without it
 */
export function parseEvent(bytes: Buffer, {lineEnd, extraFields}: ParseEventOptions): EventBlock {
	const text = bytes.toString('utf8');
	if (lineEnd.foreign.test(text)) {
		return refuseBlock(MIXED_LINE_ENDS);
	}

	if (!isUtf8(bytes)) {
		return refuseBlock('bytes that are not UTF-8');
	}

	if (CONTROL_CHARACTER.test(text)) {
		return refuseBlock('a control character');
	}

	const fields = text.split(lineEnd.end).filter(line => line !== '' && !line.startsWith(':')).map(line => splitLine(line));
	if (!fields.every(([name]) => EVENT_FIELDS.has(name) || SILENT_FIELDS.has(name) || extraFields.has(name))) {
		return refuseBlock('a line that is no known field');
	}

	if (fields.every(([name]) => SILENT_FIELDS.has(name))) {
		return {kind: BLOCK_KINDS.silent, hasFields: fields.length > 0};
	}

	return parseFields(fields);
}

type Field = readonly [name: string, value: string];

function parseFields(fields: readonly Field[]): EventBlock {
	const [id, ...furtherIds] = fields.filter(([name]) => name === 'id').map(([, value]) => value);
	if (id === undefined || furtherIds.length > 0) {
		return refuseBlock(id === undefined ? 'an event without an identifier' : 'an event with two identifiers');
	}

	if (!fields.some(([name]) => name === 'data')) {
		return refuseBlock('an event without data');
	}

	const number = parseEventNumber(id);
	return number === undefined ? refuseBlock('an event whose identifier is no number') : {kind: BLOCK_KINDS.event, id, number};
}

function refuseBlock(refusal: string): EventBlock {
	return {kind: BLOCK_KINDS.refused, refusal};
}

function splitLine(line: string): Field {
	const colon = line.indexOf(':');
	return colon === -1 ? ['', ''] : [line.slice(0, colon), line.slice(colon + 1).replace(/^ /v, '')];
}
