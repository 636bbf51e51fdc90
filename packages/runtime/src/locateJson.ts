import {parseTree, type ParseError, printParseErrorCode} from 'jsonc-parser';
import {Err, Ok, type Result} from '@damaskspool/shared';
import {
	getOffset, type JsonNode, type ScannedJson, scanJson,
} from './scanJson.js';

/** Names of members and indexes of elements, from the root of a JSON text. */
export type JsonPath = ReadonlyArray<string | number>;

/** Place in a text. Both are counted from 1. */
export type TextPlace = {readonly line: number; readonly column: number};

/** A fault that keeps a text from being JSON. The message holds nothing of the text. */
export type JsonFault = TextPlace & {readonly message: string};

/** A parsed JSON text. */
export type LocatedJson = {
	/** What `JSON.parse` returns for the text. */
	readonly value: unknown;
	/** Returns the place of a value, or of the nearest value around it if there is none at the path. */
	readonly locate: (path: JsonPath) => TextPlace;
	readonly has: (path: JsonPath) => boolean;
	/** Lists the members that a later member of the same object replaces. */
	readonly listRepeatedMembers: () => ReadonlyArray<TextPlace & {readonly path: JsonPath}>;
};

/** Parses a JSON text and keeps the places of its values. `JSON.parse` decides whether it is JSON; its messages quote the text and are not used. */
export function parseLocatedJson(text: string): Result<LocatedJson, JsonFault> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return Err(findFault(text));
	}

	const locateOffset = createOffsetLookup(text);
	let scanned: ScannedJson | undefined;
	// The scan takes longer than the parse, and no place is asked for in most texts.
	const scan = () => {
		scanned ??= scanJson(text);
		return scanned;
	};

	return Ok({
		value,
		locate: path => locateOffset(getOffset(findNearest(scan().root, path).node)),
		has: path => findNearest(scan().root, path).depth === path.length,
		listRepeatedMembers: () => scan().repeatedMembers.map(({path, offset}) => ({path, ...locateOffset(offset)})),
	});
}

/** Formats a path as in `Routes[2].TimeoutMs`. */
export function formatJsonPath(path: JsonPath): string {
	return path.map(part => typeof part === 'number' ? `[${part}]` : `.${part}`).join('').replace(/^\./v, '');
}

/** Finds where a text stops being JSON, with a parser that tells the offset. */
function findFault(text: string): JsonFault {
	const faults: ParseError[] = [];
	try {
		parseTree(text, faults, {disallowComments: true});
	} catch {
		// The parser is recursive, so that values nested very deeply exceed its stack. Faults up to there are known.
	}

	const [fault] = faults;
	return {...createOffsetLookup(text)(fault?.offset ?? 0), message: fault === undefined ? 'not JSON' : printParseErrorCode(fault.error)};
}

function findNearest(root: JsonNode, path: JsonPath): {node: JsonNode; depth: number} {
	let node = root;
	for (const [depth, step] of path.entries()) {
		const child = typeof node === 'number' ? undefined : (typeof step === 'number' ? node.elements?.[step] : node.members?.get(step));
		if (child === undefined) {
			return {node, depth};
		}

		node = child;
	}

	return {node, depth: path.length};
}

/** Creates a lookup that finds the line of an offset in logarithmic time. */
function createOffsetLookup(text: string): (offset: number) => TextPlace {
	const lineStarts = [0];
	for (let end = text.indexOf('\n'); end !== -1; end = text.indexOf('\n', end + 1)) {
		lineStarts.push(end + 1);
	}

	return offset => {
		let low = 0;
		let high = lineStarts.length - 1;
		while (low < high) {
			const middle = Math.ceil((low + high) / 2);
			if (lineStarts[middle]! <= offset) {
				low = middle;
			} else {
				high = middle - 1;
			}
		}

		return {line: low + 1, column: offset - lineStarts[low]! + 1};
	};
}
