import {z} from 'zod';
import {addIssues} from './createListSchema.js';

/** Options of {@link createRecordSchema}. */
export type RecordSchemaOptions = {
	/** Maximum number of members. A larger record is refused before its members are checked. */
	readonly maxSize?: number;
};

/**
 * Creates the schema of an object whose members have any names that match a schema. It accepts what `z.record` accepts,
 * and stops like `createListSchema`.
 *
 * @param keySchema - schema of each name, which must not change it
 * @param valueSchema - schema of each value
 */
export function createRecordSchema<Value extends z.ZodType>(
	keySchema: z.ZodType<string, string>,
	valueSchema: Value,
	{maxSize = Number.POSITIVE_INFINITY}: RecordSchemaOptions = {},
): z.ZodType<Record<string, z.output<Value>>, Readonly<Record<string, z.input<Value>>>> {
	return z.custom<Readonly<Record<string, z.input<Value>>>>(value => isPlainObject(value), 'Invalid input: expected record').transform((record, context) => {
		// As in the schemas of zod, a member of this name is left out: it would replace the prototype of a copy.
		const names = Object.keys(record).filter(name => name !== '__proto__');
		if (names.length > maxSize) {
			context.addIssue(`Invalid input: expected at most ${maxSize} members, received ${names.length}`);
			return z.NEVER;
		}

		const members: Record<string, z.output<Value>> = {};
		for (const name of names) {
			const key = keySchema.safeParse(name);
			const value = valueSchema.safeParse(record[name]);
			if (key.success && value.success) {
				members[name] = value.data;
			} else if ([key, value].some(({error}) => error !== undefined && addIssues(context, name, error))) {
				break;
			}
		}

		return context.issues.length > 0 ? z.NEVER : members;
	});
}

function isPlainObject(value: unknown): boolean {
	return typeof value === 'object' && value !== null && [Object.prototype, null].includes(Object.getPrototypeOf(value) as object | null);
}
