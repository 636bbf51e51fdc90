/** Measures CPU time, memory and traffic of entry and sidecar processes, idle and under load. */
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
/** Fixed request rate at which the number of tokens per response is varied. */
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

/** Results of one step. CPU times, bytes and calls are per second; resident memory is in bytes. */
type StepResult = {
	readonly entryCpuMs: number;
	readonly sidecarCpuMs: number;
	/** Control traffic of the first entry. */
	readonly entryBytes: number;
	/** Part of the control traffic that carries the configuration. */
	readonly configurationBytes: number;
	/** All calls to the platform, divided by the number of entries plus one. */
	readonly storeCalls: number;
	readonly entryResident: number;
	readonly sidecarResident: number;
};

/** One line per driver and quantity, and resident memory by process. */
export type ProcessCapacity = {
	readonly lines: FittedLine[];
	readonly residentBytes: {readonly bareNode: number; readonly entry: number; readonly sidecar: number};
};

/**
 * Starts three entries, a sidecar and an engine, and varies request rate, token rate and rate of configuration changes
 * separately.
 */
export async function measureProcessCapacity(): Promise<ProcessCapacity> {
	const setup = await startSetup();
	let steps: Awaited<ReturnType<typeof measureSteps>>;
	try {
		steps = await measureSteps(setup);
	} finally {
		await setup.stop();
	}

	const {byRate, byTokens, byChanges} = steps;
	const fit = (driver: string, quantity: keyof StepResult, unit: string, results: ReadonlyArray<readonly [number, StepResult]>) => fitLine({
		driver, quantity, unit, points: results.map(([x, result]) => [x, result[quantity]] as const),
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

async function measureSteps(setup: Setup) {
	// Warm-up: compiles the code and opens the connections before the first step.
	await sendRequests(setup, {rate: 200, tokens: 8});
	await proposeChanges(setup, 2);
	const byRate: Array<readonly [number, StepResult]> = [];
	for (const rate of RATE_STEPS) {
		byRate.push([rate, await measureStep(setup, async () => sendRequests(setup, {rate, tokens: 8}))]);
	}

	const byTokens: Array<readonly [number, StepResult]> = [];
	for (const tokens of TOKEN_STEPS) {
		byTokens.push([tokens * TOKEN_REQUESTS_PER_SECOND, await measureStep(setup, async () => sendRequests(setup, {rate: TOKEN_REQUESTS_PER_SECOND, tokens}))]);
	}

	const byChanges: Array<readonly [number, StepResult]> = [];
	for (const rate of CHANGE_STEPS) {
		byChanges.push([rate, await measureStep(setup, async () => proposeChanges(setup, rate))]);
	}

	return {byRate, byTokens, byChanges};
}

/** Compares the counters of the processes before and after a run. */
async function measureStep({platform, entries, sidecar}: Setup, run: () => Promise<void>): Promise<StepResult> {
	const [entry] = entries;
	const readSample = async () => ({
		entry: await readProcessUsage(entry!.child.pid!),
		sidecar: await readProcessUsage(sidecar.child.pid!),
		bytes: await readMetric(entry!, 'control_bytes_total'),
		configurationBytes: await readMetric(entry!, 'configuration_bytes_total'),
		calls: [...platform.calls.values()].reduce((sum, count) => sum + count, 0),
		atMs: performance.now(),
	});
	const before = await readSample();
	await run();
	const after = await readSample();
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

/**
 * Sends streamed requests to the first entry at a fixed rate for {@link STEP_MS}, and waits for their responses.
 *
 * @throws {Error} if a response is incomplete
 */
async function sendRequests({entries, key}: Setup, {rate, tokens}: {rate: number; tokens: number}): Promise<void> {
	const agent = new Agent({connections: 256});
	const body = JSON.stringify({
		model: MODEL, messages: [{role: 'user', content: 'is a permit needed?'}], max_tokens: tokens, stream: true,
	});
	const startedAtMs = performance.now();
	const sent: Array<Promise<unknown>> = [];
	while (performance.now() - startedAtMs < STEP_MS) {
		const dueCount = rate * (performance.now() - startedAtMs) / 1000;
		while (sent.length < dueCount) {
			sent.push((async () => {
				const response = await agent.request({
					origin: `http://${entries[0]!.addresses.listen}`, path: '/v1/chat/completions', method: 'POST', body, headers: {'content-type': 'application/json', authorization: `Bearer ${key}`},
				});
				const text = await response.body.text();
				if (!text.endsWith('[DONE]\n\n')) {
					throw new Error(`response does not end with [DONE]: ${text.slice(-200)}`);
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

/** Proposes configuration changes at a fixed rate for {@link STEP_MS}. Only waits if the rate is 0. */
async function proposeChanges({platform}: Setup, rate: number): Promise<void> {
	const objectApi = createObjectApiClient({address: platform.address});
	let copy = createConfigurationCopy();
	const store = createConfigurationStore({objectApi, readLocalCopy: () => copy, onUpdate: () => undefined});
	const initial = await store.read();
	if (initial.ok) {
		copy = initial.val.copy;
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
	const createInstance = (instanceId: string, address: string) => ({
		instanceId, address, region: 'r', state: 'live' as const, incarnation: 1,
	});
	platform.setInstance({
		...createInstance('assistant-1', sidecar.addresses.listen!), kind: 'target', availabilityZone: 'a', serviceId: 'assistant',
	});
	for (const entry of entries) {
		platform.setInstance({
			...createInstance(entry.instanceId, entry.addresses.control!), kind: 'entry', availabilityZone: entry.instanceId.slice(-1), serviceId: '',
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

async function isReady(entry: DaemonProcess, peerCount: number): Promise<boolean> {
	const values = await Promise.all(['known_targets', 'configuration_revision', 'known_entries'].map(async name => readMetric(entry, name)));
	return values[0] === 1 && values[1] === 1 && values[2] === peerCount;
}

async function readMetric(entry: DaemonProcess, name: string): Promise<number> {
	const response = await fetch(`http://${entry.addresses.control}/metrics`);
	return Number(new RegExp(String.raw`^damaskspool_${name} (\S+)$`, 'mv').exec(await response.text())?.[1] ?? 0);
}

/** Measures the resident memory of a Node.js process without any modules, as the baseline of every process. */
async function measureBareNode(): Promise<number> {
	const child = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000); console.log("up")'], {stdio: ['ignore', 'pipe', 'inherit']});
	await once(createInterface(child.stdout), 'line');
	const {residentBytes} = await readProcessUsage(child.pid!);
	child.kill('SIGTERM');
	await once(child, 'exit');
	return residentBytes;
}
