/** Experiment `overhead`: compares small streamed requests through entry and sidecar with requests sent directly to the target. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import Table from 'cli-table3';
import {build, type Histogram} from 'hdr-histogram-js';
import {hashText} from '@damaskspool/shared';
import {createPlatform} from '@damaskspool/stand-ins';
import {Agent} from 'undici';
import {startDaemonProcess} from '../harness/startDaemonProcess.js';
import {createDemoKey, waitFor} from '../harness/startDeployment.js';
import {writeFirstConfiguration} from '../harness/writeFirstConfiguration.js';
import {readProcessUsage} from '../measure/readProcessUsage.js';

const CUSTOMER_ID = 'c';
const ANY_PORT = '127.0.0.1:0';
const MODEL = 'm';
const MICROSECONDS_PER_MS = 1000;
const PHASE_MS = 6000;
/** Request rate of the latency phases. It is far below the capacity of both paths, so that queueing does not hide their latency. */
const LATENCY_REQUESTS_PER_SECOND = 200;
/** Concurrent requests of the throughput phases. */
const THROUGHPUT_CONCURRENCY = 64;
const ROUNDS = 2;
const BODY = JSON.stringify({
	model: MODEL, messages: [{role: 'user', content: 'is a permit needed?'}], max_tokens: 8, stream: true,
});

/** `direct` sends to the target, `through` sends through entry and sidecar. */
type PathName = 'direct' | 'through';
/** Latency histograms in microseconds, and totals over all phases of one path. */
type PathMeasurement = {readonly firstByteUs: Histogram; readonly completionUs: Histogram; requests: number; durationMs: number; failed: number};

/**
 * Runs the experiment.
 *
 * @returns exit code: 0 if every response was complete
 */
export async function runOverheadExperiment(): Promise<number> {
	const setup = await startSetup();
	const latency: Record<PathName, PathMeasurement> = {direct: createPathMeasurement(), through: createPathMeasurement()};
	const throughput: Record<PathName, PathMeasurement> = {direct: createPathMeasurement(), through: createPathMeasurement()};
	const usage = createUsageSum();
	try {
		for (const name of ['direct', 'through'] as const) {
			await runClosedLoop(setup, name, createPathMeasurement());
		}

		for (let round = 0; round < ROUNDS; round += 1) {
			for (const name of ['direct', 'through'] as const) {
				await runOpenLoop(setup, name, latency[name]);
			}

			await runClosedLoop(setup, 'direct', throughput.direct);
			const before = await readUsageByProcess(setup.pids);
			await runClosedLoop(setup, 'through', throughput.through);
			usage.add(before, await readUsageByProcess(setup.pids));
		}
	} finally {
		await setup.stop();
	}

	const processes = usage.summarize(throughput.through.requests);
	return reportResults({latency, throughput, processes});
}

type Setup = {
	readonly addresses: Record<PathName, string>;
	readonly key: string;
	readonly pids: Readonly<Record<string, number>>;
	readonly stop: () => Promise<void>;
};

async function startSetup(): Promise<Setup> {
	const platform = await createPlatform();
	const key = createDemoKey(CUSTOMER_ID);
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
		customers: [{
			customerId: CUSTOMER_ID, keyHashes: [hashText(key)], weight: 1, operator: false,
		}],
	});
	const engine = spawn(process.execPath, [path.join(import.meta.dirname, '../run-engine.js')], {stdio: ['ignore', 'pipe', 'inherit']});
	const [engineAddress] = await once(createInterface(engine.stdout), 'line') as [string];
	const common = {
		region: 'r', availabilityZone: 'a', platform: platform.address, listen: ANY_PORT,
	};
	const sidecar = await startDaemonProcess({
		...common, role: 'sidecar', instanceId: 'assistant-1', target: engineAddress, targetKind: 'engine', concurrency: 256, pieces: 4096, queueLimit: 256,
	});
	const entry = await startDaemonProcess({
		...common, role: 'entry', instanceId: 'entry-1', control: ANY_PORT,
	});
	platform.setInstance({
		instanceId: 'assistant-1', kind: 'target', availabilityZone: 'a', region: 'r', address: sidecar.addresses.listen!, state: 'live', serviceId: 'assistant', incarnation: 1,
	});
	await waitFor(async () => {
		const response = await fetch(`http://${entry.addresses.control}/metrics`);
		return /^damaskspool_known_targets 1$/mv.test(await response.text());
	});
	return {
		addresses: {direct: engineAddress, through: entry.addresses.listen!},
		key,
		pids: {entry: entry.child.pid!, sidecar: sidecar.child.pid!, engine: engine.pid!},
		async stop() {
			await Promise.all([entry.stop(), sidecar.stop()]);
			engine.kill('SIGTERM');
			await once(engine, 'exit');
			await platform.close();
		},
	};
}

function createPathMeasurement(): PathMeasurement {
	const createHistogram = () => build({numberOfSignificantValueDigits: 3});
	return {
		firstByteUs: createHistogram(), completionUs: createHistogram(), requests: 0, durationMs: 0, failed: 0,
	};
}

/** Sends requests at a fixed rate, independent of the responses to earlier requests. */
async function runOpenLoop(setup: Setup, name: PathName, measurement: PathMeasurement): Promise<void> {
	const agent = new Agent({connections: 256});
	const startedAtMs = performance.now();
	const sent: Array<Promise<void>> = [];
	const count = LATENCY_REQUESTS_PER_SECOND * PHASE_MS / 1000;
	while (sent.length < count) {
		const dueMs = startedAtMs + (sent.length * 1000 / LATENCY_REQUESTS_PER_SECOND);
		const waitMs = dueMs - performance.now();
		if (waitMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, waitMs);
			});
		}

		sent.push(sendRequest(setup, name, measurement, agent));
	}

	await Promise.all(sent);
	measurement.durationMs += performance.now() - startedAtMs;
	await agent.destroy();
}

