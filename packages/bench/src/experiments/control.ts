import {readFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {type FleetRecord, SECOND_MS} from '@damaskspool/shared';
import {createPlainService, type Platform} from '@damaskspool/stand-ins';
import Table from 'cli-table3';
import {linearRegression} from 'simple-statistics';
import {type DaemonProcess} from '../harness/startDaemonProcess.js';
import {waitFor} from '../harness/startDeployment.js';
import {type SmallDeployment, startSmallDeployment} from '../harness/startSmallDeployment.js';

const ENTRY_COUNT = 3;
/** Clock ticks per second in which /proc reports CPU time. */
const CLOCK_TICKS_PER_SECOND = 100;
const KIBIBYTES_PER_MEBIBYTE = 1024;

/** Cost of the control plane per process, as the mean over all processes of a role. */
type RoleCost = {
	readonly storeCallsPerSecond: number;
	readonly rpcCallsPerSecond: number;
	readonly bytesPerSecond: number;
	/** Share of one core. */
	readonly cpuShare: number;
	/** Resident memory of the complete process, including libraries. */
	readonly residentMebibytes: number;
};

/** Results for one fleet size. */
type FleetSizeResult = {
	readonly targets: number;
	readonly entry: RoleCost;
	readonly sidecar: RoleCost;
	/** Time from the kill of the lease holder until its successor has raised the epoch of the zone's fleet record. */
	readonly holderRepairMs: number;
	/** Time from the kill of a target and its removal from the instance list until the platform receives the order for a replacement. */
	readonly targetRepairMs: number;
};

type Sample = {
	readonly storeCalls: number; readonly rpcCalls: number; readonly bytes: number; readonly cpuSeconds: number; readonly residentMebibytes: number;
};

/**
 * Runs experiment `control`: measures the cost of the control plane in an idle fleet, and the time to recover from the kill
 * of a lease holder and of a target.
 *
 * @param argv - options `--targets 3,10,30` (fleet sizes) and `--seconds 10` (measurement time for each size)
 * @returns exit code 0
 */
export async function runControlExperiment(argv: readonly string[]): Promise<number> {
	const {values} = parseArgs({
		args: [...argv], options: {targets: {type: 'string', default: '3,10,30'}, seconds: {type: 'string', default: '10'}},
	});
	const sizes = values.targets.split(',').map(Number);
	const results: FleetSizeResult[] = [];
	for (const targets of sizes) {
		console.log(`running ${targets} targets behind ${ENTRY_COUNT} entries`);
		results.push(await measureFleetSize(targets, Number(values.seconds) * SECOND_MS));
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

async function measureFleetSize(targetCount: number, durationMs: number): Promise<FleetSizeResult> {
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
		targets: Array.from({length: targetCount}, (_, index) => ({
			targetId: `s-${index + 1}`, serviceId: 's', kind: 'plain' as const, address: service.address,
		})),
	});
	try {
		await waitFor(() => readFleet(deployment.platform)?.assignments.length === targetCount);
		const sidecars = deployment.sidecars.map(({sidecar}) => sidecar);
		const before = await Promise.all([readSamples(deployment.entries, 'control'), readSamples(sidecars, 'listen')]);
		await wait(durationMs);
		const after = await Promise.all([readSamples(deployment.entries, 'control'), readSamples(sidecars, 'listen')]);
		return {
			targets: targetCount,
			entry: computeRoleCost(before[0], after[0], durationMs),
			sidecar: computeRoleCost(before[1], after[1], durationMs),
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

async function wait(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

async function measureTargetRepair({platform, sidecars}: SmallDeployment): Promise<number> {
	const [killedTarget] = sidecars;
	const startedAtMs = performance.now();
	killedTarget!.sidecar.signal('SIGKILL');
	platform.removeInstance(killedTarget!.target.targetId);
	await waitFor(() => platform.orders.length > 0);
	return performance.now() - startedAtMs;
}

async function measureHolderRepair({platform, entries}: SmallDeployment): Promise<number> {
	const {holder} = platform.store.read('lease/fleet/a')?.value as {holder: string};
	const epoch = readFleet(platform)?.epoch ?? 0;
	const startedAtMs = performance.now();
	entries.find(({instanceId}) => instanceId === holder)!.signal('SIGKILL');
	await waitFor(() => (readFleet(platform)?.epoch ?? 0) > epoch);
	return performance.now() - startedAtMs;
}

async function readSamples(daemons: readonly DaemonProcess[], addressName: string): Promise<Sample[]> {
	return Promise.all(daemons.map(async daemon => readSample(daemon, daemon.addresses[addressName]!)));
}

async function readSample({child}: DaemonProcess, address: string): Promise<Sample> {
	const response = await fetch(`http://${address}/metrics`);
	const text = await response.text();
	const stat = await readFile(`/proc/${child.pid}/stat`, 'utf8');
	const status = await readFile(`/proc/${child.pid}/status`, 'utf8');
	// CPU times are fields 14 and 15 of stat. The command name in field 2 may contain spaces, so indexes count from the field after it.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return {
		storeCalls: sumMetric(text, 'store_calls_total'),
		rpcCalls: sumMetric(text, 'rpc_calls_total'),
		bytes: sumMetric(text, 'control_bytes_total'),
		cpuSeconds: (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND,
		residentMebibytes: Number(/VmRSS:\s+(?<size>\d+)/v.exec(status)?.groups?.size ?? 0) / KIBIBYTES_PER_MEBIBYTE,
	};
}

/** Sums a metric over all its labels. */
function sumMetric(text: string, name: string): number {
	return text.split('\n')
		.filter(line => line.startsWith(`damaskspool_${name}`))
		.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

function computeRoleCost(before: readonly Sample[], after: readonly Sample[], durationMs: number): RoleCost {
	const seconds = durationMs / SECOND_MS;
	const computeRate = (getValue: (sample: Sample) => number) =>
		after.reduce((sum, sample, index) => sum + getValue(sample) - getValue(before[index]!), 0) / after.length / seconds;
	return {
		storeCallsPerSecond: computeRate(({storeCalls}) => storeCalls),
		rpcCallsPerSecond: computeRate(({rpcCalls}) => rpcCalls),
		bytesPerSecond: computeRate(({bytes}) => bytes),
		cpuShare: computeRate(({cpuSeconds}) => cpuSeconds),
		residentMebibytes: after.reduce((sum, {residentMebibytes}) => sum + residentMebibytes, 0) / after.length,
	};
}

/** Computes by how much each cost grows per additional target. */
function computeSlopes(results: readonly FleetSizeResult[], role: 'entry' | 'sidecar'): Record<keyof RoleCost, number> {
	const computeSlope = (name: keyof RoleCost) => linearRegression(results.map(result => [result.targets, result[role][name]])).m;
	return {
		storeCallsPerSecond: computeSlope('storeCallsPerSecond'),
		rpcCallsPerSecond: computeSlope('rpcCallsPerSecond'),
		bytesPerSecond: computeSlope('bytesPerSecond'),
		cpuShare: computeSlope('cpuShare'),
		residentMebibytes: computeSlope('residentMebibytes'),
	};
}

function printResults(results: readonly FleetSizeResult[]): void {
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
