/** The drivers that are measured on real processes: what an entry and a sidecar use, idle and under load. */
import {spawn} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {createConfigurationCopy} from '@damaskspool/core';
import {createConfigurationStore} from '@damaskspool/daemon';
import {createObjectApiClient} from '@damaskspool/runtime';
import {hashText} from '@damaskspool/shared';
import {createPlatform, type Platform} from '@damaskspool/stand-ins';
import {Agent} from 'undici';
import {type DaemonProcess, startDaemonProcess} from '../harness/startDaemonProcess.js';
import {createDemoKey, waitFor} from '../harness/startDeployment.js';
import {writeFirstConfiguration} from '../harness/writeFirstConfiguration.js';
import {fitLine, type FittedLine} from '../measure/fitLine.js';
import {readProcessUsage} from '../measure/readProcessUsage.js';

const RATE_STEPS = [0, 100, 200, 400];
const TOKEN_STEPS = [8, 32, 64, 128];
/** Requests in a second at which the tokens of an answer are stepped. */
export const TOKEN_REQUESTS_PER_SECOND = 50;
const CHANGE_STEPS = [0, 2, 4, 8];
const STEP_MS = 5000;
const ANY_PORT = '127.0.0.1:0';
const MODEL = 'm';
const CUSTOMER_ID = 'c';

type Setup = {
	readonly platform: Platform;
	readonly entries: readonly DaemonProcess[];
	readonly sidecar: DaemonProcess;
	readonly key: string;
	readonly stop: () => Promise<void>;
};

/** What one step showed, each per second. */
type Step = {
	readonly entryCpuMs: number;
	readonly sidecarCpuMs: number;
	readonly entryBytes: number;
	/** Those of the configuration alone. */
	readonly configurationBytes: number;
	readonly storeCalls: number;
	readonly entryResident: number;
	readonly sidecarResident: number;
};

/** Lines by driver, and the processes' resident memory. */
export type ProcessCapacity = {
	readonly lines: FittedLine[];
	readonly residentBytes: {readonly bareNode: number; readonly entry: number; readonly sidecar: number};
};

/**
 * Steps request rate, token rate and configuration rate on three entries, a sidecar and an engine.
 *
 * @returns lines and resident memory
 */
export async function measureProcesses(): Promise<ProcessCapacity> {
	const setup = await startSetup();
	let steps: Awaited<ReturnType<typeof stepDrivers>>;
	try {
		steps = await stepDrivers(setup);
	} finally {
		await setup.stop();
	}

	const {byRate, byTokens, byChanges} = steps;
	const fit = (driver: string, quantity: keyof Step, unit: string, steps: ReadonlyArray<readonly [number, Step]>) => fitLine({
		driver, quantity, unit, points: steps.map(([x, step]) => [x, step[quantity]] as const),
	});
	return {
		lines: [
			fit('requestRate', 'entryCpuMs', 'ms of CPU/s', byRate),
			fit('requestRate', 'sidecarCpuMs', 'ms of CPU/s', byRate),
			fit('requestRate', 'entryBytes', 'bytes/s of control', byRate),
			fit('requestRate', 'entryResident', 'bytes', byRate),
			fit('tokenRate', 'entryCpuMs', 'ms of CPU/s', byTokens),
			fit('tokenRate', 'sidecarCpuMs', 'ms of CPU/s', byTokens),
			fit('configurationRate', 'entryCpuMs', 'ms of CPU/s', byChanges),
			fit('configurationRate', 'configurationBytes', 'bytes/s of configuration', byChanges),
			fit('configurationRate', 'storeCalls', 'calls/s of one entry', byChanges),
		],
		residentBytes: {
			bareNode: await measureBareNode(), entry: byRate[0]![1].entryResident, sidecar: byRate[0]![1].sidecarResident,
		},
	};
}

