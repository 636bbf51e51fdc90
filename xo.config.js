/**
 * XO's rules, narrowed only where a library or the house style asks for it:
 * event names are dotted and header names hyphenated, so property names are
 * free; clipanion's and ts-results' factories are capitalised functions.
 *
 * @type {import('xo').FlatXoConfig}
 */
const xoConfig = [
	{
		ignores: ['**/dist/**', 'out/**'],
	},
	{
		files: ['**/*.ts', '**/*.js'],
		rules: {
			'new-cap': ['error', {capIsNewExceptions: ['Ok', 'Err', 'Usage', 'String', 'Array', 'Boolean', 'Rest', 'Proxy', 'Counter']}],
			// Undici and node:http hand out bodies as streams whose `null` is part of their contract.
			'@typescript-eslint/no-restricted-types': 'off',
			// `unicorn/filename-case` would rename files that are named for their main export.
			'unicorn/filename-case': ['error', {cases: {camelCase: true, pascalCase: true, kebabCase: true}}],
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/no-process-exit': 'off',
			'n/prefer-global/process': 'off',
			'max-params': ['error', {max: 4}],
			'no-await-in-loop': 'off',
			// These keep an issue for each element or member of an object that another writer made.
			'no-restricted-properties': ['error', ...['array', 'record'].map(property => ({object: 'z', property, message: 'Use createListSchema or createRecordSchema.'}))],
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
			// Parsed JSON and library types are narrowed where they enter; the schemas check what comes from outside.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		files: ['**/__tests__/**/*.ts'],
		rules: {
			// The test function of node:test returns a promise that the runner itself awaits.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];

export default xoConfig;
