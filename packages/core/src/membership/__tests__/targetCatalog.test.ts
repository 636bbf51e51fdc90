import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestTarget} from '../../placement/__tests__/createTestPlacement.js';
import {
	applyRegistrations, createTargetCatalog, expireRegistrations, listTargets, type TargetCatalog,
} from '../targetCatalog.js';

function listIds(catalog: TargetCatalog): string[] {
	return listTargets(catalog).map(({targetId}) => targetId);
}

describe('target catalog', () => {
	it('removes a target immediately if its registration is removed while the store is healthy', () => {
		const catalog = createTargetCatalog();
		applyRegistrations(catalog, {targets: [createTestTarget('a'), createTestTarget('b')], removed: [], isComplete: true}, 0);
		applyRegistrations(catalog, {targets: [], removed: ['a'], isComplete: false}, 10_000);
		assert.deepEqual(listIds(catalog), ['b']);
	});

	it('keeps a target whose registration expired during a store failure until its time to register again is over', () => {
		const catalog = createTargetCatalog();
		applyRegistrations(catalog, {targets: [createTestTarget('a'), createTestTarget('b')], removed: [], isComplete: true}, 0);
		catalog.storeFailedAtMs = 10_000;
		applyRegistrations(catalog, {targets: [], removed: [], isComplete: true}, 10_100);
		assert.deepEqual(listIds(catalog), ['a', 'b']);
		applyRegistrations(catalog, {targets: [createTestTarget('b')], removed: [], isComplete: false}, 11_000);
		assert.equal(expireRegistrations(catalog, 12_500), true);
		assert.deepEqual(listIds(catalog), ['b']);
	});

	it('keeps a target leaving until a new incarnation registers under the same identifier', () => {
		const catalog = createTargetCatalog();
		applyRegistrations(catalog, {targets: [createTestTarget('a', {isLeaving: true})], removed: [], isComplete: true}, 0);
		applyRegistrations(catalog, {targets: [createTestTarget('a')], removed: [], isComplete: false}, 100);
		assert.equal(listTargets(catalog)[0]?.isLeaving, true);
		applyRegistrations(catalog, {targets: [createTestTarget('a', {startedAtMs: 2})], removed: [], isComplete: false}, 200);
		assert.equal(listTargets(catalog)[0]?.isLeaving, false);
	});
});
