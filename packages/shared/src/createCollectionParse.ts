import {type z} from 'zod';

/** Parse function of a schema of zod. Schemas with asynchronous parts are not supported. */
export type CollectionParse = (payload: z.core.ParsePayload, context: z.core.ParseContextInternal) => z.core.ParsePayload;

/** Options of {@link createCollectionParse}. */
export type CollectionParseOptions = {
	/** Parse function of the schema of zod. */
	readonly parse: CollectionParse;
	readonly minSize: number;
	readonly maxSize: number;
	/** Kind of value that messages name. */
	readonly origin: 'array' | 'object';
	/** Returns the number of elements or members, or undefined for a value of another kind. */
	readonly readSize: (value: unknown) => number | undefined;
	/** Returns a function that creates a value with a part of the elements or members. */
	readonly createSlicer: (value: unknown) => (start: number, end: number) => unknown;
	readonly join: (parts: readonly unknown[]) => unknown;
	/** Converts the path of an issue in a part that begins at `start`. */
	readonly toPath: (path: readonly PropertyKey[], start: number) => PropertyKey[];
};

/**
 * Number of elements or members that are checked together. An object of another writer may have hundreds of thousands of
 * a wrong type, and the schemas of zod check them all and keep an issue for each.
 */
export const COLLECTION_CHUNK_SIZE = 64;
/** Maximum number of issues of a list or a record. */
export const MAX_COLLECTION_ISSUES = 20;

/** Creates the parse function of a schema of a list or a record that stops at the first part with a fault. */
export function createCollectionParse(options: CollectionParseOptions): CollectionParse {
	const {
		parse, minSize, maxSize, origin, readSize, createSlicer, join, toPath,
	} = options;

	const parseParts: CollectionParse = (payload, context) => {
		const {value: input, issues} = payload;
		const size = readSize(input)!;
		const slice = createSlicer(input);
		const parts: unknown[] = [];
		for (let start = 0; start < size; start += COLLECTION_CHUNK_SIZE) {
			const part = parse({value: slice(start, start + COLLECTION_CHUNK_SIZE), issues: []}, context);
			if (part.issues.length > 0) {
				issues.push(...part.issues.slice(0, MAX_COLLECTION_ISSUES).map(issue => ({...issue, path: toPath(issue.path ?? [], start)})));
				return payload;
			}

			parts.push(part.value);
		}

		payload.value = join(parts);
		return payload;
	};

	return (payload, context) => {
		const {value: input, issues} = payload;
		const size = readSize(input);
		if (size !== undefined && size > maxSize) {
			issues.push({
				code: 'too_big', origin, maximum: maxSize, inclusive: true, input,
			});
			return payload;
		}

		if (size !== undefined && size < minSize) {
			issues.push({
				code: 'too_small', origin, minimum: minSize, inclusive: true, input,
			});
			return payload;
		}

		if (size !== undefined && size > COLLECTION_CHUNK_SIZE) {
			return parseParts(payload, context);
		}

		const countBefore = issues.length;
		const parsed = parse(payload, context);
		issues.splice(countBefore + MAX_COLLECTION_ISSUES);
		return parsed;
	};
}
