import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConfigurationCopy, toDocument} from '@damaskspool/core';
import {createConfigurationStore} from '@damaskspool/daemon';
import {createObjectApiClient} from '@damaskspool/runtime';
import {
	CONFIGURATION_HEAD_KEY, type ConfigurationDocument, ERROR_CODES, OUTCOMES,
} from '@damaskspool/shared';
import {createFaultProxy, createPlatform, type Platform} from '@damaskspool/stand-ins';
import {writeFirstConfiguration} from '../harness/writeFirstConfiguration.js';

const OPERATOR_COUNT = 4;
const CHANGES_PER_OPERATOR = 5;
/** High enough that a slow response on a busy machine does not count as lost. */
const CALL_TIMEOUT_MS = 10_000;

function createEmptyDocument(): ConfigurationDocument {
	return {services: [], customers: []};
}

/** Starts a platform behind a proxy, and creates a separate configuration store client for each operator. */
async function startStores() {
	const platform = await createPlatform();
	writeFirstConfiguration(platform, createEmptyDocument());
	const proxy = await createFaultProxy(platform.address);
	const clients = Array.from({length: OPERATOR_COUNT}, () => createObjectApiClient({address: proxy.address, callTimeoutMs: CALL_TIMEOUT_MS}));
	const onUpdate = () => undefined;
	const stores = clients.map(objectApi => createConfigurationStore({objectApi, readLocalCopy: createConfigurationCopy, onUpdate}));
	return {
		platform,
		proxy,
		stores,
		async stop() {
			await Promise.all(clients.map(async client => client.close()));
			await proxy.close();
			await platform.close();
		},
	};
}

function createCustomerChange(customerId: string) {
	const customer = {
		customerId, keyHashes: [], weight: 1, operator: false,
	};
	return {changeId: `change-${customerId}`, edits: [{type: 'setCustomer' as const, customer}]};
}

/** Drops the reply to the next write of the configuration head; the write itself takes effect. */
function dropHeadUpdateReply(platform: Platform): void {
	const {write} = platform.store;
	Object.assign(platform.store, {
		write(...parameters: Parameters<typeof write>) {
			platform.setFault({kind: parameters[0] === CONFIGURATION_HEAD_KEY ? 'none' : 'replyLost'});
			return write(...parameters);
		},
	});
}

// Guards against lost or duplicated configuration changes: concurrent operators may overwrite each other's change, and
// an operator that gets no reply cannot tell whether its change was stored.
describe('configuration changes proposed to the object API', () => {
	it('are all kept when operators propose concurrently, each under a separate revision', async () => {
		const {stores, stop} = await startStores();
		const revisions = await Promise.all(stores.map(async (store, operatorIndex) => {
			const operatorRevisions: number[] = [];
			for (let index = 0; index < CHANGES_PER_OPERATOR; index += 1) {
				const receipt = await store.propose(createCustomerChange(`${operatorIndex}-${index}`));
				assert.ok(receipt.ok, receipt.err ? receipt.val.message : '');
				operatorRevisions.push(receipt.val.revision);
			}

			return operatorRevisions;
		}));
		const stored = await stores[0]!.read();
		assert.ok(stored.ok);
		await stop();
		assert.equal(new Set(revisions.flat()).size, OPERATOR_COUNT * CHANGES_PER_OPERATOR);
		assert.equal(toDocument(stored.val.copy).customers.length, OPERATOR_COUNT * CHANGES_PER_OPERATOR);
	});

	it('are confirmed by reading the store when the reply is lost', async () => {
		const {platform, stores, stop} = await startStores();
		const [store] = stores;
		dropHeadUpdateReply(platform);
		const receipt = await store!.propose(createCustomerChange('lost-reply'));
		const repeated = await store!.propose(createCustomerChange('lost-reply'));
		await stop();
		assert.ok(receipt.ok && repeated.ok);
		assert.equal(receipt.val.revision, 2);
		assert.deepEqual(repeated.val, receipt.val);
	});

	it('are refused with the outcome "not run" when the object API is unreachable', async () => {
		const {proxy, stores, stop} = await startStores();
		proxy.setFault({kind: 'cut'});
		const refused = await stores[0]!.propose(createCustomerChange('no-store'));
		await stop();
		assert.ok(refused.err);
		assert.deepEqual([refused.val.code, refused.val.outcome], [ERROR_CODES.storeUnavailable, OUTCOMES.refusedNotRun]);
	});
});
