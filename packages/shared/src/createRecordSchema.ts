import {z} from 'zod';
import {type CollectionParse, createCollectionParse} from './createCollectionParse.js';

/** Options of {@link createRecordSchema}. */
export type RecordSchemaOptions = {
	/** Maximum number of members. A larger record is refused before its members are checked. */
	readonly maxSize?: number;
};

type RecordDefinition = z.core.$ZodRecordDef & Required<RecordSchemaOptions>;

const BoundedRecord = z.core.$constructor<z.ZodRecord, RecordDefinition>('BoundedRecord', (schema, definition) => {
	const {maxSize} = definition;
	z.ZodRecord.init(schema, definition);
	schema._zod.parse = createCollectionParse({
		parse: schema._zod.parse as CollectionParse,
		minSize: 0,
		maxSize,
		origin: 'object',
		readSize: value => typeof value === 'object' && value !== null && !Array.isArray(value) ? Object.keys(value).length : undefined,
		createSlicer(value) {
			const entries = Object.entries(value as object);
			return (start, end) => Object.fromEntries(entries.slice(start, end));
		},
		join: parts => Object.assign({}, ...parts) as unknown,
		toPath: path => [...path],
	});
});

/**
 * Creates the schema of an object whose members have any names that match a schema. It accepts what `z.record` accepts,
 * and stops like `createListSchema`.
 *
 * @param keySchema - schema of each name, which must not change it
 * @param valueSchema - schema of each value
 */
export function createRecordSchema<Value extends z.ZodType>(
	keySchema: z.ZodString,
	valueSchema: Value,
	{maxSize = Number.POSITIVE_INFINITY}: RecordSchemaOptions = {},
): z.ZodRecord<z.ZodString, Value> {
	return new BoundedRecord({
		type: 'record', keyType: keySchema, valueType: valueSchema, maxSize,
	}) as unknown as z.ZodRecord<z.ZodString, Value>;
}
