/** Guards against checks whose memory and messages grow with a list or an object that another writer made. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {z} from 'zod';
import {
	COLLECTION_CHUNK_SIZE, createListSchema, createRecordSchema, formatContentIssues, MAX_COLLECTION_ISSUES,
} from '../index.js';

const itemSchema = z.object({name: z.string(), count: z.number().int().default(1)});
const keySchema = z.string().max(3);
/** Pairs of a schema and the one of zod that accepts the same. */
const PAIRS: ReadonlyArray<readonly [z.ZodType, z.ZodType]> = [
	// eslint-disable-next-line no-restricted-properties
	[createListSchema(itemSchema), z.array(itemSchema)],
	// eslint-disable-next-line no-restricted-properties
	[createListSchema(z.number(), {minLength: 1, maxLength: 3}), z.array(z.number()).min(1).max(3)],
	// eslint-disable-next-line no-restricted-properties
	[createListSchema(createListSchema(z.number())), z.array(z.array(z.number()))],
	// eslint-disable-next-line no-restricted-properties
	[createRecordSchema(keySchema, z.number()), z.record(keySchema, z.number())],
	// eslint-disable-next-line no-restricted-properties
	[z.object({items: createListSchema(itemSchema).optional()}), z.object({items: z.array(itemSchema).optional()})],
	// eslint-disable-next-line no-restricted-properties
	[z.object({items: createListSchema(z.string()).default([])}), z.object({items: z.array(z.string()).default([])})],
];

const contentArbitrary = fc.oneof(
	fc.jsonValue(),
	fc.array(fc.integer()),
	fc.array(fc.integer(), {minLength: 60, maxLength: 200}),
	fc.array(fc.array(fc.oneof({weight: 9, arbitrary: fc.integer()}, fc.constant(null)))),
	fc.array(fc.record({name: fc.string(), count: fc.oneof(fc.integer(), fc.constant('x'))}, {requiredKeys: []})),
	fc.dictionary(fc.oneof(fc.string({maxLength: 4}), fc.constantFrom('__proto__', 'constructor', '1')), fc.oneof({weight: 9, arbitrary: fc.integer()}, fc.constant(null))),
	fc.record({items: fc.oneof(fc.array(fc.string()), fc.constant(null))}, {requiredKeys: []}),
);

/** Builds a list whose elements may be read only up to an index. */
function createGuardedList(element: unknown, length: number, maxRead: number): readonly unknown[] {
	return new Proxy(Array.from({length}, () => element), {
		get(target, key) {
			assert.ok(typeof key !== 'string' || !/^\d+$/v.test(key) || Number(key) < maxRead, `element ${String(key)} was read`);
			return Reflect.get(target, key) as unknown;
		},
	});
}

describe('a schema of a list or a record', () => {
	it('accepts what the schema of zod accepts, and gives the same', () => {
		fc.assert(fc.property(fc.constantFrom(...PAIRS), contentArbitrary, ([schema, reference], value) => {
			const content: unknown = JSON.parse(JSON.stringify(value) ?? 'null');
			const parsed = schema.safeParse(content);
			const expected = reference.safeParse(content);
			assert.equal(parsed.success, expected.success);
			assert.deepEqual(parsed.data, expected.data);
		}), {numRuns: 1000});
	});

	it('reads no element beyond those that are checked together with the first faulty one', () => {
		for (const element of [7, {}, [], null, 'x']) {
			const list = createGuardedList(element, 400_000, COLLECTION_CHUNK_SIZE);
			assert.ok(createListSchema(itemSchema).safeParse(list).error!.issues.length <= MAX_COLLECTION_ISSUES);
		}

		assert.equal(createListSchema(z.number(), {maxLength: 10}).safeParse(createGuardedList(1, 11, 0)).success, false);
	});

	it('names the place of a fault beyond the elements that are checked first', () => {
		const list = [...Array.from({length: 200}, () => ({name: 'a'})), {name: 7}];
		assert.deepEqual(createListSchema(itemSchema).safeParse(list).error!.issues[0]!.path, [200, 'name']);
		const members = Object.fromEntries(Array.from({length: 200}, (_, index) => [`k${index}`, index === 150 ? 'x' : index]));
		assert.deepEqual(createRecordSchema(z.string(), z.number()).safeParse(members).error!.issues[0]!.path, ['k150']);
	});

	it('keeps few issues of lists in lists and of records', () => {
		const digits = Array.from({length: 1000}, () => 7);
		const lists = createListSchema(z.object({items: createListSchema(z.string()), others: createListSchema(z.string())}));
		assert.ok(lists.safeParse(digits.map(() => ({items: digits, others: digits}))).error!.issues.length <= MAX_COLLECTION_ISSUES);
		const members = Object.fromEntries(digits.map((digit, index) => [`k${index}`, digit]));
		assert.ok(createRecordSchema(z.string(), z.string()).safeParse(members).error!.issues.length <= MAX_COLLECTION_ISSUES);
		assert.equal(createRecordSchema(z.string(), z.number(), {maxSize: 999}).safeParse(members).success, false);
	});

	it('is explained in one line of at most a few hundred characters', () => {
		const long = 'x'.repeat(100_000);
		const schema = z.strictObject({
			items: createListSchema(itemSchema), names: createRecordSchema(z.string().max(1), z.string()), text: z.string().refine(() => false, long),
		});
		const {error} = schema.safeParse({
			items: [1, 2, 3], names: {[long]: 1, [`${long}y\n`]: 2}, text: '', [long]: 1,
		});
		const line = formatContentIssues(error!);
		assert.ok(line.length < 500, String(line.length));
		assert.ok(!line.includes('\n'));
		assert.match(line, /^items\[0\]: Invalid input: expected object/v);
		assert.match(line, /; and more$/v);
	});
});
