/** The text of a JSON object, apart from the elements of one of its lists. */
export type SplitJsonList = {
	/** Text of the object in which the list is empty. */
	readonly rest: string;
	/** Texts of the elements, which may not be JSON. */
	readonly elements: readonly string[];
};

/** Characters that have a meaning outside strings. */
const MARKS = {
	quote: 0x22, comma: 0x2C, openArray: 0x5B, backslash: 0x5C, closeArray: 0x5D, openObject: 0x7B, closeObject: 0x7D,
} as const;

/** Depth inside the outermost object, and inside a list that is a member of it. */
const MEMBER_DEPTH = 1;
const ELEMENT_DEPTH = 2;

type OpenList = {readonly start: number; readonly elements: string[]; elementStart: number; end: number | undefined};

/**
 * Splits the text of a JSON object at the elements of a list, without parsing them, so that they can be parsed one at a
 * time: parsed, an element may take thirty times the memory of its text.
 *
 * @param text - text of a JSON object
 * @param member - name of the list, which the text must not write with escapes
 * @returns undefined if the object has no such list, or the text is no JSON object
 */
export function splitJsonList(text: string, member: string): SplitJsonList | undefined {
	let depth = 0;
	let name = '';
	let list: OpenList | undefined;
	for (let offset = 0; offset < text.length; offset += 1) {
		switch (text.codePointAt(offset)!) {
			case MARKS.quote: {
				const end = findStringEnd(text, offset);
				name = depth === MEMBER_DEPTH ? text.slice(offset + 1, end) : name;
				offset = end;
				break;
			}

			case MARKS.openArray: {
				if (depth === MEMBER_DEPTH && name === member) {
					list = {
						start: offset, elements: [], elementStart: offset + 1, end: undefined,
					};
				}

				depth += 1;
				break;
			}

			case MARKS.openObject: {
				depth += 1;
				break;
			}

			case MARKS.comma: {
				if (depth === ELEMENT_DEPTH && list?.end === undefined) {
					addElement(list, text, offset);
				}

				break;
			}

			case MARKS.closeArray:
			case MARKS.closeObject: {
				if (depth === ELEMENT_DEPTH && list?.end === undefined) {
					closeList(list, text, offset);
				}

				depth -= 1;
				break;
			}

			default:
		}
	}

	return list?.end === undefined ? undefined : {rest: `${text.slice(0, list.start + 1)}${text.slice(list.end)}`, elements: list.elements};
}

function addElement(list: OpenList | undefined, text: string, end: number): void {
	if (list !== undefined) {
		list.elements.push(text.slice(list.elementStart, end));
		list.elementStart = end + 1;
	}
}

function closeList(list: OpenList | undefined, text: string, end: number): void {
	if (list !== undefined) {
		if (list.elements.length > 0 || text.slice(list.elementStart, end).trim() !== '') {
			addElement(list, text, end);
		}

		list.end = end;
	}
}

/** Returns the offset of the quotation mark that ends a string, or the length of the text. */
function findStringEnd(text: string, start: number): number {
	for (let offset = start + 1; offset < text.length; offset += 1) {
		const mark = text.codePointAt(offset);
		if (mark === MARKS.quote) {
			return offset;
		}

		if (mark === MARKS.backslash) {
			offset += 1;
		}
	}

	return text.length;
}
