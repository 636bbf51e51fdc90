import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {formatStatementProblem, parseStatement} from '../parseStatement.js';

describe('the operators\' language', () => {
	it('parses where, group, order and limit with the usual precedence', () => {
		const parsed = parseStatement('query targets where running > 3 or not service = booking and state ~ "serv" group by role order by count desc limit 2');
		assert.deepEqual(parsed.val, {
			kind: 'query',
			query: {
				source: 'targets',
				where: {
					type: 'or',
					left: {
						type: 'compare', column: 'running', comparison: '>', value: 3,
					},
					right: {
						type: 'and',
						left: {
							type: 'not',
							condition: {
								type: 'compare', column: 'service', comparison: '=', value: 'booking',
							},
						},
						right: {
							type: 'compare', column: 'state', comparison: '~', value: 'serv',
						},
					},
				},
				groupBy: ['role'],
				orderBy: [{column: 'count', isDescending: true}],
				limit: 2,
			},
		});
	});

	it('parses commands with the owner of the object and with options', () => {
		const parsed = parseStatement('create model dossier-7b:permits@v2 in assistant');
		assert.deepEqual(parsed.val, {
			kind: 'command',
			command: {
				verb: 'create', thing: 'model', name: 'dossier-7b:permits@v2', owner: 'assistant', options: {},
			},
		});
		const other = parseStatement('create customer c weight=1.5 operator=true services=a,b');
		assert.deepEqual(other.ok && other.val.kind === 'command' && other.val.command.options, {weight: 1.5, operator: true, services: ['a', 'b']});
	});

	it('reports the position of an error, the expected input and a suggestion', () => {
		const cases = [
			['query targts', 6, 'targets'],
			['query targets wher state = x', 14, 'where'],
			['query targets where stat = x', 20, 'state'],
			['query usage order by customr', 21, 'customer'],
			['create custmer c', 7, 'customer'],
		] as const;
		for (const [text, at, suggestion] of cases) {
			const parsed = parseStatement(text);
			assert.ok(parsed.err, text);
			assert.equal(parsed.val.offset, at, text);
			assert.equal(parsed.val.suggestion, suggestion, text);
			assert.match(formatStatementProblem(text, parsed.val), /\^ expected/v);
		}
	});
});
