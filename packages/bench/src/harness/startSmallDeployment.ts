import {type ConfigurationDocument, type InstanceRecord} from '@damaskspool/shared';
import {
	createFaultProxy, createPlatform, type FaultProxy, type Platform,
} from '@damaskspool/stand-ins';
import {type DaemonProcess, startDaemonProcess} from './startDaemonProcess.js';
import {waitFor} from './startDeployment.js';
import {writeFirstConfiguration} from './writeFirstConfiguration.js';

/** A target that already runs, with the settings of its sidecar. */
export type SmallTarget = {
	readonly targetId: string;
	readonly serviceId: string;
	readonly kind: 'engine' | 'plain';
	readonly address: string;
	readonly availabilityZone?: string;
	readonly concurrency?: number;
	readonly pieces?: number;
	readonly queueLimit?: number;
};

/** A sidecar with a fault proxy on each side. */
export type ProxiedSidecar = {
	readonly target: SmallTarget;
	readonly sidecar: DaemonProcess;
	/** Between the entries and the sidecar. */
	readonly entryProxy: FaultProxy;
	/** Between the sidecar and its target. */
	readonly targetProxy: FaultProxy;
};

/** Entries and sidecars in their own processes, with a fault proxy in front of each sidecar and one in front of each target. */
export type SmallDeployment = {
	readonly platform: Platform;
	readonly entries: readonly DaemonProcess[];
	readonly sidecars: readonly ProxiedSidecar[];
	/** Stops every process that still runs and resolves with the exit codes of all. */
	readonly stop: () => Promise<Array<number | null>>;
};

/** Options of {@link startSmallDeployment}. */
export type SmallDeploymentOptions = {
	readonly document: ConfigurationDocument;
	readonly targets: readonly SmallTarget[];
	readonly entryCount?: number;
	readonly entrySettings?: Readonly<Record<string, unknown>>;
	readonly sidecarSettings?: Readonly<Record<string, unknown>>;
};

const ANY_PORT = '127.0.0.1:0';
const REGION = 'r';
const DEFAULT_ZONE = 'a';

/**
 * Starts entries and sidecars for targets that the test has started. Resolves
 * once every entry is ready and knows every target. If a start fails, stops what
 * has already started and rejects.
 */
export async function startSmallDeployment(options: SmallDeploymentOptions): Promise<SmallDeployment> {
	const {document, targets, entryCount = 1, entrySettings, sidecarSettings} = options;
	const platform = await createPlatform();
	writeFirstConfiguration(platform, document);
	const sidecars: ProxiedSidecar[] = [];
	const entries: DaemonProcess[] = [];
	const stop = async () => {
		const codes = await Promise.all([...entries, ...sidecars.map(({sidecar}) => sidecar)].map(async daemon => daemon.stop()));
		await Promise.all(sidecars.flatMap(({entryProxy, targetProxy}) => [entryProxy.close(), targetProxy.close()]));
		await platform.close();
		return codes;
	};

	try {
		sidecars.push(...await Promise.all(targets.map(async target => startSidecar(platform, target, sidecarSettings))));
		entries.push(...await Promise.all(Array.from({length: entryCount}, async (_, index) => startDaemonProcess({
			role: 'entry',
			instanceId: `entry-${index + 1}`,
			region: REGION,
			availabilityZone: DEFAULT_ZONE,
			listen: ANY_PORT,
			control: ANY_PORT,
			platform: platform.address,
			pollInterval: '200 ms',
			...entrySettings,
		}))));
		for (const {instanceId, addresses} of entries) {
			platform.setInstance(createRecord({instanceId, kind: 'entry', address: addresses.control!}));
		}

		await Promise.all(entries.map(async entry => waitFor(async () => isEntryReady(entry, targets.length))));
	} catch (error) {
		await stop();
		throw error;
	}

	return {
		platform, entries, sidecars, stop,
	};
}

async function startSidecar(
	platform: Platform,
	target: SmallTarget,
	settings: Readonly<Record<string, unknown>> | undefined,
): Promise<ProxiedSidecar> {
	const {targetId, kind, serviceId, availabilityZone = DEFAULT_ZONE} = target;
	const targetProxy = await createFaultProxy(target.address);
	const sidecar = await startDaemonProcess({
		role: 'sidecar',
		instanceId: targetId,
		region: REGION,
		availabilityZone,
		listen: ANY_PORT,
		platform: platform.address,
		target: targetProxy.address,
		targetKind: kind,
		concurrency: target.concurrency ?? 16,
		pieces: target.pieces ?? 0,
		queueLimit: target.queueLimit ?? 64,
		...settings,
	});
	const entryProxy = await createFaultProxy(sidecar.addresses.listen!);
	platform.setInstance(createRecord({
		instanceId: targetId, kind: 'target', availabilityZone, address: entryProxy.address, serviceId,
	}));
	return {
		target, sidecar, entryProxy, targetProxy,
	};
}

function createRecord(fields: Pick<InstanceRecord, 'instanceId' | 'kind' | 'address'> & Partial<InstanceRecord>): InstanceRecord {
	return {
		availabilityZone: DEFAULT_ZONE, region: REGION, state: 'live', serviceId: '', incarnation: 1, ...fields,
	};
}

/** Checks that an entry is ready and that the number of targets it knows is as expected. */
async function isEntryReady(entry: DaemonProcess, targetCount: number): Promise<boolean> {
	const ready = await fetch(`http://${entry.addresses.control}/readyz`);
	const metrics = await fetch(`http://${entry.addresses.control}/metrics`);
	const text = await metrics.text();
	return ready.status === 200 && text.includes(`damaskspool_known_targets ${targetCount}\n`);
}
