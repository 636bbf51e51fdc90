import {type Buffer} from 'node:buffer';

/** How the lines of a stream end. */
export type LineEnd = {
	readonly end: string;
	/** End of a line and of the blank line behind it. */
	readonly blockEnd: string;
	/** Line break of another kind. A carriage return at the end of what was read may be the first half of an end. */
	readonly foreign: RegExp;
};

/** Line ends of the specification of server-sent events. */
export const LINE_ENDS = {
	lf: {end: '\n', blockEnd: '\n\n', foreign: /\r/v},
	crLf: {end: '\r\n', blockEnd: '\r\n\r\n', foreign: /(?<=[^\r])\n|\r(?!\n|$)/v},
	cr: {end: '\r', blockEnd: '\r\r', foreign: /\n/v},
} as const satisfies Readonly<Record<string, LineEnd>>;

/**
 * Finds how the lines of a stream end, by its first line break.
 *
 * @param bytes - begin with a line
 * @returns undefined if that is not known yet
 */
export function findLineEnd(bytes: Buffer, searchStart = 0): LineEnd | undefined {
	const text = bytes.toString('latin1', searchStart);
	const at = text.search(/[\r\n]/v);
	if (at === -1 || text[at] === '\n') {
		return at === -1 ? undefined : LINE_ENDS.lf;
	}

	const next = text[at + 1];
	if (next === undefined) {
		return undefined;
	}

	return next === '\n' ? LINE_ENDS.crLf : LINE_ENDS.cr;
}
