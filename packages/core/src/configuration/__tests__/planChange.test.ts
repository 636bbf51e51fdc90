import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	type ConfigurationEdit, type ConfigurationHead, type ConfigurationProposal, ERROR_CODES, hashText,
} from '@damaskspool/shared';
import fc from 'fast-check';
import {
	applyUpdate, type ConfigurationCopy, createConfigurationCopy, createUpdate, toDocument,
} from '../configurationCopy.js';
import {applyConfiguration, createConfigurationState} from '../configurationState.js';
import {planChange} from '../planChange.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createEntryState} from '../../reducer/entryState.js';
import {createTestDocument} from '../../request/__tests__/requestFixtures.js';

const SEED = 20_261_204;
const KEY_HASH = hashText('some key');

type StoredConfiguration = {head: ConfigurationHead | undefined; copy: ConfigurationCopy};

/** Plans a change and applies the planned write, as a store that loses no writes does. */
function acceptChange(stored: StoredConfiguration, proposal: ConfigurationProposal, baseRevision = stored.head?.revision ?? 0) {
	const planned = planChange({
		...stored, proposal, baseRevision, documentId: proposal.changeId,
	});
	if (planned.ok && planned.val.kind === 'write') {
		stored.head = planned.val.head;
		assert.ok(applyUpdate(stored.copy, planned.val.update));
	}

	return planned;
}

function createStored(): StoredConfiguration {
	const stored: StoredConfiguration = {head: undefined, copy: createConfigurationCopy()};
	acceptChange(stored, {changeId: 'first-change', edits: [{type: 'setDocument', document: createTestDocument()}]});
	return stored;
}

function createCustomerEdit(customerId: string, weight: number): ConfigurationEdit {
	return {
		type: 'setCustomer', customer: {
			customerId, keyHashes: [], weight, operator: false,
		},
	};
}

describe('planChange', () => {
	it('refuses a change whose resulting document is not valid', () => {
		const invalidEdits: ConfigurationEdit[][] = [
			[{type: 'withdrawKey', customerId: 'nobody', keyHash: KEY_HASH}],
			[{type: 'removeService', serviceId: 'nothing'}],
			[{type: 'setService', service: {...createTestDocument().services[0]!, serviceId: 'again'}}],
			[createCustomerEdit('d', 1), {type: 'issueKey', customerId: 'c', keyHash: KEY_HASH}, {type: 'issueKey', customerId: 'd', keyHash: KEY_HASH}],
			[{
				type: 'setCustomer', customer: {
					customerId: 'd', keyHashes: [], weight: 1, operator: false, services: ['nothing'],
				},
			}],
		];
		for (const edits of invalidEdits) {
			const planned = acceptChange(createStored(), {changeId: 'change-1', edits});
			assert.equal(planned.err ? planned.val.code : undefined, ERROR_CODES.queryInvalid);
		}
	});

	it('refuses a change that conflicts with another operator\'s and accepts one that does not', () => {
		const stored = createStored();
		acceptChange(stored, {changeId: 'change-a', edits: [createCustomerEdit('d', 2)]}, 1);
		const overlapping = acceptChange(stored, {changeId: 'change-b', edits: [createCustomerEdit('d', 3)]}, 1);
		assert.equal(overlapping.err ? overlapping.val.code : undefined, ERROR_CODES.versionConflict);
		acceptChange(stored, {changeId: 'change-c', edits: [createCustomerEdit('e', 4)]}, 1);
		acceptChange(stored, {changeId: 'change-d', edits: [{type: 'issueKey', customerId: 'd', keyHash: KEY_HASH}]}, 1);
		const customers = new Map(toDocument(stored.copy).customers.map(customer => [customer.customerId, customer]));
		assert.deepEqual([customers.get('d')?.weight, customers.get('e')?.weight, customers.get('d')?.keyHashes], [2, 4, [KEY_HASH]]);
	});

	it('accepts a change that is proposed twice only once', () => {
		const stored = createStored();
		const proposal = {changeId: 'change-a', edits: [createCustomerEdit('d', 2)]};
		acceptChange(stored, proposal);
		const again = acceptChange(stored, proposal);
		assert.deepEqual(again.ok ? again.val : undefined, {kind: 'accepted', receipt: {changeId: 'change-a', revision: 2}});
		assert.equal(stored.head?.revision, 2);
	});

	it('does not apply a partial update to a copy that lacks the previous change', () => {
		const stored = createStored();
		const staleCopy = createConfigurationCopy();
		applyUpdate(staleCopy, createUpdate(stored.copy, 0)!);
		acceptChange(stored, {changeId: 'change-a', edits: [createCustomerEdit('d', 2)]});
		acceptChange(stored, {changeId: 'change-b', edits: [createCustomerEdit('e', 2)]});
		assert.ok(!applyUpdate(staleCopy, createUpdate(stored.copy, 2)!));
		assert.equal(staleCopy.revision, 1);
	});

	it('brings a copy up to date after lost, reordered and repeated updates, and never reverts it', () => {
		const steps = fc.array(fc.tuple(fc.nat(5), fc.integer({min: 1, max: 9}), fc.boolean()), {minLength: 1, maxLength: 90});
		fc.assert(fc.property(steps, fc.array(fc.nat(100), {maxLength: 100}), (changes, replayIndexes) => {
			const stored = createStored();
			const replica = createConfigurationCopy();
			const sent = [];
			for (const [index, [customer, weight, isForwarded]] of changes.entries()) {
				acceptChange(stored, {changeId: `change-${index}`, edits: [createCustomerEdit(`customer-${customer}`, weight)]});
				const update = createUpdate(stored.copy, replica.revision)!;
				sent.push(update);
				if (isForwarded) {
					applyUpdate(replica, update);
				}
			}

			for (const index of replayIndexes) {
				const before = replica.revision;
				applyUpdate(replica, sent[index % sent.length]!);
				assert.ok(replica.revision >= before, 'the copy went back to an earlier revision');
			}

			const last = createUpdate(stored.copy, replica.revision);
			assert.ok(last === undefined || applyUpdate(replica, last));
			assert.deepEqual(toDocument(replica), toDocument(stored.copy));
		}), {seed: SEED, numRuns: 100});
	});
});

