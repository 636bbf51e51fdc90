/**
 * Experiment `configuration`: measures the time from the acceptance of a change until every entry has applied it, first with
 * all entries connected to the store, then with two entries cut off from it.
 */
import {createConfigurationCopy} from '@damaskspool/core';
import {createConfigurationStore} from '@damaskspool/daemon';
import {createObjectApiClient, createRpcClient} from '@damaskspool/runtime';
import {hashText} from '@damaskspool/shared';
import {build} from 'hdr-histogram-js';
import {KEYED_CUSTOMER_ID, type KeyedEntries, startKeyedEntries} from '../harness/startKeyedEntries.js';
import {waitFor} from '../harness/startDeployment.js';

/** Zone of each of twelve entries: two relays and two other entries in each of three zones. */
const ENTRY_ZONES = ['a', 'a', 'a', 'a', 'b', 'b', 'b', 'b', 'c', 'c', 'c', 'c'];
const CHANGE_COUNT = 30;
/** Time within which every entry must apply a change. */
const MAX_PROPAGATION_MS = 10_000;

/**
 * Runs the experiment.
 *
 * @returns exit code: 0 if every change propagated within {@link MAX_PROPAGATION_MS}
 */
export async function runConfigurationExperiment(): Promise<number> {
	const deployment = await startKeyedEntries(ENTRY_ZONES);
	try {
		const connected = await measurePropagation(deployment, 'whole');
		deployment.entries.at(-1)!.platformProxy.setFault({kind: 'cut'});
		deployment.entries[0]!.platformProxy.setFault({kind: 'cut'});
		const cutOff = await measurePropagation(deployment, 'cut');
		console.log(JSON.stringify({
			entries: ENTRY_ZONES.length, zones: 3, changes: CHANGE_COUNT, inForceMs: {whole: connected, twoCutOffFromTheStore: cutOff},
		}));
		return Math.max(connected.max, cutOff.max) <= MAX_PROPAGATION_MS ? 0 : 1;
	} finally {
		await deployment.stop();
	}
}

/** Proposes changes one after another and returns quantiles of their propagation time in milliseconds. */
async function measurePropagation({platform, entries}: KeyedEntries, idPrefix: string) {
	const objectApi = createObjectApiClient({address: platform.address});
	const rpc = createRpcClient();
	const store = createConfigurationStore({objectApi, readLocalCopy: createConfigurationCopy, onUpdate: () => undefined});
	const histogram = build({numberOfSignificantValueDigits: 3});
	for (let index = 0; index < CHANGE_COUNT; index += 1) {
		const receipt = await store.propose({
			changeId: `${idPrefix}-change-${index}`, edits: [{type: 'issueKey', customerId: KEYED_CUSTOMER_ID, keyHash: hashText(`${idPrefix} ${index}`)}],
		});
		if (receipt.err) {
			throw new Error(receipt.val.message);
		}

		const acceptedAtMs = performance.now();
		await Promise.all(entries.map(async ({daemon}) => waitFor(async () => {
			const reply = await rpc.call(daemon.addresses.control!, 'configuration.get', {});
			return reply.ok && (reply.val as {revision: number}).revision >= receipt.val.revision;
		})));
		histogram.recordValue(Math.round(performance.now() - acceptedAtMs));
	}

	await Promise.all([objectApi.close(), rpc.close()]);
	return {p50: histogram.getValueAtPercentile(50), p95: histogram.getValueAtPercentile(95), max: histogram.maxValue};
}
