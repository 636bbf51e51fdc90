import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConfigurationCopy} from '@damaskspool/core';
import {createConfigurationStore} from '@damaskspool/daemon';
import {createObjectApiClient, createRpcClient} from '@damaskspool/runtime';
import {ERROR_CODES, HEADERS} from '@damaskspool/shared';
import {type ProxyFault} from '@damaskspool/stand-ins';
import {Agent} from 'undici';
import {
	KEYED_CUSTOMER_ID, KEYED_PATH, type KeyedEntries, type KeyedEntry, startKeyedEntries,
} from '../harness/startKeyedEntries.js';
import {waitFor} from '../harness/startDeployment.js';

const ZONES = ['a', 'b', 'c'];
const CONNECTIONS = 200;
/** Time between requests on one connection. */
const REQUEST_INTERVAL_MS = 100;
/** The promise: a withdrawn key stops within this time, everywhere. */
const WITHDRAWN_LIMIT_MS = 5000;

/** What callers on open connections see, by entry. */
type Watch = {
	/** Time of the latest accepted request, by entry. */
	readonly acceptedAt: number[];
	/** Error codes since the latest accepted request, by entry. */
	readonly refusals: Array<Set<string>>;
	readonly stop: () => Promise<void>;
};

/** Keeps connections open to all entries and sends on each of them in turn. */
function watchConnections({entries, key}: KeyedEntries): Watch {
	const acceptedAt = entries.map(() => 0);
	const refusals = entries.map(() => new Set<string>());
	const agents = Array.from({length: CONNECTIONS}, () => new Agent({connections: 1}));
	const ended = new AbortController();
	const send = async (agent: Agent, index: number) => {
		const response = await agent.request({
			origin: `http://${entries[index]!.daemon.addresses.listen}`, path: `${KEYED_PATH}/1`, method: 'GET', headers: {authorization: `Bearer ${key}`},
		});
		await response.body.dump();
		const code = response.headers[HEADERS.errorCode];
		if (response.statusCode === 200) {
			acceptedAt[index] = performance.now();
			refusals[index]!.clear();
		} else if (typeof code === 'string') {
			refusals[index]!.add(code);
		}
	};

	const runs = agents.map(async (agent, number) => {
		while (!ended.signal.aborted) {
			await send(agent, number % entries.length);
			await new Promise(resolve => {
				setTimeout(resolve, REQUEST_INTERVAL_MS);
			});
		}
	});
	return {
		acceptedAt,
		refusals,
		async stop() {
			ended.abort();
			await Promise.all(runs);
			await Promise.all(agents.map(async agent => agent.destroy()));
		},
	};
}

/** Withdraws the key as an operator would; returns when it was accepted. */
async function withdrawKey({platform, keyHash}: KeyedEntries): Promise<number> {
	const objectApi = createObjectApiClient({address: platform.address});
	const store = createConfigurationStore({objectApi, readLocalCopy: createConfigurationCopy, onUpdate: () => undefined});
	const receipt = await store.propose({changeId: 'withdraw-key', edits: [{type: 'withdrawKey', customerId: KEYED_CUSTOMER_ID, keyHash}]});
	await objectApi.close();
	assert.ok(receipt.ok);
	return performance.now();
}

function cutOff(entries: readonly KeyedEntry[], fault: ProxyFault): void {
	for (const {platformProxy, peerProxy} of entries) {
		platformProxy.setFault(fault);
		peerProxy.setFault(fault);
	}
}

describe('a key withdrawn under open connections', () => {
	it('stops at every entry, also at one that is cut off from the store and catches up from its peers', async () => {
		const running = await startKeyedEntries(ZONES);
		const watch = watchConnections(running);
		await waitFor(() => watch.acceptedAt.every(time => time > 0));
		running.entries[2]!.platformProxy.setFault({kind: 'loseReplies'});
		const withdrawnAt = await withdrawKey(running);
		await waitFor(() => watch.refusals.every(codes => codes.has(ERROR_CODES.keyUnknown)));
		await watch.stop();
		await running.stop();
		for (const acceptedAt of watch.acceptedAt) {
			assert.ok(acceptedAt - withdrawnAt < WITHDRAWN_LIMIT_MS, `accepted ${acceptedAt - withdrawnAt} ms after`);
		}
	});

	it('stops at an entry that is cut off from the store and from every peer, which refuses', async () => {
		const running = await startKeyedEntries(ZONES);
		const watch = watchConnections(running);
		await waitFor(() => watch.acceptedAt.every(time => time > 0));
		// Entries one and two still reach the store; nobody reaches a peer.
		running.entries[2]!.platformProxy.setFault({kind: 'loseReplies'});
		for (const {peerProxy} of running.entries) {
			peerProxy.setFault({kind: 'loseReplies'});
		}

		const withdrawnAt = await withdrawKey(running);
		await waitFor(() => watch.refusals[2]!.has(ERROR_CODES.keysStale) && watch.refusals[0]!.has(ERROR_CODES.keyUnknown));
		cutOff(running.entries, {kind: 'none'});
		await waitFor(() => watch.refusals[2]!.has(ERROR_CODES.keyUnknown));
		await watch.stop();
		await running.stop();
		for (const acceptedAt of watch.acceptedAt) {
			assert.ok(acceptedAt - withdrawnAt < WITHDRAWN_LIMIT_MS, `accepted ${acceptedAt - withdrawnAt} ms after`);
		}
	});
});

describe('entries whose store is down for everyone', () => {
	it('go on serving, and take the next change within seconds of its return', async () => {
		const running = await startKeyedEntries(ZONES);
		const watch = watchConnections(running);
		await waitFor(() => watch.acceptedAt.every(time => time > 0));
		running.platform.setFault({kind: 'down'});
		const downAt = performance.now();
		await waitFor(() => watch.acceptedAt.every(time => time > downAt + (2 * WITHDRAWN_LIMIT_MS)));
		const refused = watch.refusals.map(codes => [...codes]);
		running.platform.setFault({kind: 'none'});
		const withdrawnAt = await withdrawKey(running);
		await waitFor(() => watch.refusals.every(codes => codes.has(ERROR_CODES.keyUnknown)));
		await watch.stop();
		await running.stop();
		assert.deepEqual(refused, [[], [], []]);
		assert.ok(Math.max(...watch.acceptedAt) - withdrawnAt < WITHDRAWN_LIMIT_MS);
	});
});

describe('the status of a revision', () => {
	it('names the entries that have not confirmed it', async () => {
		const running = await startKeyedEntries(ZONES);
		const rpc = createRpcClient({timeoutMs: 3000});
		cutOff([running.entries[2]!], {kind: 'cut'});
		await withdrawKey(running);
		for (const entry of running.entries.slice(0, 2)) {
			await waitFor(async () => await running.readGauge(entry, 'configuration_revision') === 2);
		}

		const read = await rpc.call(running.entries[0]!.daemon.addresses.control!, 'configuration.status', {revision: 2});
		await rpc.close();
		await running.stop();
		assert.ok(read.ok);
		assert.deepEqual(read.val, {revision: 2, confirmed: 2, missing: [{instanceId: 'entry-3', reason: 'does not answer'}]});
	});
});
