import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type CommandStatement, hashText, type QueryRow} from '@damaskspool/shared';
import {createTestDocument, TEST_KEY} from '../../request/__tests__/requestFixtures.js';
import {planCommand} from '../planCommand.js';
import {mergeQueryRows} from '../querySources.js';
import {runQuery} from '../runQuery.js';

const ROWS: readonly QueryRow[] = [
	{target: 'a', service: 's', running: 10},
	{target: 'b', service: 's', running: 9},
	{target: 'c', service: 't', running: 1},
];

/** Creates a command statement with defaults. */
function createCommand(fields: Partial<CommandStatement>): CommandStatement {
	return {
		verb: 'create', thing: 'customer', name: 'n', options: {}, ...fields,
	};
}

describe('a query', () => {
	it('filters rows, orders numbers by value, and limits the row count', () => {
		const rows = runQuery(ROWS, {
			source: 'targets',
			where: {
				type: 'compare', column: 'running', comparison: '>', value: 1,
			},
			groupBy: [],
			orderBy: [{column: 'running', isDescending: true}],
			limit: 1,
		});
		assert.deepEqual(rows, [ROWS[0]]);
	});

	it('groups rows with a row count and sums of numeric columns', () => {
		const rows = runQuery(ROWS, {source: 'targets', groupBy: ['service'], orderBy: []});
		assert.deepEqual(rows, [{service: 's', count: 2, running: 19}, {service: 't', count: 1, running: 1}]);
	});

	it('returns one row for an item that several entries report', () => {
		assert.equal(mergeQueryRows('targets', [ROWS, ROWS.slice(1)]).length, ROWS.length);
	});
});

describe('a command', () => {
	it('produces a configuration edit and a preview', () => {
		const plan = planCommand(createTestDocument(), createCommand({options: {weight: 2, services: 'assistant'}}));
		assert.ok(plan.ok, plan.err ? plan.val.message : '');
		assert.equal(plan.val.edits[0]?.type, 'setCustomer');
		assert.equal(plan.val.preview.length, 1);
		assert.match(plan.val.preview[0]!, /^\+ customer n .*"weight":2/v);
	});

	it('identifies a key by the first digits of its hash', () => {
		const keyHash = hashText(TEST_KEY);
		const plan = planCommand(createTestDocument(), createCommand({verb: 'withdraw', thing: 'key', name: keyHash.slice(0, 12)}));
		assert.deepEqual(plan.ok && plan.val.edits, [{type: 'withdrawKey', customerId: 'c', keyHash}]);
	});

	it('is refused for an item that does not exist, an item that already exists, and an unknown option', () => {
		const commands = [
			createCommand({name: 'c'}),
			createCommand({verb: 'change', name: 'nobody'}),
			createCommand({options: {wieght: 2}}),
			createCommand({verb: 'withdraw', thing: 'key', name: 'ffff'}),
			createCommand({
				verb: 'withdraw', thing: 'model', name: 'other', owner: 'assistant',
			}),
		];
		for (const command of commands) {
			assert.ok(planCommand(createTestDocument(), command).err, JSON.stringify(command));
		}
	});
});
