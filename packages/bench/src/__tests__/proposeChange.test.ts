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

const OPERATORS = 4;
const CHANGES_EACH = 5;
/** Bound of a call; a machine that is busy must not turn a slow answer into a lost one. */
const CALL_TIMEOUT_MS = 10_000;

function createDocument(): ConfigurationDocument {
	return {services: [], customers: []};
}

/** Starts a platform behind a proxy, and gives each operator a store of its own. */
async function startStores() {
	const platform = await createPlatform();
	writeFirstConfiguration(platform, createDocument());
	const proxy = await createFaultProxy(platform.address);
	const clients = Array.from({length: OPERATORS}, () => createObjectApiClient({address: proxy.address, callTimeoutMs: CALL_TIMEOUT_MS}));
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

/** Loses the reply of the next update of the head, which takes effect. */
function loseReplyOfHead(platform: Platform): void {
	const {write} = platform.store;
	Object.assign(platform.store, {
		write(...parameters: Parameters<typeof write>) {
			platform.setFault({kind: parameters[0] === CONFIGURATION_HEAD_KEY ? 'none' : 'replyLost'});
			return write(...parameters);
		},
	});
}

describe('changes proposed to the object API', () => {
	it('of operators who race are all kept, and each has a revision of its own', async () => {
		const {stores, stop} = await startStores();
		const revisions = await Promise.all(stores.map(async (store, operator) => {
			const own: number[] = [];
			for (let index = 0; index < CHANGES_EACH; index += 1) {
				const receipt = await store.propose(createCustomerChange(`${operator}-${index}`));
				assert.ok(receipt.ok, receipt.err ? receipt.val.message : '');
				own.push(receipt.val.revision);
			}

			return own;
		}));
		const stored = await stores[0]!.read();
		assert.ok(stored.ok);
		await stop();
		assert.equal(new Set(revisions.flat()).size, OPERATORS * CHANGES_EACH);
		assert.equal(toDocument(stored.val.copy).customers.length, OPERATORS * CHANGES_EACH);
	});

	it('whose reply is lost are settled by reading back', async () => {
		const {platform, stores, stop} = await startStores();
		const [store] = stores;
		loseReplyOfHead(platform);
		const receipt = await store!.propose(createCustomerChange('lost-reply'));
		const again = await store!.propose(createCustomerChange('lost-reply'));
		await stop();
		assert.ok(receipt.ok && again.ok);
		assert.equal(receipt.val.revision, 2);
		assert.deepEqual(again.val, receipt.val);
	});

	it('are said to be not run where the object API never answered', async () => {
		const {proxy, stores, stop} = await startStores();
		proxy.setFault({kind: 'cut'});
		const refused = await stores[0]!.propose(createCustomerChange('no-store'));
		await stop();
		assert.ok(refused.err);
		assert.deepEqual([refused.val.code, refused.val.outcome], [ERROR_CODES.storeUnavailable, OUTCOMES.refusedNotRun]);
	});
});
