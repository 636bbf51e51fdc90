/** Guards against objects of a reply that are lost, joined or changed when the reply is split into them. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {splitJsonList} from '../splitJsonList.js';

/** Parses a text by way of its elements. */
function parseSplit(text: string, member: string): unknown {
	const {rest, elements} = splitJsonList(text, member)!;
	return {...JSON.parse(rest) as object, [member]: elements.map(element => JSON.parse(element) as unknown)};
}

describe('a reply that is split', () => {
	it('holds what the reply holds', () => {
		fc.assert(fc.property(fc.array(fc.jsonValue()), fc.jsonValue(), fc.jsonValue(), fc.constantFrom(undefined, 1, '\t'), (items, before, after, space) => {
			const value = {before, items, after};
			const text = JSON.stringify(value, undefined, space);
			assert.deepEqual(parseSplit(text, 'items'), JSON.parse(text));
		}));
	});

	it('takes no list but that of the outermost object', () => {
		const value = {
			items2: [1], a: {items: [2]}, b: ['items', [3], '"items":['], items: [[4], {items: [5]}, String.raw`],\"`, 'x\\'],
		};
		assert.deepEqual(parseSplit(JSON.stringify(value), 'items'), value);
	});

	it('has no list where the reply has none', () => {
		for (const text of ['', '[]', '{}', '{"items":null}', '{"a":{"items":[]}}', '{"items":[1', '"items"', '{"items":{"a":1}}', '{"items":["a]}']) {
			assert.equal(splitJsonList(text, 'items'), undefined, text);
		}
	});

	it('never makes elements out of a list that is no JSON', () => {
		for (const text of ['{"items":[1,,2]}', '{"items":[1,]}', '{"items":[,]}', '{"items":[1 2]}', '{"items":[{]}}']) {
			const split = splitJsonList(text, 'items');
			assert.ok(split === undefined || [split.rest, ...split.elements].some(part => !isJson(part)), text);
		}
	});
});

function isJson(text: string): boolean {
	try {
		JSON.parse(text);
		return true;
	} catch {
		return false;
	}
}
