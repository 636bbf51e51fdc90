/** Experiment `configuration`: time from a change's acceptance until it is in force at every entry, with and without a cut-off entry. */
import {createConfigurationCopy} from '@damaskspool/core';
import {createConfigurationStore} from '@damaskspool/daemon';
import {createObjectApiClient, createRpcClient} from '@damaskspool/runtime';
import {hashText} from '@damaskspool/shared';
import {build} from 'hdr-histogram-js';
import {KEYED_CUSTOMER_ID, type KeyedEntries, startKeyedEntries} from '../harness/startKeyedEntries.js';
import {waitFor} from '../harness/startDeployment.js';

/** Twelve entries: two relays and two others in each of three zones. */
const ZONES = ['a', 'a', 'a', 'a', 'b', 'b', 'b', 'b', 'c', 'c', 'c', 'c'];
const CHANGES = 30;
/** The promise of the letter. */
const IN_FORCE_LIMIT_MS = 10_000;

/**
 * Runs the experiment.
 *
 * @returns exit code: zero if every change was in force within the promise
 */
export async function runConfiguration(): Promise<number> {
	const running = await startKeyedEntries(ZONES);
	try {
		const whole = await measureChanges(running, 'whole');
		running.entries.at(-1)!.platformProxy.setFault({kind: 'cut'});
		running.entries[0]!.platformProxy.setFault({kind: 'cut'});
		const cutOff = await measureChanges(running, 'cut');
		console.log(JSON.stringify({
			entries: ZONES.length, zones: 3, changes: CHANGES, inForceMs: {whole, twoCutOffFromTheStore: cutOff},
		}));
		return Math.max(whole.max, cutOff.max) <= IN_FORCE_LIMIT_MS ? 0 : 1;
	} finally {
		await running.stop();
	}
}

async function measureChanges({platform, entries}: KeyedEntries, name: string) {
	const objectApi = createObjectApiClient({address: platform.address});
	const rpc = createRpcClient();
	const store = createConfigurationStore({objectApi, readLocalCopy: createConfigurationCopy, onUpdate: () => undefined});
	const histogram = build({numberOfSignificantValueDigits: 3});
	for (let index = 0; index < CHANGES; index += 1) {
		const receipt = await store.propose({
			changeId: `${name}-change-${index}`, edits: [{type: 'issueKey', customerId: KEYED_CUSTOMER_ID, keyHash: hashText(`${name} ${index}`)}],
		});
		if (receipt.err) {
			throw new Error(receipt.val.message);
		}

		const acceptedAtMs = performance.now();
		await Promise.all(entries.map(async ({daemon}) => waitFor(async () => {
			const read = await rpc.call(daemon.addresses.control!, 'configuration.get', {});
			return read.ok && (read.val as {revision: number}).revision >= receipt.val.revision;
		})));
		histogram.recordValue(Math.round(performance.now() - acceptedAtMs));
	}

	await Promise.all([objectApi.close(), rpc.close()]);
	return {p50: histogram.getValueAtPercentile(50), p95: histogram.getValueAtPercentile(95), max: histogram.maxValue};
}