describe('partial updates of an entry', () => {
	it('build the same customer, key and route indexes as a full configuration', () => {
		const edits = fc.array(fc.record({customer: fc.nat(6), key: fc.nat(9), type: fc.constantFrom('set', 'remove', 'issueKey', 'withdrawKey')}), {maxLength: 40});
		fc.assert(fc.property(edits, steps => {
			const stored = createStored();
			const state = createEntryState({instanceId: 'e', availabilityZone: 'a'});
			reduceEntry(state, {
				type: 'configuration.updated', nowMs: 0, source: 'peer', update: createUpdate(stored.copy, 0)!,
			});
			for (const [index, {customer, key, type}] of steps.entries()) {
				const customerId = `customer-${customer}`;
				const keyHash = hashText(`key ${key}`);
				const edit: Record<typeof type, ConfigurationEdit> = {
					set: createCustomerEdit(customerId, key + 1),
					remove: {type: 'removeCustomer', customerId},
					issueKey: {type: 'issueKey', customerId, keyHash},
					withdrawKey: {type: 'withdrawKey', customerId, keyHash},
				};
				const before = stored.copy.revision;
				acceptChange(stored, {changeId: `change-${index}`, edits: [edit[type]]});
				const update = createUpdate(stored.copy, before);
				if (update !== undefined) {
					reduceEntry(state, {
						type: 'configuration.updated', nowMs: 0, source: 'peer', update,
					});
				}
			}

			const expected = createConfigurationState();
			applyConfiguration(expected, {revision: stored.copy.revision, document: toDocument(stored.copy)});
			const {customers, customerIdByKeyHash, routes} = state.configuration;
			assert.deepEqual(customers, expected.customers);
			assert.deepEqual(customerIdByKeyHash, expected.customerIdByKeyHash);
			assert.deepEqual(routes, expected.routes);
		}), {seed: SEED, numRuns: 100});
	});
});
