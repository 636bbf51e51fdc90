import {
	QUERY_SOURCES, type QuerySource,
} from '@damaskspool/core';
import {
	type CommandStatement, type ComparisonOperator, type Condition, Err, Ok, type QueryStatement, type Result, type StatementValue,
} from '@damaskspool/shared';
import {type Node} from 'ohm-js';
import {findNearest} from './findNearest.js';
import {grammar} from './grammar.js';

/** A statement of the language. */
export type Statement
	= | {readonly kind: 'query'; readonly query: QueryStatement}
		| {readonly kind: 'command'; readonly command: CommandStatement};

/** What is wrong with a statement, and where. */
export type LanguageProblem = {
	/** Place in the text, from 0. */
	readonly at: number;
	readonly message: string;
	readonly suggestion?: string;
};

/** Words that stand first, or begin a clause. */
const KEYWORDS = [
	'query',
	'create',
	'change',
	'withdraw',
	'drain',
	'where',
	'and',
	'or',
	'not',
	'group',
	'order',
	'by',
	'limit',
	'desc',
	'asc',
	'customer',
	'key',
	'service',
	'model',
	'target',
	'for',
	'of',
	'in',
	'from',
] as const;

type Option = readonly [string, StatementValue | string[]];

/** A column as it was named, to be looked up once the source is known. */
type NamedColumn = {readonly name: string; readonly at: number};

const semantics = grammar.createSemantics()
	.addOperation<unknown>('toValue', {
		Query: (_query, source, where, clauses) => ({
			kind: 'query',
			query: {source: source.sourceString, ...toOptional('where', where), ...readValue(clauses) as object},
		}),
		Clauses: (group, order, limit) => ({
			groupBy: [], orderBy: [], ...toOptional('groupBy', group), ...toOptional('orderBy', order), ...toOptional('limit', limit),
		}),
		Where: (_where, condition) => readValue(condition),
		Or_or: (left, _or, right) => ({type: 'or', left: readValue(left), right: readValue(right)}),
		And_and: (left, _and, right) => ({type: 'and', left: readValue(left), right: readValue(right)}),
		Not_not: (_not, condition) => ({type: 'not', condition: readValue(condition)}),
		Primary_group: (_open, condition, _close) => readValue(condition),
		Primary_compare: (column, comparison, value) => ({
			type: 'compare', column: column.sourceString, comparison: comparison.sourceString as ComparisonOperator, value: readValue(value),
		}),
		Group: (_group, _by, columns) => columns.asIteration().children.map(column => column.sourceString),
		Order: (_order, _by, orderings) => orderings.asIteration().children.map(ordering => readValue(ordering)),
		Ordering: (column, direction) => ({column: column.sourceString, isDescending: direction.sourceString === 'desc'}),
		Limit: (_limit, count) => Number(count.sourceString),
		Command: (verb, thing, object, options) => ({
			kind: 'command',
			command: {
				verb: verb.sourceString,
				thing: thing.sourceString,
				...readValue(object) as object,
				options: Object.fromEntries(options.children.map(option => readValue(option) as Option)),
			},
		}),
		Object_named: (name, belonging) => ({name: name.sourceString, ...toOptional('owner', belonging)}),
		Object_unnamed: belonging => ({name: '', owner: readValue(belonging)}),
		Belonging: (_belonging, owner) => owner.sourceString,
		Option(name, _is, values) {
			const list = values.asIteration().children.map(value => readValue(value) as StatementValue);
			return [name.sourceString, list.length === 1 ? list[0] : list.map(String)];
		},
		number(_sign, _whole, _point, _fraction) {
			return Number(this.sourceString);
		},
		quoted: (_open, text, _close) => text.sourceString,
		boolean(_text) {
			return this.sourceString === 'true';
		},
		word(_parts) {
			return this.sourceString;
		},
	})
	.addOperation<NamedColumn[]>('listColumns', {
		Primary_compare: (column, _comparison, _value) => [toNamedColumn(column)],
		Group: (_group, _by, columns) => columns.asIteration().children.map(column => toNamedColumn(column)),
		Ordering: (column, _direction) => [toNamedColumn(column)],
		_nonterminal: (...children) => children.flatMap(child => listNamedColumns(child)),
		_iter: (...children) => children.flatMap(child => listNamedColumns(child)),
		_terminal: () => [],
	});

/**
 * Parses a statement and checks that its source and columns exist.
 *
 * @param text - statement, beginning with its verb
 * @returns the statement, or what is wrong at which place
 */
export function parseStatement(text: string): Result<Statement, LanguageProblem> {
	const match = grammar.match(text, 'Statement');
	if (match.failed()) {
		// The message of ohm names what could stand at the place.
		const at = (match as unknown as {getRightmostFailurePosition: () => number}).getRightmostFailurePosition();
		const expected = (match.shortMessage ?? '').replace(/^Line \d+, col \d+: /v, '');
		return Err(createProblem(text, at, expected, KEYWORDS));
	}

	const tree = semantics(match);
	const statement = readValue(tree) as Statement;
	if (statement.kind === 'command') {
		return Ok(statement);
	}

	const problem = findUnknownName(text, statement.query, listNamedColumns(tree));
	return problem === undefined ? Ok(statement) : Err(problem);
}

/**
 * Writes a problem under the statement, with a mark at its place.
 *
 * @param text - the statement
 * @param problem - what is wrong
 * @returns lines for a person
 */
export function formatLanguageProblem(text: string, {at, message, suggestion}: LanguageProblem): string {
	const lines = [text, `${' '.repeat(at)}^ ${message}`];
	return [...lines, ...(suggestion === undefined ? [] : [`did you mean "${suggestion}"?`])].join('\n');
}

function findUnknownName(text: string, query: QueryStatement, columns: readonly NamedColumn[]): LanguageProblem | undefined {
	const source = (QUERY_SOURCES as Readonly<Record<string, QuerySource | undefined>>)[query.source];
	const sources = Object.keys(QUERY_SOURCES);
	if (source === undefined) {
		const at = text.indexOf(query.source, 'query'.length);
		return createProblem(text, at, `expected a source: ${sources.join(', ')}`, sources);
	}

	const known = [...source.columns, ...(query.groupBy.length > 0 ? ['count'] : [])];
	const unknown = columns.find(({name}) => !known.includes(name));
	return unknown && createProblem(text, unknown.at, `expected a column of ${query.source}: ${known.join(', ')}`, known);
}

function createProblem(text: string, at: number, message: string, candidates: readonly string[]): LanguageProblem {
	const word = /^[\w\-]+/v.exec(text.slice(at))?.[0] ?? '';
	const suggestion = findNearest(word, candidates);
	return {at, message, ...(suggestion !== undefined && {suggestion})};
}

function toOptional(name: string, node: Node): Record<string, unknown> {
	const [child] = node.children;
	return child === undefined ? {} : {[name]: readValue(child)};
}

function toNamedColumn(node: Node): NamedColumn {
	return {name: node.sourceString, at: node.source.startIdx};
}

/** Calls the operation of the semantics, which ohm adds to nodes without telling their types. */
function readValue(node: unknown): unknown {
	return (node as {readonly toValue: () => unknown}).toValue();
}

function listNamedColumns(node: unknown): NamedColumn[] {
	return (node as {readonly listColumns: () => NamedColumn[]}).listColumns();
}
