/** Starts entries with the command of the deploy file, and workers, for one case. */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync, appendFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {isReady} from './caller.js';
import {findFreePort} from './net.js';
import {startStore} from './store.js';

/** Bounds of the small installation, as in the example of the settings. */
export const BOUNDS = {
	SeedLagS: 3, AddrReuseS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200,
	ConfigApplyMs: 2000, RollbackSlackMs: 250, MaxSkewMs: 5000, StrictRevoke: false, RevokeMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetMinRetries: 58, RequireFence: true,
	LeaseMs: 3000, ThawMs: 300, WindowS: 5, UsageTolerance: 0.05, UsageLateS: 10, RecoverS: 12, TransitMs: 120, ReuseWindowS: 5.1,
};
export const EXIT_HELD = 0;
export const EXIT_BROKEN = 1;
export const EXIT_NOT_RUN = 2;
const HEARTBEAT_MS = 1200;
const START_LIMIT_MS = 15_000;
const ROOT = path.resolve(import.meta.dirname, '../..');

const COMMON_ROUTE = {Host: 'calls.example', Priority: 1, AllowAnonymous: false};
const STREAM_ROUTE = {
	...COMMON_ROUTE, Kind: 'stream', TargetGapMs: 150, Service: 'engines', Sticky: true,
};

/** Config of the small installation: routes with the kinds, times and attempts of its sheet. */
export const CONFIG = {
	Version: 7,
	Routes: [
		{
			...STREAM_ROUTE, Name: 'generate', PathPrefix: '/generate/', TimeoutMs: 5000, TargetLatencyMs: 300, MaxAttempts: 2, Resumable: true,
		},
		{
			...STREAM_ROUTE, Name: 'ask', PathPrefix: '/ask/', TimeoutMs: 3000, TargetLatencyMs: 200, MaxAttempts: 1, Resumable: false,
		},
		{
			...COMMON_ROUTE, Name: 'book', PathPrefix: '/book/', Kind: 'unsafe', TimeoutMs: 800, TargetLatencyMs: 300, MaxAttempts: 1, Service: 'plain', Resumable: false, Sticky: false,
		},
		{
			...COMMON_ROUTE, Name: 'look', PathPrefix: '/look/', Kind: 'safe', TimeoutMs: 800, TargetLatencyMs: 300, MaxAttempts: 2, Service: 'plain', Resumable: false, Sticky: false,
		},
	],
	Services: [
		{
			Name: 'engines', HealthPath: '/health', MaxConns: 170, Protocol: 'h1', Tls: false, Engine: {
				Slots: 12, KvCapacityTokens: 610_008, TokenKvBytes: 18_432, LinkMbps: 180_000, HandleTtlS: 5, SwitchS: 3, Models: [{Name: 'm'}],
			},
		},
		{
			Name: 'plain', HealthPath: '/health', MaxConns: 110, Protocol: 'h1', Tls: false,
		},
	],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
	Tenants: [{Name: 'customer-a', ApiKeys: ['key-of-customer-a'], Priority: 1}],
};

/** Whether the disruption of a case takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/**
 * Starts a fleet.
 *
 * @param folder - folder of the case, which gets `record.txt`
 */