/** Keeps {@link THROUGHPUT_CONCURRENCY} requests in flight. */
async function runClosedLoop(setup: Setup, name: PathName, measurement: PathMeasurement): Promise<void> {
	const agent = new Agent({connections: THROUGHPUT_CONCURRENCY});
	const startedAtMs = performance.now();
	await Promise.all(Array.from({length: THROUGHPUT_CONCURRENCY}, async () => {
		while (performance.now() - startedAtMs < PHASE_MS) {
			await sendRequest(setup, name, measurement, agent);
		}
	}));
	measurement.durationMs += performance.now() - startedAtMs;
	await agent.destroy();
}

async function sendRequest({addresses, key}: Setup, name: PathName, measurement: PathMeasurement, agent: Agent): Promise<void> {
	const sentAtMs = performance.now();
	const response = await agent.request({
		origin: `http://${addresses[name]}`,
		path: '/v1/chat/completions',
		method: 'POST',
		headers: {'content-type': 'application/json', ...(name === 'through' && {authorization: `Bearer ${key}`})},
		body: BODY,
	});
	let firstByteMs = 0;
	let lastChunk = '';
	for await (const chunk of response.body) {
		firstByteMs ||= performance.now() - sentAtMs;
		lastChunk = String(chunk);
	}

	measurement.requests += 1;
	measurement.failed += lastChunk.endsWith('data: [DONE]\n\n') ? 0 : 1;
	measurement.firstByteUs.recordValue(Math.round(firstByteMs * MICROSECONDS_PER_MS));
	measurement.completionUs.recordValue(Math.round((performance.now() - sentAtMs) * MICROSECONDS_PER_MS));
}

type UsageByProcess = Readonly<Record<string, {readonly cpuMs: number; readonly residentBytes: number}>>;

async function readUsageByProcess(pids: Setup['pids']): Promise<UsageByProcess> {
	const rows = await Promise.all(Object.entries(pids).map(async ([name, pid]) => [name, await readProcessUsage(pid)] as const));
	return Object.fromEntries(rows);
}

/** Creates an accumulator of the CPU time that each process used in several phases. */
function createUsageSum() {
	const cpuMs = new Map<string, number>();
	let latest: UsageByProcess = {};
	return {
		add(before: UsageByProcess, after: UsageByProcess) {
			latest = after;
			for (const [name, usage] of Object.entries(after)) {
				cpuMs.set(name, (cpuMs.get(name) ?? 0) + usage.cpuMs - before[name]!.cpuMs);
			}
		},
		summarize: (requests: number) => Object.fromEntries(Object.entries(latest).map(([name, {residentBytes}]) => [name, {
			cpuMsPerRequest: roundTo((cpuMs.get(name) ?? 0) / requests, 4),
			residentMb: roundTo(residentBytes / 1e6, 1),
		}])),
	};
}

type OverheadResults = {
	readonly latency: Record<PathName, PathMeasurement>;
	readonly throughput: Record<PathName, PathMeasurement>;
	readonly processes: Readonly<Record<string, {readonly cpuMsPerRequest: number; readonly residentMb: number}>>;
};

/** Prints the results and returns the exit code. */
function reportResults({latency, throughput, processes}: OverheadResults): number {
	const table = new Table({head: ['at 200 requests/s', 'first byte p50', 'p95', 'p99', 'whole p50', 'p95', 'p99 (ms)'], style: {head: [], border: []}});
	const computeQuantiles = (histogram: Histogram) => [50, 95, 99].map(quantile => roundTo(histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS, 3));
	for (const name of ['direct', 'through'] as const) {
		table.push([name, ...computeQuantiles(latency[name].firstByteUs), ...computeQuantiles(latency[name].completionUs)]);
	}

	console.log(table.toString());
	const [direct, through] = [latency.direct, latency.through].map(({firstByteUs, completionUs}) => ({firstByteMs: computeQuantiles(firstByteUs), completionMs: computeQuantiles(completionUs)}));
	const computeRate = ({requests, durationMs}: PathMeasurement) => roundTo(requests / durationMs * 1000, 0);
	const failed = [...Object.values(latency), ...Object.values(throughput)].reduce((sum, measurement) => sum + measurement.failed, 0);
	const entryCpuMs = processes.entry!.cpuMsPerRequest;
	console.log(JSON.stringify({
		firstByteMs: {direct: direct!.firstByteMs, through: through!.firstByteMs, addedP95: roundTo(through!.firstByteMs[1]! - direct!.firstByteMs[1]!, 3)},
		wholeMs: {direct: direct!.completionMs, through: through!.completionMs, ratioP50: roundTo(through!.completionMs[0]! / direct!.completionMs[0]!, 2)},
		requestsPerSecond: {
			direct: computeRate(throughput.direct),
			through: computeRate(throughput.through),
			ratio: roundTo(computeRate(throughput.through) / computeRate(throughput.direct), 2),
			perEntryCore: roundTo(1000 / entryCpuMs, 0),
		},
		processes,
		failed,
		settings: {
			tokens: 8, latencyRequestsPerSecond: LATENCY_REQUESTS_PER_SECOND, concurrency: THROUGHPUT_CONCURRENCY, phaseMs: PHASE_MS, rounds: ROUNDS,
		},
	}));
	return failed === 0 ? 0 : 1;
}

function roundTo(value: number, digits: number): number {
	return Number(value.toFixed(digits));
}
