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
/** Fields of the specification of server-sent events. */
const STANDARD_FIELDS: ReadonlySet<string> = new Set(['id', 'data', 'event', 'retry']);
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

	let id: string | undefined;
	let hasData = false;
	let hasFields = false;
	let hasExtraFields = false;
	for (const line of text.split(lineEnd.end)) {
		if (line === '' || line.startsWith(':')) {
			continue;
		}

		const [name, value] = splitLine(line);
		const isExtra = extraFields.has(name);
		if (!(isExtra || STANDARD_FIELDS.has(name))) {
			return refuseBlock('a line that is no known field');
		}

		if (name === 'id' && id !== undefined) {
			return refuseBlock('an event with two identifiers');
		}

		id = name === 'id' ? value : id;
		hasData ||= name === 'data';
		hasExtraFields ||= isExtra;
		hasFields = true;
	}

	if (id === undefined) {
		return hasData || hasExtraFields ? refuseBlock('an event without an identifier') : {kind: BLOCK_KINDS.silent, hasFields};
	}

	if (!hasData) {
		return refuseBlock('an event without data');
	}

	const number = parseEventNumber(id);
	return number === undefined ? refuseBlock('an event whose identifier is no number') : {kind: BLOCK_KINDS.event, id, number};
}

function refuseBlock(refusal: string): EventBlock {
	return {kind: BLOCK_KINDS.refused, refusal};
}

function splitLine(line: string): readonly [name: string, value: string] {
	const colon = line.indexOf(':');
	return colon === -1 ? ['', ''] : [line.slice(0, colon), line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1)];
}
