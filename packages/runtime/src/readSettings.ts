import {readFile} from 'node:fs/promises';
import bytes from 'bytes';
import {
	findNodeAtLocation, parseTree, printParseErrorCode, getNodeValue, type Node, type ParseError,
} from 'jsonc-parser';
import ms from 'ms';
import {z} from 'zod';
import {Err, Ok, type Result} from '@damaskspool/shared';

/** Problems that are reported. Each is looked up in the text, which may hold any number of them. */
const MAX_PROBLEMS = 20;

/** A problem in a settings file. */
export type SettingsProblem = {
	readonly file: string;
	/** Counted from 1. */
	readonly line: number;
	/** Counted from 1. */
	readonly column: number;
	/** Description of the problem: what was expected and what was found. */
	readonly message: string;
};

/** Schema of a duration such as `250 ms` or `5 s`. Converts it to milliseconds. */
export const durationSchema = z.string().transform((text, context) => {
	const value = /^\d+(?:\.\d+)? (?:ms|s|m|h)$/v.test(text) ? ms(text as ms.StringValue) : undefined;
	if (value === undefined) {
		context.addIssue({code: 'custom', message: `expected a duration such as "250 ms", "5 s", "2 m" or "1 h", found "${text}"`});
		return z.NEVER;
	}

	return value;
});

/** Schema of a size such as `64 KiB` or `8 MiB`. Converts it to bytes. */
export const sizeSchema = z.string().transform((text, context) => {
	const value = /^\d+(?:\.\d+)? (?:B|KiB|MiB)$/v.test(text) ? bytes.parse(text.replace('iB', 'B')) : null;
	if (value === null) {
		context.addIssue({code: 'custom', message: `expected a size such as "512 B", "64 KiB" or "8 MiB", found "${text}"`});
		return z.NEVER;
	}

	return value;
});

/** Schema of an address as `ip:port`. Host names are not supported. */
export const addressSchema = z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v, 'expected an address as "ip:port", such as "127.0.0.1:8080"');

/**
 * Reads and validates a settings file in JSON with comments.
 *
 * @returns the settings, or the first problems with their positions
 */
export async function readSettings<Schema extends z.ZodType>(
	file: string,
	schema: Schema,
): Promise<Result<z.output<Schema>, SettingsProblem[]>> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		return Err([{
			file, line: 1, column: 1, message: `cannot be read: ${(error as Error).message}`,
		}]);
	}

	return parseSettings({file, text, schema});
}

/** Options of {@link parseSettings}. */
export type ParseSettingsOptions<Schema extends z.ZodType> = {
	/** File name for problem reports. */
	readonly file: string;
	readonly text: string;
	readonly schema: Schema;
};

/**
 * Parses and validates the text of a settings file.
 *
 * @returns the settings, or the first problems with their positions
 */
export function parseSettings<Schema extends z.ZodType>(options: ParseSettingsOptions<Schema>): Result<z.output<Schema>, SettingsProblem[]> {
	const {file, text, schema} = options;
	const parseErrors: ParseError[] = [];
	const root = parseTree(text, parseErrors, {allowTrailingComma: true});
	if (root === undefined || parseErrors.length > 0) {
		const problems = parseErrors.slice(0, MAX_PROBLEMS).map(({error, offset}) => ({
			file, ...locateOffset(text, offset), message: `not JSON with comments: ${printParseErrorCode(error)}`,
		}));
		return Err(problems.length > 0
			? problems
			: [{
				file, line: 1, column: 1, message: 'expected an object, found an empty file',
			}]);
	}

	const result = schema.safeParse(getNodeValue(root));
	if (result.success) {
		return Ok(result.data);
	}

	return Err(result.error.issues.slice(0, MAX_PROBLEMS).flatMap(issue => toProblems(file, text, root, issue)).slice(0, MAX_PROBLEMS));
}

/** Formats a problem as `file:line:column: message`. */
export function formatProblem({file, line, column, message}: SettingsProblem): string {
	return `${file}:${line}:${column}: ${message}`;
}

function toProblems(file: string, text: string, root: Node, issue: z.core.$ZodIssue): SettingsProblem[] {
	const path = issue.path.map(part => typeof part === 'symbol' ? String(part) : part);
	const keyPath = path.join('.');
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.slice(0, MAX_PROBLEMS).map(key => {
			const node = findNodeAtLocation(root, [...path, key])?.parent;
			const parentName = keyPath === '' ? 'the settings' : keyPath;
			return {file, ...locateOffset(text, node?.offset ?? 0), message: `unknown key "${key}" in ${parentName}`};
		});
	}

	// A missing key has no node. Use the position of the nearest enclosing node.
	let depth = path.length;
	let node = findNodeAtLocation(root, path);
	while (node === undefined && depth > 0) {
		depth -= 1;
		node = findNodeAtLocation(root, path.slice(0, depth));
	}

	return [{file, ...locateOffset(text, node?.offset ?? 0), message: keyPath === '' ? issue.message : `${keyPath}: ${issue.message}`}];
}

function locateOffset(text: string, offset: number): {line: number; column: number} {
	const before = text.slice(0, offset).split('\n');
	return {line: before.length, column: (before.at(-1)?.length ?? 0) + 1};
}