export async function startFleet(folder) {
	const startedAtMs = Date.now();
	const recordFile = path.join(folder, 'record.txt');
	writeFileSync(recordFile, '');
	const temporaryFolder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const store = await startStore();
	store.put('config', 'main', CONFIG);
	const processes = new Set();
	const entries = [];
	const workers = [];
	let isClosing = false;

	const record = (what, detail = {}) => {
		appendFileSync(recordFile, `${String(Date.now() - startedAtMs).padStart(6)} ms  ${what} ${JSON.stringify(detail)}\n`);
	};

	const formatSettings = ({name, ip, zone, front, readiness, peers}) => [
		`Node = "${name}"`,
		'Role = "entry"',
		'MachineClass = "front"',
		'Serves = ["front"]',
		`Ip = "${ip}"`,
		`Zone = "${zone}"`,
		'Region = "region"',
		`InnerPorts = [${peers},${peers}]`,
		'Bootstrap = true',
		'Discovery = "platform"',
		'Entry = "vip"',
		`HeartbeatMs = ${HEARTBEAT_MS}`,
		'Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","leader","platform"]',
		'[Zones]',
		'zone-a = "region"',
		'[Listen]',
		`Front = "${ip}:${front}"`,
		`Readiness = "${ip}:${readiness}"`,
		'[Limits]',
		'CpuShare = 0.513',
		'Cores = 1',
		'MemoryMb = 350',
		'MaxFds = 4100',
		'LinkMbps = 1000.0',
		'DiskMb = 0',
		'[Tolerate]',
		'Machines = 1',
		'Zones = 0',
		'Regions = 0',
		'[Bounds]',
		...Object.entries(BOUNDS).map(([bound, value]) => `${bound} = ${value}`),
		'[Platform]',
		`Address = "${store.address}"`,
		'form = "objects"',
		'WritesPerS = 400',
		'ReadsPerS = 2000',
		'HistoryS = 20',
		'ValueBytes = 1048576',
		'MinTtlMs = 1000',
		'[Cloud]',
		`Address = "${store.address}"`,
		'RatePerS = 50.0',
		'Duties = ["usage_report"]',
		'DutyPerS = 50.0',
		'',
	].join('\n');

	const spawnRecorded = (command, processArguments, options) => {
		const child = spawn(command, processArguments, {cwd: ROOT, ...options});
		processes.add(child);
		child.on('exit', () => {
			processes.delete(child);
		});
		return child;
	};

	/** Starts an entry as the deploy file says. It is started again after a short delay when it has ended. */
	const startEntry = async name => {
		const [front, readiness, peers] = [await findFreePort(), await findFreePort(), await findFreePort()];
		const settingsFile = path.join(temporaryFolder, `${name}.toml`);
		writeFileSync(settingsFile, formatSettings({
			name, ip: '127.0.0.1', zone: 'zone-a', front, readiness, peers,
		}));
		const entry = {
			name, port: front, readinessPort: readiness, child: undefined, startedAtMs: 0, stoppedAtMs: 0, lines: [],
		};
		const [command, ...commandArguments] = readRunCommand();
		const run = () => {
			entry.startedAtMs = Date.now();
			entry.child = spawnRecorded(command, commandArguments, {
				stdio: ['ignore', 'pipe', 'pipe'],
				env: {
					PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, DAMASKSPOOL_NODE_FILE: settingsFile,
				},
			});
			for (const output of [entry.child.stdout, entry.child.stderr]) {
				output.on('data', chunk => {
					entry.lines.push(chunk.toString('utf8'));
				});
			}

			record('entry started', {entry: name, pid: entry.child.pid});
			entry.child.on('exit', (code, signal) => {
				record('entry ended', {entry: name, code, signal});
				entry.stoppedAtMs = Date.now();
				if (!isClosing) {
					setTimeout(run, 500);
				}
			});
		};

		run();
		entries.push(entry);
		return entry;
	};

	/** Starts a worker, which registers itself and writes its heartbeat. Its entry expires after three intervals of silence. */
	const startWorker = async (name, {service, options = {}, onMessage, restartMs, hasNewId = false}) => {
		const port = await findFreePort();
		const worker = {
			name, id: name, service, child: undefined, timer: undefined, isUp: false, isDraining: false, registration: undefined, boots: 0, isGone: false, restartMs,
		};
		const beat = (id, born) => {
			worker.registration = {
				Service: service, Address: `127.0.0.1:${port}`, Zone: 'zone-a', Version: 'v1', Slots: service === 'engines' ? 12 : 6, State: 'ready', ColdRemainingMs: 0,
				...(service === 'engines' && {Stage: 'decode', Models: [{Name: 'm', Version: 1, Adapters: []}]}), Seq: 0, born,
			};
			store.put('servers', id, worker.registration);
		};

		const run = () => {
			worker.boots += 1;
			worker.isDraining = false;
			const born = Date.now();
			const id = hasNewId ? `${name}-${worker.boots}` : name;
			worker.id = id;
			const workerSettings = {
				host: '127.0.0.1', port, id, stamp: `boot${worker.boots}`, ...options,
			};
			const child = spawnRecorded(process.execPath, [path.join(import.meta.dirname, 'worker.js'), JSON.stringify(workerSettings)], {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
			worker.child = child;
			child.on('message', message => {
				if (message.type === 'listening') {
					worker.isUp = true;
					beat(id, born);
					worker.timer = setInterval(beat, HEARTBEAT_MS, id, born);
					record('worker listens', {worker: id, boot: worker.boots, born});
				} else {
					record(`worker ${message.type}`, message);
				}

				onMessage?.(message, worker);
			});
			child.on('exit', (code, signal) => {
				clearInterval(worker.timer);
				worker.isUp = false;
				record('worker ended', {worker: id, boot: worker.boots, signal});
				if (worker.isDraining) {
					store.remove('servers', id);
				}

				const boot = worker.boots;
				setTimeout(() => {
					if (hasNewId || (worker.boots === boot && !worker.isUp)) {
						store.remove('servers', id);
						record('registration expired', {worker: id});
					}
				}, 3 * HEARTBEAT_MS);
				if (!isClosing && !worker.isGone) {
					setTimeout(run, worker.restartMs);
				}
			});
		};

		/** Lets the worker leave without a word, as some do: its registration is removed, and it serves on. */
		worker.leave = () => {
			worker.isGone = true;
			clearInterval(worker.timer);
			store.remove('servers', worker.id);
		};

		/** Lets the worker report that it is draining. It serves on for a time, ends its work and exits; a new one follows. */
		worker.drain = serveOnMs => {
			clearInterval(worker.timer);
			worker.isDraining = true;
			store.put('servers', worker.id, {...worker.registration, State: 'draining'});
			record('worker drains', {worker: worker.id});
			worker.child.send({serveOnMs});
		};

		run();
		workers.push(worker);
		return worker;
	};

	const waitUntil = async (check, limitMs = START_LIMIT_MS) => {
		const untilMs = Date.now() + limitMs;
		while (!(await check())) {
			if (Date.now() > untilMs) {
				throw new Error('the fleet is not up in time');
			}

			await wait(50);
		}
	};

	return {
		store, entries, workers, record, startEntry, startWorker, waitUntil,
		async waitUntilReady() {
			await waitUntil(async () => {
				const areReady = await Promise.all(entries.map(async ({readinessPort}) => isReady(readinessPort)));
				return areReady.every(Boolean) && workers.every(({isUp}) => isUp);
			});
		},
		async close() {
			isClosing = true;
			for (const child of processes) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}

			store.close();
			await wait(200);
			rmSync(temporaryFolder, {recursive: true});
		},
	};
}

/** Runs a case and ends the process with its result. */
export async function runCase(folder, run) {
	let exitCode = EXIT_NOT_RUN;
	let fleet;
	try {
		fleet = await startFleet(folder);
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, async () => {
				await fleet.close();
				process.exit(EXIT_NOT_RUN);
			});
		}

		const isBroken = await run(fleet);
		exitCode = isBroken ? EXIT_BROKEN : EXIT_HELD;
		fleet.record(isBroken ? 'RESULT: the rule is broken' : 'RESULT: the rule held', {hasTrouble: HAS_TROUBLE});
	} catch (error) {
		fleet?.record('RESULT: the case could not run', {detail: error.stack});
		process.stderr.write(`${error.stack}\n`);
	} finally {
		await fleet?.close();
	}

	process.exit(exitCode);
}

function readRunCommand() {
	const [, command] = /^run = "(?<command>[^"]+)"/mv.exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'));
	return command.split(' ');
}
