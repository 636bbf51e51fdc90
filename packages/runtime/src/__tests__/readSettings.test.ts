import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {z} from 'zod';
import {parseSettings, durationSchema, formatProblem} from '../readSettings.js';

const schema = z.strictObject({name: z.string(), limit: durationSchema, inner: z.strictObject({count: z.number()})});

describe('parseSettings', () => {
	const cases = [
		['an unknown key', '{\n\t"name": "a",\n\t"limit": "5 s",\n\t"inner": {"count": 1, "cuont": 2}\n}', 'f:4:24: unknown key "cuont" in inner'],
		['a wrong type', '{\n\t"name": 7,\n\t"limit": "5 s",\n\t"inner": {"count": 1}\n}', 'f:2:10: name: Invalid input: expected string, received number'],
		['a bad unit', '{\n\t"name": "a",\n\t"limit": "5 fortnights",\n\t"inner": {"count": 1}\n}', 'f:3:11: limit: expected a duration such as "250 ms", "5 s", "2 m" or "1 h", found "5 fortnights"'],
		['broken JSON', '{\n\t"name": \n}', 'f:3:1: not JSON with comments: ValueExpected'],
	] as const;
	for (const [name, text, expected] of cases) {
		it(`reports the position of ${name}`, () => {
			const checked = parseSettings({file: 'f', text, schema});
			assert.ok(checked.err);
			assert.equal(formatProblem(checked.val[0]!), expected);
		});
	}

	it('reports few of many problems', () => {
		const unknownKeys = JSON.stringify(Object.fromEntries(Array.from({length: 50_000}, (_, index) => [`k${index}`, 1])));
		for (const text of [unknownKeys, `{${',]'.repeat(20_000)}`]) {
			const checked = parseSettings({file: 'f', text, schema});
			assert.ok(checked.err);
			assert.ok(checked.val.length <= 20, String(checked.val.length));
		}
	});

	it('accepts comments and trailing commas', () => {
		const text = '// a comment\n{"name": "a", "limit": "250 ms", "inner": {"count": 1,},}';
		assert.deepEqual(parseSettings({file: 'f', text, schema}).unwrap(), {name: 'a', limit: 250, inner: {count: 1}});
	});
});
