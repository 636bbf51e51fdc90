/** An object or array in a JSON text. */
export type JsonContainer = {
	/** Offset of the first character. */
	readonly offset: number;
	/** Values of an object; of a repeated name the last one. */
	readonly members: Map<string, JsonNode> | undefined;
	/** Values of an array. */
	readonly elements: JsonNode[] | undefined;
};

/** A value in a JSON text: the offset of its first character if it contains no other value. */
export type JsonNode = number | JsonContainer;

/** A value that a later member of the same name replaces. */
export type RepeatedMember = {readonly path: ReadonlyArray<string | number>; readonly offset: number};

/** Offsets of the values of a JSON text. */
export type ScannedJson = {readonly root: JsonNode; readonly repeatedMembers: readonly RepeatedMember[]};

/** An object or array whose end was not reached yet. The name is of the member whose value follows. */
type OpenNode = {readonly node: JsonContainer; readonly path: ReadonlyArray<string | number>; name: string | undefined};

/** Characters that have a meaning outside strings. The others there are white space, numbers and words. */
const MARKS = {
	space: 0x20, quote: 0x22, comma: 0x2C, colon: 0x3A, openArray: 0x5B, backslash: 0x5C, closeArray: 0x5D, openObject: 0x7B, closeObject: 0x7D,
} as const;

/**
 * Finds the offsets of all values of a text in one pass.
 *
 * @param text - text that `JSON.parse` accepts; the result for others means nothing
 */
export function scanJson(text: string): ScannedJson {
	const repeatedMembers: RepeatedMember[] = [];
	const openNodes: OpenNode[] = [];
	let root: JsonNode | undefined;
	let open: OpenNode | undefined;
	for (let offset = 0; offset < text.length; offset += 1) {
		const mark = text.codePointAt(offset)!;
		if (isSeparator(mark)) {
			continue;
		}

		if (mark === MARKS.closeObject || mark === MARKS.closeArray) {
			openNodes.pop();
			open = openNodes.at(-1);
			continue;
		}

		const isOpening = mark === MARKS.openObject || mark === MARKS.openArray;
		const end = isOpening ? offset : findEnd(text, offset);
		if (open?.node.members !== undefined && open.name === undefined) {
			open.name = parseName(text.slice(offset, end + 1));
			offset = end;
			continue;
		}

		const container = isOpening ? createContainer(offset, mark) : undefined;
		const step = open === undefined ? undefined : addChild(open, container ?? offset, repeatedMembers);
		root ??= container ?? offset;
		if (container !== undefined) {
			open = {node: container, path: step === undefined ? [] : [...openNodes.at(-1)!.path, step], name: undefined};
			openNodes.push(open);
		}

		offset = end;
	}

	return {root: root ?? 0, repeatedMembers};
}

/** Returns the offset of the first character of a value. */
export function getOffset(node: JsonNode): number {
	return typeof node === 'number' ? node : node.offset;
}

function createContainer(offset: number, mark: number): JsonContainer {
	return {offset, members: mark === MARKS.openObject ? new Map() : undefined, elements: mark === MARKS.openArray ? [] : undefined};
}

/** Returns whether a character stands between values and names. All white space of JSON is up to the space. */
function isSeparator(mark: number): boolean {
	return mark <= MARKS.space || mark === MARKS.comma || mark === MARKS.colon;
}

/** Returns the offset of the last character of a string, number or word. */
function findEnd(text: string, offset: number): number {
	return text.codePointAt(offset) === MARKS.quote ? findStringEnd(text, offset) : findWordEnd(text, offset);
}

function findStringEnd(text: string, offset: number): number {
	let end = text.indexOf('"', offset + 1);
	while (end !== -1 && countBackslashes(text, end) % 2 === 1) {
		end = text.indexOf('"', end + 1);
	}

	return end === -1 ? text.length : end;
}

function findWordEnd(text: string, offset: number): number {
	let end = offset;
	for (let mark = text.codePointAt(end + 1); mark !== undefined && !isSeparator(mark) && mark !== MARKS.closeArray && mark !== MARKS.closeObject; mark = text.codePointAt(end + 1)) {
		end += 1;
	}

	return end;
}

/** Counts the backslashes directly before an offset. */
function countBackslashes(text: string, offset: number): number {
	let count = 0;
	while (text.codePointAt(offset - 1 - count) === MARKS.backslash) {
		count += 1;
	}

	return count;
}

/** Adds a value to an object or array, and returns its name or index. */
function addChild(open: OpenNode, child: JsonNode, repeatedMembers: RepeatedMember[]): string | number {
	const {node: {members, elements}, name = '', path} = open;
	if (members === undefined) {
		return elements!.push(child) - 1;
	}

	const replaced = members.get(name);
	if (replaced !== undefined) {
		repeatedMembers.push({path: [...path, name], offset: getOffset(replaced)});
	}

	members.set(name, child);
	open.name = undefined;
	return name;
}

function parseName(token: string): string {
	return token.includes('\\') ? JSON.parse(token) as string : token.slice(1, -1);
}
