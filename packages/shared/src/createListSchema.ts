import {z} from 'zod';

/**
 * Number of issues after which a list or a record is not checked any further. An object of another writer may have
 * hundreds of thousands of elements of a wrong type, and the schemas of zod keep an issue for each of them.
 */
export const MAX_COLLECTION_ISSUES = 20;

/** Options of {@link createListSchema}. */
export type ListSchemaOptions = {
	readonly minLength?: number;
	/** Maximum number of elements. A longer list is refused before its elements are checked. */
	readonly maxLength?: number;
};

/** Context in which a transformation of zod reports issues. */
export type IssueContext = {readonly issues: z.core.$ZodRawIssue[]};

/**
 * Creates the schema of a list. It accepts what `z.array` accepts, and stops at the element that brings the issues to
 * {@link MAX_COLLECTION_ISSUES}.
 *
 * @param elementSchema - schema of each element
 */
export function createListSchema<Element extends z.ZodType>(
	elementSchema: Element,
	{minLength = 0, maxLength = Number.POSITIVE_INFINITY}: ListSchemaOptions = {},
): z.ZodType<Array<z.output<Element>>, ReadonlyArray<z.input<Element>>> {
	return z.custom<ReadonlyArray<z.input<Element>>>(value => Array.isArray(value), 'Invalid input: expected array').transform((list, context) => {
		if (list.length < minLength || list.length > maxLength) {
			context.addIssue(`Invalid input: expected ${minLength} to ${maxLength} elements, received ${list.length}`);
			return z.NEVER;
		}

		const elements: Array<z.output<Element>> = [];
		for (const [index, value] of list.entries()) {
			const parsed = elementSchema.safeParse(value);
			if (parsed.success) {
				elements.push(parsed.data);
			} else if (addIssues(context, index, parsed.error)) {
				break;
			}
		}

		return context.issues.length > 0 ? z.NEVER : elements;
	});
}

/**
 * Adds the issues of an element or a member to those of the value that contains it.
 *
 * @returns whether the check of that value should stop
 */
export function addIssues(context: IssueContext, key: string | number, error: z.ZodError): boolean {
	for (const issue of error.issues) {
		context.issues.push({...issue, path: [key, ...issue.path]} as z.core.$ZodRawIssue);
	}

	return context.issues.length >= MAX_COLLECTION_ISSUES;
}
