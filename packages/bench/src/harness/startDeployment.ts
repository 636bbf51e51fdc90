import {
	type ConfigurationDocument, hashText, type InstanceRecord,
} from '@damaskspool/shared';
import {
	createEngine, createPlainService, createPlatform, type Engine, type EngineOptions, type PlainService, type Platform,
} from '@damaskspool/stand-ins';
import {type Deployment, type Pool} from './deploymentFile.js';
import {type DaemonProcess, startDaemonProcess} from './startDaemonProcess.js';
import {writeFirstConfiguration} from './writeFirstConfiguration.js';

/** A target stand-in with its sidecar process. */
export type RunningTarget = {
	readonly targetId: string;
	readonly pool: Pool;
	readonly availabilityZone: string;
	readonly standIn: Engine | PlainService;
	readonly sidecar: DaemonProcess;
};

/** A deployment that runs on loopback. */
export type RunningDeployment = {
	readonly platform: Platform;
	readonly entries: readonly DaemonProcess[];
	readonly targets: readonly RunningTarget[];
	/** API keys by customer. */
	readonly keys: ReadonlyMap<string, string>;
	/** Stops every process and the stand-ins, and resolves with the exit codes of the processes. */
	readonly stop: () => Promise<Array<number | null>>;
};

/** Options of {@link startDeployment}. */
export type StartDeploymentOptions = {
	readonly deployment: Deployment;
	readonly engineOptions?: Partial<EngineOptions>;
	/** Called each time a process has started. */
	readonly onProgress?: (started: number, total: number) => void;
	/** Additional settings of every entry. */
	readonly entrySettings?: Readonly<Record<string, unknown>>;
	/** Additional settings of every sidecar. */
	readonly sidecarSettings?: Readonly<Record<string, unknown>>;
};

const ANY_PORT = '127.0.0.1:0';

/**
 * Creates the API key of a customer in a demo deployment. Its prefix lets the
 * stand-ins detect the key in any request they receive.
 */
export function createDemoKey(customerId: string): string {
	return `dmsk_${hashText(customerId).slice(0, 24)}`;
}

/**
 * Starts the stand-ins in this process, and each sidecar and entry in its own
 * process. Resolves once every entry is ready and knows every target. If a start
 * fails, stops what has already started and rejects.
 */
export async function startDeployment(options: StartDeploymentOptions): Promise<RunningDeployment> {
	const {deployment, engineOptions, onProgress, entrySettings, sidecarSettings} = options;
	const {file} = deployment;
	const platform = await createPlatform();
	const keys = new Map(deployment.document.customers.map(({customerId}) => [customerId, createDemoKey(customerId)]));
	writeFirstConfiguration(platform, addKeyHashes(deployment.document, keys));

	const targets: RunningTarget[] = [];
	const entries: DaemonProcess[] = [];
	const total = file.entries.length + file.pools.reduce((sum, pool) => sum + pool.count, 0);
	const reportProgress = () => {
		onProgress?.(targets.length + entries.length, total);
	};

	const stop = async () => {
		const codes = await Promise.all([...entries, ...targets.map(target => target.sidecar)].map(async daemon => daemon.stop()));
		await Promise.all(targets.map(async target => target.standIn.close()));
		await platform.close();
		return codes;
	};

	const startTarget = async (pool: Pool, index: number) => {
		const targetId = `${pool.service}-${index + 1}`;
		const availabilityZone = file.availabilityZones[index % file.availabilityZones.length]!;
		const standIn = pool.kind === 'engine'
			? await createEngine({models: pool.models, batchLimit: pool.concurrency, ...engineOptions})
			: await createPlainService();
		const sidecar = await startDaemonProcess({
			role: 'sidecar',
			instanceId: targetId,
			region: file.region,
			availabilityZone,
			listen: ANY_PORT,
			platform: platform.address,
			target: standIn.address,
			targetKind: pool.kind,
			concurrency: pool.concurrency,
			pieces: pool.pieces,
			queueLimit: pool.queueLimit,
			...sidecarSettings,
		});
		targets.push({
			targetId, pool, availabilityZone, standIn, sidecar,
		});
		platform.setInstance(createRecord({
			instanceId: targetId, kind: 'target', availabilityZone, region: file.region, address: sidecar.addresses.listen!, serviceId: pool.service,
		}));
		reportProgress();
	};

	const startEntry = async (availabilityZone: string, index: number) => {
		const instanceId = `entry-${index + 1}`;
		const entry = await startDaemonProcess({
			role: 'entry',
			instanceId,
			region: file.region,
			availabilityZone,
			listen: ANY_PORT,
			control: ANY_PORT,
			platform: platform.address,
			...entrySettings,
		});
		entries.push(entry);
		platform.setInstance(createRecord({
			instanceId, kind: 'entry', availabilityZone, region: file.region, address: entry.addresses.control!, serviceId: '',
		}));
		reportProgress();
	};

	try {
		await Promise.all(file.pools.flatMap(pool => Array.from({length: pool.count}, async (_, index) => startTarget(pool, index))));
		await Promise.all(file.entries.map(async (zone, index) => startEntry(zone, index)));
		await Promise.all(entries.map(async entry => waitUntilReady(entry, targets.length)));
	} catch (error) {
		await stop();
		throw error;
	}

	return {
		platform, entries, targets, keys, stop,
	};
}

function createRecord(fields: Omit<InstanceRecord, 'state' | 'incarnation'>): InstanceRecord {
	return {...fields, state: 'live', incarnation: 1};
}

function addKeyHashes(document: ConfigurationDocument, keys: ReadonlyMap<string, string>): ConfigurationDocument {
	return {
		...document,
		customers: document.customers.map(customer => ({
			...customer,
			keyHashes: [...customer.keyHashes, hashText(keys.get(customer.customerId)!)],
		})),
	};
}

/** Waits until an entry is ready and knows every target. */
async function waitUntilReady(entry: DaemonProcess, targetCount: number): Promise<void> {
	await waitFor(async () => {
		const ready = await fetch(`http://${entry.addresses.control}/readyz`);
		const metrics = await fetch(`http://${entry.addresses.control}/metrics`);
		const text = await metrics.text();
		const known = Number(/^damaskspool_known_targets (?<count>\d+)$/mv.exec(text)?.groups?.count ?? 0);
		return ready.status === 200 && known >= targetCount;
	});
}

const POLL_INTERVAL_MS = 50;
/** Maximum wait for a condition; only bounds a run that hangs. */
const MAX_WAIT_MS = 60_000;

/**
 * Waits until a condition is true.
 *
 * @param condition - polled until it returns true
 * @param timeoutMs - bounds a run that hangs; rejects once it has passed
 */
export async function waitFor(condition: () => boolean | Promise<boolean>, timeoutMs = MAX_WAIT_MS): Promise<void> {
	const deadlineAtMs = performance.now() + timeoutMs;
	while (!await condition()) {
		if (performance.now() > deadlineAtMs) {
			throw new Error(`the condition was not met in ${timeoutMs} ms: ${condition.toString()}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, POLL_INTERVAL_MS);
		});
	}
}