async function stepDrivers(setup: Setup) {
	// Compiled code and connections are there before the first step.
	await sendFor(setup, {rate: 200, tokens: 8});
	await changeFor(setup, 2);
	const byRate: Array<readonly [number, Step]> = [];
	for (const rate of RATE_STEPS) {
		byRate.push([rate, await observe(setup, async () => sendFor(setup, {rate, tokens: 8}))]);
	}

	const byTokens: Array<readonly [number, Step]> = [];
	for (const tokens of TOKEN_STEPS) {
		byTokens.push([tokens * TOKEN_REQUESTS_PER_SECOND, await observe(setup, async () => sendFor(setup, {rate: TOKEN_REQUESTS_PER_SECOND, tokens}))]);
	}

	const byChanges: Array<readonly [number, Step]> = [];
	for (const rate of CHANGE_STEPS) {
		byChanges.push([rate, await observe(setup, async () => changeFor(setup, rate))]);
	}

	return {byRate, byTokens, byChanges};
}

async function observe({platform, entries, sidecar}: Setup, run: () => Promise<void>): Promise<Step> {
	const [entry] = entries;
	const read = async () => ({
		entry: await readProcessUsage(entry!.child.pid!),
		sidecar: await readProcessUsage(sidecar.child.pid!),
		bytes: await readCounter(entry!, 'control_bytes_total'),
		configurationBytes: await readCounter(entry!, 'configuration_bytes_total'),
		calls: [...platform.calls.values()].reduce((sum, count) => sum + count, 0),
		atMs: performance.now(),
	});
	const before = await read();
	await run();
	const after = await read();
	const seconds = (after.atMs - before.atMs) / 1000;
	return {
		entryCpuMs: (after.entry.cpuMs - before.entry.cpuMs) / seconds,
		sidecarCpuMs: (after.sidecar.cpuMs - before.sidecar.cpuMs) / seconds,
		entryBytes: (after.bytes - before.bytes) / seconds,
		configurationBytes: (after.configurationBytes - before.configurationBytes) / seconds,
		storeCalls: (after.calls - before.calls) / seconds / (entries.length + 1),
		entryResident: after.entry.residentBytes,
		sidecarResident: after.sidecar.residentBytes,
	};
}

async function sendFor({entries, key}: Setup, {rate, tokens}: {rate: number; tokens: number}): Promise<void> {
	const agent = new Agent({connections: 256});
	const body = JSON.stringify({
		model: MODEL, messages: [{role: 'user', content: 'is a permit needed?'}], max_tokens: tokens, stream: true,
	});
	const startedAtMs = performance.now();
	const sent: Array<Promise<unknown>> = [];
	while (performance.now() - startedAtMs < STEP_MS) {
		const due = rate * (performance.now() - startedAtMs) / 1000;
		while (sent.length < due) {
			sent.push((async () => {
				const response = await agent.request({
					origin: `http://${entries[0]!.addresses.listen}`, path: '/v1/chat/completions', method: 'POST', body, headers: {'content-type': 'application/json', authorization: `Bearer ${key}`},
				});
				const text = await response.body.text();
				if (!text.endsWith('[DONE]\n\n')) {
					throw new Error(`a request was not answered: ${text.slice(-200)}`);
				}
			})());
		}

		await new Promise(resolve => {
			setTimeout(resolve, 2);
		});
	}

	await Promise.all(sent);
	await agent.destroy();
}

async function changeFor({platform}: Setup, rate: number): Promise<void> {
	const objectApi = createObjectApiClient({address: platform.address});
	let copy = createConfigurationCopy();
	const store = createConfigurationStore({objectApi, readLocalCopy: () => copy, onUpdate: () => undefined});
	const first = await store.read();
	if (first.ok) {
		copy = first.val.copy;
	}

	const startedAtMs = performance.now();
	for (let index = 0; performance.now() - startedAtMs < STEP_MS; index += 1) {
		if (rate > 0) {
			await store.propose({
				changeId: randomUUID(), edits: [{type: 'issueKey', customerId: `customer-${index}`, keyHash: hashText(randomUUID())}],
			});
		}

		const dueMs = startedAtMs + ((index + 1) * 1000 / Math.max(rate, 1));
		await new Promise(resolve => {
			setTimeout(resolve, Math.max(1, dueMs - performance.now()));
		});
	}

	await objectApi.close();
}

