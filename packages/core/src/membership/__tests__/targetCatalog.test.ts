import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestTarget} from '../../placement/__tests__/createTestPlacement.js';
import {READ_FAILURES, recordReadFailure, recordReply} from '../storeContact.js';
import {
	applyRegistrations, beginEra, createTargetCatalog, expireRegistrations, listTargets, type TargetCatalog,
} from '../targetCatalog.js';

/** A removal that a watch tells, and one that shows in a list. */
const REMOVALS = [
	{targets: [], removed: ['a'], isComplete: false},
	{targets: [createTestTarget('b')], removed: [], isComplete: true},
];
/** What an entry knows of the store before it learns of a removal, and whether the registration may have expired in an outage. */
const EVIDENCE: ReadonlyArray<{readonly name: string; readonly change: (catalog: TargetCatalog, nowMs: number) => void; readonly isKept: boolean}> = [
	{
		name: 'a watch was cut off while it waited', isKept: false, change({storeContact}) {
			recordReadFailure(storeContact, READ_FAILURES.watchCut);
		},
	},
	{
		name: 'several watches in a row were cut off while they waited', isKept: false, change({storeContact}) {
			for (let count = 0; count < 5; count += 1) {
				recordReadFailure(storeContact, READ_FAILURES.watchCut);
			}
		},
	},
	{
		name: 'one connection ended at once', isKept: false, change({storeContact}) {
			recordReadFailure(storeContact, READ_FAILURES.connectionLost);
		},
	},
	{
		name: 'two connections in a row ended at once', isKept: true, change({storeContact}) {
			recordReadFailure(storeContact, READ_FAILURES.connectionLost);
			recordReadFailure(storeContact, READ_FAILURES.connectionLost);
		},
	},
	{
		name: 'a call was refused or got no reply', isKept: true, change({storeContact}) {
			recordReadFailure(storeContact, READ_FAILURES.unavailable);
		},
	},
	{
		name: 'an outage ended long ago', isKept: false, change({storeContact}, nowMs) {
			recordReadFailure(storeContact, READ_FAILURES.unavailable);
			recordReply(storeContact, nowMs - 3000);
		},
	},
	{
		name: 'the store came back from an older copy', isKept: true, change(catalog, nowMs) {
			beginEra(catalog, nowMs);
		},
	},
];

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
		recordReadFailure(catalog.storeContact, READ_FAILURES.unavailable);
		applyRegistrations(catalog, {targets: [], removed: [], isComplete: true}, 10_100);
		assert.deepEqual(listIds(catalog), ['a', 'b']);
		applyRegistrations(catalog, {targets: [createTestTarget('b')], removed: [], isComplete: false}, 11_000);
		assert.equal(expireRegistrations(catalog, 12_299), false);
		assert.equal(expireRegistrations(catalog, 12_300), true);
		assert.deepEqual(listIds(catalog), ['b']);
	});

	for (const {name, change, isKept} of EVIDENCE) {
		it(`${isKept ? 'keeps a target for the time to register again' : 'removes a target at once'}: ${name}`, () => {
			for (const removal of REMOVALS) {
				const catalog = createTargetCatalog();
				applyRegistrations(catalog, {targets: [createTestTarget('a'), createTestTarget('b')], removed: [], isComplete: true}, 0);
				change(catalog, 10_000);
				applyRegistrations(catalog, removal, 10_000);
				assert.deepEqual(listIds(catalog), isKept ? ['a', 'b'] : ['b']);
				expireRegistrations(catalog, 12_199);
				assert.deepEqual(listIds(catalog), isKept ? ['a', 'b'] : ['b']);
				expireRegistrations(catalog, 12_200);
				assert.deepEqual(listIds(catalog), ['b']);
			}
		});
	}

	it('removes a target in time while watches are cut off again and again', () => {
		const catalog = createTargetCatalog();
		applyRegistrations(catalog, {targets: [createTestTarget('a'), createTestTarget('b')], removed: [], isComplete: true}, 0);
		recordReadFailure(catalog.storeContact, READ_FAILURES.unavailable);
		recordReply(catalog.storeContact, 1000);
		applyRegistrations(catalog, {targets: [], removed: ['a'], isComplete: false}, 1500);
		for (let nowMs = 1600; nowMs < 3200; nowMs += 200) {
			recordReadFailure(catalog.storeContact, READ_FAILURES.watchCut);
			recordReply(catalog.storeContact, nowMs);
			recordReadFailure(catalog.storeContact, READ_FAILURES.connectionLost);
			recordReply(catalog.storeContact, nowMs);
		}

		expireRegistrations(catalog, 3200);
		assert.deepEqual(listIds(catalog), ['b']);
	});

	it('keeps a target that expired in an outage while the store is away again', () => {
		const catalog = createTargetCatalog();
		applyRegistrations(catalog, {targets: [createTestTarget('a')], removed: [], isComplete: true}, 0);
		recordReadFailure(catalog.storeContact, READ_FAILURES.unavailable);
		applyRegistrations(catalog, {targets: [], removed: ['a'], isComplete: false}, 1000);
		recordReadFailure(catalog.storeContact, READ_FAILURES.unavailable);
		assert.equal(expireRegistrations(catalog, 60_000), false);
		recordReply(catalog.storeContact, 61_000);
		assert.equal(expireRegistrations(catalog, 63_199), false);
		assert.equal(expireRegistrations(catalog, 63_200), true);
	});

	it('does not bring a target back that was removed before the store went away', () => {
		const catalog = createTargetCatalog();
		applyRegistrations(catalog, {targets: [createTestTarget('a')], removed: [], isComplete: true}, 0);
		applyRegistrations(catalog, {targets: [], removed: ['a'], isComplete: false}, 1000);
		recordReadFailure(catalog.storeContact, READ_FAILURES.unavailable);
		recordReply(catalog.storeContact, 2000);
		assert.deepEqual(listIds(catalog), []);
	});

	it('uses an incarnation that registers while the one before it is kept', () => {
		const catalog = createTargetCatalog();
		applyRegistrations(catalog, {targets: [createTestTarget('a')], removed: [], isComplete: true}, 0);
		recordReadFailure(catalog.storeContact, READ_FAILURES.unavailable);
		applyRegistrations(catalog, {targets: [], removed: ['a'], isComplete: false}, 1000);
		applyRegistrations(catalog, {targets: [createTestTarget('a', {startedAtMs: 2})], removed: [], isComplete: false}, 1500);
		assert.equal(expireRegistrations(catalog, 60_000), false);
		assert.equal(listTargets(catalog)[0]?.startedAtMs, 2);
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
