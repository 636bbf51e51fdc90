import {
	QUERY_SOURCES, type QuerySource,
} from '@damaskspool/core';
import {
	type CommandStatement, type ComparisonOperator, type Condition, Err, Ok, type QueryStatement, type Result, type StatementValue,
} from '@damaskspool/shared';
import {type Node} from 'ohm-js';
import {findNearest} from './findNearest.js';
import {grammar} from './grammar.js';

/** A parsed statement of the operators' language. */
export type Statement
	= | {readonly kind: 'query'; readonly query: QueryStatement}
		| {readonly kind: 'command'; readonly command: CommandStatement};

/** An error in a statement and its position. */
export type StatementProblem = {
	/** Position of the error in the text, in characters from 0. */
	readonly offset: number;
	readonly message: string;
	readonly suggestion?: string;
};

/** Words that have a fixed place in a statement; candidates for spelling suggestions. */
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

type OptionEntry = readonly [string, StatementValue | string[]];

/** A column name in a query. It is validated after the source is known. */
type ColumnReference = {readonly name: string; readonly offset: number};

const semantics = grammar.createSemantics()
	.addOperation<unknown>('toValue', {
		Query: (_query, source, where, clauses) => ({
			kind: 'query',
			query: {source: source.sourceString, ...toOptionalField('where', where), ...readValue(clauses) as object},
		}),
		Clauses: (group, order, limit) => ({
			groupBy: [], orderBy: [], ...toOptionalField('groupBy', group), ...toOptionalField('orderBy', order), ...toOptionalField('limit', limit),
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
				options: Object.fromEntries(options.children.map(option => readValue(option) as OptionEntry)),
			},
		}),
		Object_named: (name, belonging) => ({name: name.sourceString, ...toOptionalField('owner', belonging)}),
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
	.addOperation<ColumnReference[]>('listColumns', {
		Primary_compare: (column, _comparison, _value) => [toColumnReference(column)],
		Group: (_group, _by, columns) => columns.asIteration().children.map(column => toColumnReference(column)),
		Ordering: (column, _direction) => [toColumnReference(column)],
		_nonterminal: (...children) => children.flatMap(child => listColumnReferences(child)),
		_iter: (...children) => children.flatMap(child => listColumnReferences(child)),
		_terminal: () => [],
	});

/**
 * Parses a statement, and checks that the source and the columns of a query exist.
 *
 * @param text - statement that starts with its verb
 */
export function parseStatement(text: string): Result<Statement, StatementProblem> {
	const match = grammar.match(text, 'Statement');
	if (match.failed()) {
		// The message of ohm lists what it expected at the failure position. Its type declarations lack the method for that position.
		const offset = (match as unknown as {getRightmostFailurePosition: () => number}).getRightmostFailurePosition();
		const expected = (match.shortMessage ?? '').replace(/^Line \d+, col \d+: /v, '');
		return Err(createProblem(text, offset, expected, KEYWORDS));
	}

	const tree = semantics(match);
	const statement = readValue(tree) as Statement;
	if (statement.kind === 'command') {
		return Ok(statement);
	}

	const problem = findUnknownName(text, statement.query, listColumnReferences(tree));
	return problem === undefined ? Ok(statement) : Err(problem);
}

/** Formats the statement with a line below it that marks the position of the problem and describes it. */
export function formatStatementProblem(text: string, {offset, message, suggestion}: StatementProblem): string {
	const lines = [text, `${' '.repeat(offset)}^ ${message}`];
	return [...lines, ...(suggestion === undefined ? [] : [`did you mean "${suggestion}"?`])].join('\n');
}

function findUnknownName(text: string, query: QueryStatement, columns: readonly ColumnReference[]): StatementProblem | undefined {
	const source = (QUERY_SOURCES as Readonly<Record<string, QuerySource | undefined>>)[query.source];
	const sources = Object.keys(QUERY_SOURCES);
	if (source === undefined) {
		const offset = text.indexOf(query.source, 'query'.length);
		return createProblem(text, offset, `expected a source: ${sources.join(', ')}`, sources);
	}

	const known = [...source.columns, ...(query.groupBy.length > 0 ? ['count'] : [])];
	const unknown = columns.find(({name}) => !known.includes(name));
	return unknown && createProblem(text, unknown.offset, `expected a column of ${query.source}: ${known.join(', ')}`, known);
}

function createProblem(text: string, offset: number, message: string, candidates: readonly string[]): StatementProblem {
	const word = /^[\w\-]+/v.exec(text.slice(offset))?.[0] ?? '';
	const suggestion = findNearest(word, candidates);
	return {offset, message, ...(suggestion !== undefined && {suggestion})};
}

function toOptionalField(name: string, node: Node): Record<string, unknown> {
	const [child] = node.children;
	return child === undefined ? {} : {[name]: readValue(child)};
}

function toColumnReference(node: Node): ColumnReference {
	return {name: node.sourceString, offset: node.source.startIdx};
}

/** Evaluates a node with the operation `toValue`. The types of ohm do not declare operations on nodes. */
function readValue(node: unknown): unknown {
	return (node as {readonly toValue: () => unknown}).toValue();
}

function listColumnReferences(node: unknown): ColumnReference[] {
	return (node as {readonly listColumns: () => ColumnReference[]}).listColumns();
}