async function startSetup(): Promise<Setup> {
	const platform = await createPlatform();
	const key = createDemoKey(CUSTOMER_ID);
	const createCustomer = (customerId: string, keyHash: string) => ({
		customerId, keyHashes: [keyHash], weight: 1, operator: false,
	});
	writeFirstConfiguration(platform, {
		services: [{
			serviceId: 'assistant',
			kind: 'model',
			models: [MODEL],
			firstTokenGoalMs: 720,
			betweenTokensGoalMs: 41,
			routes: [{
				method: 'POST', path: '/v1/chat/completions', access: 'keyed', repeatable: true, deadlineMs: 60_000, bodyLimitBytes: 65_536,
			}],
		}],
		customers: [
			createCustomer(CUSTOMER_ID, hashText(key)),
			...Array.from({length: 6700}, (_, index) => createCustomer(`customer-${index}`, hashText(`customer-${index}`))),
		],
	});
	const engine = spawn(process.execPath, [path.join(import.meta.dirname, '../run-engine.js')], {stdio: ['ignore', 'pipe', 'inherit']});
	const [engineAddress] = await once(createInterface(engine.stdout), 'line') as [string];
	const common = {
		region: 'r', platform: platform.address, listen: ANY_PORT,
	};
	const sidecar = await startDaemonProcess({
		...common, role: 'sidecar', availabilityZone: 'a', instanceId: 'assistant-1', target: engineAddress, targetKind: 'engine', concurrency: 256, pieces: 4096, queueLimit: 256,
	});
	const entries = await Promise.all(['a', 'b', 'c'].map(async availabilityZone => startDaemonProcess({
		...common, role: 'entry', availabilityZone, instanceId: `entry-${availabilityZone}`, control: ANY_PORT,
	})));
	const toRow = (instanceId: string, address: string) => ({
		instanceId, address, region: 'r', state: 'live' as const, incarnation: 1,
	});
	platform.setInstance({
		...toRow('assistant-1', sidecar.addresses.listen!), kind: 'target', availabilityZone: 'a', serviceId: 'assistant',
	});
	for (const entry of entries) {
		platform.setInstance({
			...toRow(entry.instanceId, entry.addresses.control!), kind: 'entry', availabilityZone: entry.instanceId.slice(-1), serviceId: '',
		});
	}

	await waitFor(async () => {
		const ready = await Promise.all(entries.map(async entry => isReady(entry, entries.length - 1)));
		return ready.every(Boolean);
	});
	return {
		platform,
		entries,
		sidecar,
		key,
		async stop() {
			await Promise.all([sidecar, ...entries].map(async daemon => daemon.stop()));
			engine.kill('SIGTERM');
			await once(engine, 'exit');
			await platform.close();
		},
	};
}

async function isReady(entry: DaemonProcess, peers: number): Promise<boolean> {
	const gauges = await Promise.all(['known_targets', 'configuration_revision', 'known_entries'].map(async name => readCounter(entry, name)));
	return gauges[0] === 1 && gauges[1] === 1 && gauges[2] === peers;
}

async function readCounter(entry: DaemonProcess, name: string): Promise<number> {
	const response = await fetch(`http://${entry.addresses.control}/metrics`);
	return Number(new RegExp(String.raw`^damaskspool_${name} (\S+)$`, 'mv').exec(await response.text())?.[1] ?? 0);
}

/** Resident memory of a process that has loaded nothing: what every program in this language pays. */
async function measureBareNode(): Promise<number> {
	const bare = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000); console.log("up")'], {stdio: ['ignore', 'pipe', 'inherit']});
	await once(createInterface(bare.stdout), 'line');
	const {residentBytes} = await readProcessUsage(bare.pid!);
	bare.kill('SIGTERM');
	await once(bare, 'exit');
	return residentBytes;
}
