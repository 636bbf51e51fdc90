import {z} from 'zod';
import {type CollectionParse, createCollectionParse} from './createCollectionParse.js';

/** Options of {@link createListSchema}. */
export type ListSchemaOptions = {
	readonly minLength?: number;
	/** Maximum number of elements. A longer list is refused before its elements are checked. */
	readonly maxLength?: number;
};

type ListDefinition = z.core.$ZodArrayDef & Required<ListSchemaOptions>;

const BoundedArray = z.core.$constructor<z.ZodArray, ListDefinition>('BoundedArray', (schema, definition) => {
	const {minLength, maxLength} = definition;
	z.ZodArray.init(schema, definition);
	schema._zod.parse = createCollectionParse({
		parse: schema._zod.parse as CollectionParse,
		minSize: minLength,
		maxSize: maxLength,
		origin: 'array',
		readSize: value => Array.isArray(value) ? value.length : undefined,
		createSlicer: value => (start, end) => (value as readonly unknown[]).slice(start, end),
		join: parts => (parts as readonly unknown[][]).flat(),
		toPath: ([index, ...path], start) => [start + Number(index), ...path],
	});
});

/**
 * Creates the schema of a list. It accepts what `z.array` accepts, and reads no more of a list once it has found a fault,
 * but for the elements that are checked together.
 *
 * @param elementSchema - schema of each element
 */
export function createListSchema<Element extends z.ZodType>(
	elementSchema: Element,
	{minLength = 0, maxLength = Number.POSITIVE_INFINITY}: ListSchemaOptions = {},
): z.ZodArray<Element> {
	return new BoundedArray({
		type: 'array', element: elementSchema, minLength, maxLength,
	}) as unknown as z.ZodArray<Element>;
}
