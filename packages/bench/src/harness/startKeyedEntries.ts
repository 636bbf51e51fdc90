import {
	CONFIGURATION_HEAD_KEY, type ConfigurationDocument, type ConfigurationHead, hashText,
} from '@damaskspool/shared';
import {
	createFaultProxy, createPlainService, createPlatform, type FaultProxy, type Platform,
} from '@damaskspool/stand-ins';
import {type DaemonProcess, startDaemonProcess} from './startDaemonProcess.js';
import {createDemoKey, waitFor} from './startDeployment.js';
import {writeFirstConfiguration} from './writeFirstConfiguration.js';

/** An entry with a fault proxy on its link to the platform and one on the link from its peers. */
export type KeyedEntry = {
	readonly daemon: DaemonProcess;
	readonly platformProxy: FaultProxy;
	readonly peerProxy: FaultProxy;
};

/** Entries, each in one availability zone, in front of one plain service whose route requires an API key. */
export type KeyedEntries = {
	readonly platform: Platform;
	readonly entries: readonly KeyedEntry[];
	readonly key: string;
	readonly keyHash: string;
	/** Reads a gauge of an entry by its name without prefix; NaN if the entry has no such gauge. */
	readonly readGauge: (entry: KeyedEntry, name: string) => Promise<number>;
	readonly stop: () => Promise<void>;
};

/** Customer that owns the key. */
export const KEYED_CUSTOMER_ID = 'c';
/** Path of the route that requires the key. */
export const KEYED_PATH = '/status';
const ANY_PORT = '127.0.0.1:0';

/**
 * Starts entries, each in its own process with fault proxies, and one target.
 * Resolves once each entry knows its peers and the target.
 *
 * @param zones - availability zone of each entry; the target runs in the first
 */
export async function startKeyedEntries(zones: readonly string[]): Promise<KeyedEntries> {
	const platform = await createPlatform();
	const key = createDemoKey(KEYED_CUSTOMER_ID);
	const keyHash = hashText(key);
	writeFirstConfiguration(platform, createKeyedDocument(keyHash));
	const service = await createPlainService();
	const sidecar = await startDaemonProcess({
		role: 'sidecar', instanceId: 'orders-1', region: 'r', availabilityZone: zones[0], listen: ANY_PORT, platform: platform.address,
		target: service.address, targetKind: 'plain', concurrency: 512, queueLimit: 512,
	});
	const entries = await Promise.all(zones.map(async (zone, index) => startEntry(platform, zone, index)));
	const createRecord = (instanceId: string, availabilityZone: string, address: string) => ({
		instanceId, availabilityZone, address, region: 'r', state: 'live' as const, incarnation: 1,
	});
	platform.setInstance({...createRecord('orders-1', zones[0]!, sidecar.addresses.listen!), kind: 'target', serviceId: 'orders'});
	for (const [index, entry] of entries.entries()) {
		platform.setInstance({...createRecord(entry.daemon.instanceId, zones[index]!, entry.peerProxy.address), kind: 'entry', serviceId: ''});
	}

	const readGauge = async ({daemon}: KeyedEntry, name: string) => {
		const response = await fetch(`http://${daemon.addresses.control}/metrics`);
		return Number(new RegExp(String.raw`^damaskspool_${name} (\S+)$`, 'mv').exec(await response.text())?.[1] ?? Number.NaN);
	};

	const running: KeyedEntries = {
		platform,
		entries,
		key,
		keyHash,
		readGauge,
		async stop() {
			await Promise.all([sidecar, ...entries.map(({daemon}) => daemon)].map(async daemon => daemon.stop()));
			await Promise.all(entries.flatMap(({platformProxy, peerProxy}) => [platformProxy.close(), peerProxy.close()]));
			await Promise.all([service.close(), platform.close()]);
		},
	};
	await waitFor(async () => {
		const knownCounts = await Promise.all(entries.map(async entry => Promise.all([readGauge(entry, 'known_targets'), readGauge(entry, 'known_entries')])));
		return knownCounts.every(([targets, peers]) => targets === 1 && peers === entries.length - 1);
	});
	return running;
}

/** Reads the latest configuration revision from the store of a platform. */
export function readStoredRevision(platform: Platform): number {
	return (platform.store.read(CONFIGURATION_HEAD_KEY)?.value as ConfigurationHead).revision;
}

async function startEntry(platform: Platform, zone: string, index: number): Promise<KeyedEntry> {
	const platformProxy = await createFaultProxy(platform.address);
	const daemon = await startDaemonProcess({
		role: 'entry', instanceId: `entry-${index + 1}`, region: 'r', availabilityZone: zone, listen: ANY_PORT, control: ANY_PORT,
		platform: platformProxy.address, drainLimit: '1 s',
	});
	return {daemon, platformProxy, peerProxy: await createFaultProxy(daemon.addresses.control!)};
}

function createKeyedDocument(keyHash: string): ConfigurationDocument {
	return {
		services: [{
			serviceId: 'orders',
			kind: 'plain',
			models: [],
			firstTokenGoalMs: 720,
			betweenTokensGoalMs: 41,
			routes: [{
				method: 'GET', path: KEYED_PATH, access: 'keyed', repeatable: true, deadlineMs: 5000, bodyLimitBytes: 1024,
			}],
		}],
		customers: [{
			customerId: KEYED_CUSTOMER_ID, keyHashes: [keyHash], weight: 1, operator: false,
		}],
	};
}
