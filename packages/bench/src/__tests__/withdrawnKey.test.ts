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
const CONNECTION_COUNT = 200;
/** Interval between requests on one connection. */
const REQUEST_INTERVAL_MS = 100;
/** Every entry must refuse a withdrawn key within this time. */
const MAX_WITHDRAWAL_MS = 5000;

/** Responses that callers with open connections get, by entry. */
type ConnectionWatch = {
	/** Time of the latest accepted request (`performance.now()`), by entry; 0 before the first. */
	readonly lastAcceptedAt: number[];
	/** Error codes since the latest accepted request, by entry. */
	readonly refusalCodes: Array<Set<string>>;
	readonly stop: () => Promise<void>;
};

/** Opens connections to all entries and sends requests on each of them until stopped. */
function watchConnections({entries, key}: KeyedEntries): ConnectionWatch {
	const lastAcceptedAt = entries.map(() => 0);
	const refusalCodes = entries.map(() => new Set<string>());
	const agents = Array.from({length: CONNECTION_COUNT}, () => new Agent({connections: 1}));
	const stopController = new AbortController();
	const send = async (agent: Agent, entryIndex: number) => {
		const response = await agent.request({
			origin: `http://${entries[entryIndex]!.daemon.addresses.listen}`, path: `${KEYED_PATH}/1`, method: 'GET', headers: {authorization: `Bearer ${key}`},
		});
		await response.body.dump();
		const code = response.headers[HEADERS.errorCode];
		if (response.statusCode === 200) {
			lastAcceptedAt[entryIndex] = performance.now();
			refusalCodes[entryIndex]!.clear();
		} else if (typeof code === 'string') {
			refusalCodes[entryIndex]!.add(code);
		}
	};

	const senders = agents.map(async (agent, connectionIndex) => {
		while (!stopController.signal.aborted) {
			await send(agent, connectionIndex % entries.length);
			await new Promise(resolve => {
				setTimeout(resolve, REQUEST_INTERVAL_MS);
			});
		}
	});
	return {
		lastAcceptedAt,
		refusalCodes,
		async stop() {
			stopController.abort();
			await Promise.all(senders);
			await Promise.all(agents.map(async agent => agent.destroy()));
		},
	};
}

/** Withdraws the key through the object API; returns the time at which the change was accepted. */
async function withdrawKey({platform, keyHash}: KeyedEntries): Promise<number> {
	const objectApi = createObjectApiClient({address: platform.address});
	const store = createConfigurationStore({objectApi, readLocalCopy: createConfigurationCopy, onUpdate: () => undefined});
	const receipt = await store.propose({changeId: 'withdraw-key', edits: [{type: 'withdrawKey', customerId: KEYED_CUSTOMER_ID, keyHash}]});
	await objectApi.close();
	assert.ok(receipt.ok);
	return performance.now();
}

function setPlatformAndPeerFaults(entries: readonly KeyedEntry[], fault: ProxyFault): void {
	for (const {platformProxy, peerProxy} of entries) {
		platformProxy.setFault(fault);
		peerProxy.setFault(fault);
	}
}

// Guards against an entry that keeps accepting a withdrawn key on open connections because it got no newer configuration.
// It gets changes from the store or from peers, and must refuse all keys if it can reach neither.
describe('a key withdrawn while connections are open', () => {
	it('is refused by every entry, including one that gets no replies from the store and learns of the change from peers', async () => {
		const running = await startKeyedEntries(ZONES);
		const watch = watchConnections(running);
		await waitFor(() => watch.lastAcceptedAt.every(time => time > 0));
		running.entries[2]!.platformProxy.setFault({kind: 'loseReplies'});
		const withdrawnAt = await withdrawKey(running);
		await waitFor(() => watch.refusalCodes.every(codes => codes.has(ERROR_CODES.keyUnknown)));
		await watch.stop();
		await running.stop();
		for (const acceptedAt of watch.lastAcceptedAt) {
			assert.ok(acceptedAt - withdrawnAt < MAX_WITHDRAWAL_MS, `accepted ${acceptedAt - withdrawnAt} ms after`);
		}
	});

	it('is refused as stale by an entry that gets no replies from the store or any peer', async () => {
		const running = await startKeyedEntries(ZONES);
		const watch = watchConnections(running);
		await waitFor(() => watch.lastAcceptedAt.every(time => time > 0));
		// The first two entries still reach the store; no entry gets a reply from a peer.
		running.entries[2]!.platformProxy.setFault({kind: 'loseReplies'});
		for (const {peerProxy} of running.entries) {
			peerProxy.setFault({kind: 'loseReplies'});
		}

		const withdrawnAt = await withdrawKey(running);
		await waitFor(() => watch.refusalCodes[2]!.has(ERROR_CODES.keysStale) && watch.refusalCodes[0]!.has(ERROR_CODES.keyUnknown));
		setPlatformAndPeerFaults(running.entries, {kind: 'none'});
		await waitFor(() => watch.refusalCodes[2]!.has(ERROR_CODES.keyUnknown));
		await watch.stop();
		await running.stop();
		for (const acceptedAt of watch.lastAcceptedAt) {
			assert.ok(acceptedAt - withdrawnAt < MAX_WITHDRAWAL_MS, `accepted ${acceptedAt - withdrawnAt} ms after`);
		}
	});
});

// Guards against an outage of the store that makes every entry refuse all keys. If all entries have lost the store, they
// confirm this to each other, and none of them can have missed a change.
describe('entries whose store is down for all of them', () => {
	it('keep serving, and apply the next change within seconds after the store is back', async () => {
		const running = await startKeyedEntries(ZONES);
		const watch = watchConnections(running);
		await waitFor(() => watch.lastAcceptedAt.every(time => time > 0));
		running.platform.setFault({kind: 'down'});
		const outageStartedAt = performance.now();
		await waitFor(() => watch.lastAcceptedAt.every(time => time > outageStartedAt + (2 * MAX_WITHDRAWAL_MS)));
		const codesDuringOutage = watch.refusalCodes.map(codes => [...codes]);
		running.platform.setFault({kind: 'none'});
		const withdrawnAt = await withdrawKey(running);
		await waitFor(() => watch.refusalCodes.every(codes => codes.has(ERROR_CODES.keyUnknown)));
		await watch.stop();
		await running.stop();
		assert.deepEqual(codesDuringOutage, [[], [], []]);
		assert.ok(Math.max(...watch.lastAcceptedAt) - withdrawnAt < MAX_WITHDRAWAL_MS);
	});
});

describe('the status of a revision', () => {
	it('lists the entries that have not confirmed it', async () => {
		const running = await startKeyedEntries(ZONES);
		const rpc = createRpcClient({timeoutMs: 3000});
		setPlatformAndPeerFaults([running.entries[2]!], {kind: 'cut'});
		await withdrawKey(running);
		for (const entry of running.entries.slice(0, 2)) {
			await waitFor(async () => await running.readGauge(entry, 'configuration_revision') === 2);
		}

		const status = await rpc.call(running.entries[0]!.daemon.addresses.control!, 'configuration.status', {revision: 2});
		await rpc.close();
		await running.stop();
		assert.ok(status.ok);
		assert.deepEqual(status.val, {revision: 2, confirmed: 2, missing: [{instanceId: 'entry-3', reason: 'does not answer'}]});
	});
});
