/** Parsed statements of the operator language. The command line parses them and sends them to an entry. See docs/operate/language.md. */
import {z} from 'zod';
import {createListSchema} from './createListSchema.js';
import {createRecordSchema} from './createRecordSchema.js';

const valueSchema = z.union([z.string(), z.number(), z.boolean()]);

/** Value in a row or in a statement. */
export type StatementValue = z.infer<typeof valueSchema>;

/** Operators that compare a column with a value. `~` tests whether the column's text contains the value. */
export const COMPARISON_OPERATORS = ['=', '!=', '<=', '>=', '<', '>', '~'] as const;

/** One of {@link COMPARISON_OPERATORS}. */
export type ComparisonOperator = typeof COMPARISON_OPERATORS[number];

/** Filter condition on a row. */
export type Condition
	= | {readonly type: 'compare'; readonly column: string; readonly comparison: ComparisonOperator; readonly value: StatementValue}
		| {readonly type: 'and' | 'or'; readonly left: Condition; readonly right: Condition}
		| {readonly type: 'not'; readonly condition: Condition};

const conditionSchema: z.ZodType<Condition> = z.lazy(() => z.union([
	z.strictObject({
		type: z.literal('compare'), column: z.string(), comparison: z.enum(COMPARISON_OPERATORS), value: valueSchema,
	}),
	z.strictObject({type: z.enum(['and', 'or']), left: conditionSchema, right: conditionSchema}),
	z.strictObject({type: z.literal('not'), condition: conditionSchema}),
]));

/** Schema of a query. */
export const queryStatementSchema = z.strictObject({
	/** Name of the source whose rows are queried. */
	source: z.string(),
	where: conditionSchema.optional(),
	groupBy: createListSchema(z.string()).default([]),
	orderBy: createListSchema(z.strictObject({column: z.string(), isDescending: z.boolean()})).default([]),
	/** Maximum number of rows. */
	limit: z.number().int().positive().optional(),
});

/** See {@link queryStatementSchema}. */
export type QueryStatement = z.infer<typeof queryStatementSchema>;

/** Schema of a command: a statement that changes the configuration or drains a target. */
export const commandStatementSchema = z.strictObject({
	verb: z.enum(['create', 'change', 'withdraw', 'drain']),
	thing: z.enum(['customer', 'key', 'service', 'model', 'target']),
	/** Name of the item to change. For a key, its SHA-256 digest; a prefix of the digest is enough to withdraw it. */
	name: z.string(),
	/** Customer of a key, or service of a model. */
	owner: z.string().optional(),
	options: createRecordSchema(z.string(), z.union([valueSchema, createListSchema(z.string())])).default({}),
});

/** See {@link commandStatementSchema}. */
export type CommandStatement = z.infer<typeof commandStatementSchema>;

/** Row of a reply: values by column name. */
export type QueryRow = Readonly<Record<string, StatementValue>>;

/** Reply to a query. */
export type QueryReply = {
	readonly rows: readonly QueryRow[];
	/** Entries that did not reply. Their rows are missing. */
	readonly missing: readonly string[];
};
