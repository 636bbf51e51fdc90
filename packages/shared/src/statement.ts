/** Statements of the operators' language, as the command line parsed them. See docs/operate/language.md. */
import {z} from 'zod';

const valueSchema = z.union([z.string(), z.number(), z.boolean()]);

/** A value in a row or a statement. */
export type StatementValue = z.infer<typeof valueSchema>;

/** Ways to compare a column with a value; `~` tells whether the text contains it. */
export const COMPARISON_OPERATORS = ['=', '!=', '<=', '>=', '<', '>', '~'] as const;

/** One comparison. */
export type ComparisonOperator = typeof COMPARISON_OPERATORS[number];

/** What a row must fulfil. */
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

/** A question. */
export const queryStatementSchema = z.strictObject({
	source: z.string(),
	where: conditionSchema.optional(),
	groupBy: z.array(z.string()).default([]),
	orderBy: z.array(z.strictObject({column: z.string(), isDescending: z.boolean()})).default([]),
	limit: z.number().int().positive().optional(),
});

/** See {@link queryStatementSchema}. */
export type QueryStatement = z.infer<typeof queryStatementSchema>;

/** A change. */
export const commandStatementSchema = z.strictObject({
	verb: z.enum(['create', 'change', 'withdraw', 'drain']),
	thing: z.enum(['customer', 'key', 'service', 'model', 'target']),
	/** What is changed; the digest of a new key. */
	name: z.string(),
	/** Customer of a key, or service of a model. */
	owner: z.string().optional(),
	options: z.record(z.string(), z.union([valueSchema, z.array(z.string())])).default({}),
});

/** See {@link commandStatementSchema}. */
export type CommandStatement = z.infer<typeof commandStatementSchema>;

/** One row of a reply: plain values by column. */
export type QueryRow = Readonly<Record<string, StatementValue>>;

/** What a query found. */
export type QueryReply = {
	readonly rows: readonly QueryRow[];
	/** Entries that did not answer, whose part is not in the rows. */
	readonly missing: readonly string[];
};
