import {readFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {type FleetRecord, SECOND_MS} from '@damaskspool/shared';
import {createPlainService, type Platform} from '@damaskspool/stand-ins';
import Table from 'cli-table3';
import {linearRegression} from 'simple-statistics';
import {type DaemonProcess} from '../harness/startDaemonProcess.js';
import {waitFor} from '../harness/startDeployment.js';
import {type SmallDeployment, startSmallDeployment} from '../harness/startSmallDeployment.js';

/** Entries of each run. */
const ENTRY_COUNT = 3;
/** Clock ticks in a second, as /proc counts processor time. */
const TICKS_PER_SECOND = 100;
const KIBIBYTES_PER_MEBIBYTE = 1024;

/** What control costs one process, on average over its role. */
type RoleCost = {
	readonly storeCallsPerSecond: number;
	readonly rpcCallsPerSecond: number;
	readonly bytesPerSecond: number;
	/** Share of one core. */
	readonly cpuShare: number;
	/** Resident memory of the whole process, libraries and all. */
	readonly residentMebibytes: number;
};

/** One fleet size. */
type SizeResult = {
	readonly targets: number;
	readonly entry: RoleCost;
	readonly sidecar: RoleCost;
	/** From the kill of the holder until a successor owns the zone's orders. */
	readonly holderRepairMs: number;
	/** From the kill of a target, when the list drops it, until the platform takes the order for another. */
	readonly targetRepairMs: number;
};

type Sample = {
	readonly storeCalls: number; readonly rpcCalls: number; readonly bytes: number; readonly cpuSeconds: number; readonly residentMebibytes: number;
};

/**
 * Measures what control costs each process of an idle fleet, and how soon a
 * killed holder and a killed target are repaired.
 *
 * @param argv - `--targets 3,10,30`, `--seconds 10`
 * @returns the exit code
 */
export async function runControlExperiment(argv: readonly string[]): Promise<number> {
	const {values} = parseArgs({
		args: [...argv], options: {targets: {type: 'string', default: '3,10,30'}, seconds: {type: 'string', default: '10'}},
	});
	const sizes = values.targets.split(',').map(Number);
	const results: SizeResult[] = [];
	for (const targets of sizes) {
		console.log(`running ${targets} targets behind ${ENTRY_COUNT} entries`);
		results.push(await measureSize(targets, Number(values.seconds) * SECOND_MS));
	}

	printResults(results);
	const slopes = {
		entry: computeSlopes(results, 'entry'),
		sidecar: computeSlopes(results, 'sidecar'),
	};
	console.log(JSON.stringify({
		experiment: 'control', entries: ENTRY_COUNT, seconds: Number(values.seconds), results, slopesPerTarget: slopes,
	}));
	return 0;
}

async function measureSize(count: number, durationMs: number): Promise<SizeResult> {
	const service = await createPlainService();
	const deployment = await startSmallDeployment({
		document: {
			services: [{
				serviceId: 's', kind: 'plain', models: [], firstTokenGoalMs: 720, betweenTokensGoalMs: 41, routes: [{
					method: 'GET', path: '/s', access: 'open', repeatable: true, deadlineMs: 5000, bodyLimitBytes: 1024,
				}],
			}],
			customers: [],
		},
		entryCount: ENTRY_COUNT,
		entrySettings: {pollInterval: '1 s'},
		targets: Array.from({length: count}, (_, index) => ({
			targetId: `s-${index + 1}`, serviceId: 's', kind: 'plain' as const, address: service.address,
		})),
	});
	try {
		await waitFor(() => readFleet(deployment.platform)?.assignments.length === count);
		const sidecars = deployment.sidecars.map(({sidecar}) => sidecar);
		const before = await Promise.all([sampleAll(deployment.entries, 'control'), sampleAll(sidecars, 'listen')]);
		await pass(durationMs);
		const after = await Promise.all([sampleAll(deployment.entries, 'control'), sampleAll(sidecars, 'listen')]);
		return {
			targets: count,
			entry: computeCost(before[0], after[0], durationMs),
			sidecar: computeCost(before[1], after[1], durationMs),
			targetRepairMs: await measureTargetRepair(deployment),
			holderRepairMs: await measureHolderRepair(deployment),
		};
	} finally {
		await deployment.stop();
		await service.close();
	}
}

function readFleet(platform: Platform): FleetRecord | undefined {
	return platform.store.read('fleet/a')?.value as FleetRecord | undefined;
}

async function pass(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

async function measureTargetRepair({platform, sidecars}: SmallDeployment): Promise<number> {
	const [victim] = sidecars;
	const startedAt = performance.now();
	victim!.sidecar.signal('SIGKILL');
	platform.removeInstance(victim!.target.targetId);
	await waitFor(() => platform.orders.length > 0);
	return performance.now() - startedAt;
}

async function measureHolderRepair({platform, entries}: SmallDeployment): Promise<number> {
	const {holder} = platform.store.read('lease/fleet/a')?.value as {holder: string};
	const epoch = readFleet(platform)?.epoch ?? 0;
	const startedAt = performance.now();
	entries.find(({instanceId}) => instanceId === holder)!.signal('SIGKILL');
	await waitFor(() => (readFleet(platform)?.epoch ?? 0) > epoch);
	return performance.now() - startedAt;
}

async function sampleAll(daemons: readonly DaemonProcess[], addressName: string): Promise<Sample[]> {
	return Promise.all(daemons.map(async daemon => sample(daemon, daemon.addresses[addressName]!)));
}

async function sample({child}: DaemonProcess, address: string): Promise<Sample> {
	const response = await fetch(`http://${address}/metrics`);
	const text = await response.text();
	const stat = await readFile(`/proc/${child.pid}/stat`, 'utf8');
	const status = await readFile(`/proc/${child.pid}/status`, 'utf8');
	// Fields 14 and 15 of stat; the name in field 2 may hold spaces, so they are counted from its end.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return {
		storeCalls: sumMetric(text, 'store_calls_total'),
		rpcCalls: sumMetric(text, 'rpc_calls_total'),
		bytes: sumMetric(text, 'control_bytes_total'),
		cpuSeconds: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND,
		residentMebibytes: Number(/VmRSS:\s+(?<size>\d+)/v.exec(status)?.groups?.size ?? 0) / KIBIBYTES_PER_MEBIBYTE,
	};
}

function sumMetric(text: string, name: string): number {
	return text.split('\n')
		.filter(line => line.startsWith(`damaskspool_${name}`))
		.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

function computeCost(before: readonly Sample[], after: readonly Sample[], durationMs: number): RoleCost {
	const seconds = durationMs / SECOND_MS;
	const rate = (read: (sample: Sample) => number) =>
		after.reduce((sum, sample, index) => sum + read(sample) - read(before[index]!), 0) / after.length / seconds;
	return {
		storeCallsPerSecond: rate(({storeCalls}) => storeCalls),
		rpcCallsPerSecond: rate(({rpcCalls}) => rpcCalls),
		bytesPerSecond: rate(({bytes}) => bytes),
		cpuShare: rate(({cpuSeconds}) => cpuSeconds),
		residentMebibytes: after.reduce((sum, {residentMebibytes}) => sum + residentMebibytes, 0) / after.length,
	};
}

/** Growth of each cost with one more target. */
function computeSlopes(results: readonly SizeResult[], role: 'entry' | 'sidecar'): Record<keyof RoleCost, number> {
	const slope = (name: keyof RoleCost) => linearRegression(results.map(result => [result.targets, result[role][name]])).m;
	return {
		storeCallsPerSecond: slope('storeCallsPerSecond'),
		rpcCallsPerSecond: slope('rpcCallsPerSecond'),
		bytesPerSecond: slope('bytesPerSecond'),
		cpuShare: slope('cpuShare'),
		residentMebibytes: slope('residentMebibytes'),
	};
}

function printResults(results: readonly SizeResult[]): void {
	const table = new Table({head: ['targets', 'role', 'store/s', 'rpc/s', 'bytes/s', 'core %', 'RSS MiB', 'holder s', 'target s']});
	for (const result of results) {
		for (const role of ['entry', 'sidecar'] as const) {
			const cost = result[role];
			table.push([
				result.targets,
				role,
				cost.storeCallsPerSecond.toFixed(2),
				cost.rpcCallsPerSecond.toFixed(2),
				cost.bytesPerSecond.toFixed(0),
				(cost.cpuShare * 100).toFixed(2),
				cost.residentMebibytes.toFixed(1),
				(result.holderRepairMs / SECOND_MS).toFixed(2),
				(result.targetRepairMs / SECOND_MS).toFixed(2),
			]);
		}
	}

	console.log(table.toString());
}
