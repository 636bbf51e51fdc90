/** Guards against a page of the store that ends the watch, so that an entry goes on with what it knew. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type MetadataObject, type MetadataStore} from '@damaskspool/runtime';
import {Ok} from '@damaskspool/shared';
import {watchObjects} from '../watchObjects.js';

const createObject = <Value>(name: string): MetadataObject<Value> => ({
	name, version: 1, value: undefined, isRemoved: false,
});

/** Creates the calls of a store that lists one object and reports another one in each watch. */
function createStore(): Pick<MetadataStore, 'list' | 'watch'> {
	let version = 1;
	return {
		list: async <Value>() => Ok({version, objects: [createObject<Value>('listed')]}),
		async watch<Value>() {
			version += 1;
			return Ok({version, objects: [createObject<Value>(`changed-${version}`)]});
		},
	};
}

describe('a watch', () => {
	it('lists again after a page that could not be handled', async () => {
		const pages: string[] = [];
		const failures: string[] = [];
		await watchObjects({
			store: createStore() as MetadataStore,
			kind: 'targets',
			parseValue: (_name, value) => value,
			isStopped: () => pages.length === 4,
			onPage({objects}, isFullList) {
				pages.push(`${isFullList ? 'list' : 'change'} ${objects[0]!.name}`);
				if (pages.length === 2) {
					throw new Error('the page is odd');
				}
			},
			onFailure({message}) {
				failures.push(message);
			},
		});
		assert.deepEqual(pages, ['list listed', 'change changed-2', 'list listed', 'change changed-3']);
		assert.equal(failures.length, 1);
	});
});
