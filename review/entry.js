/** Starts an entry as its own process, with the command of the deploy file and settings like those of the small site. */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {setTimeout as wait} from 'node:timers/promises';
import {findFreePort, HOST} from './net.js';

const REPOSITORY_ROOT = fileURLToPath(new URL('..', import.meta.url));
const START_LIMIT_MS = 15_000;
const POLL_MS = 100;

/** Bounds of the site file, in the platform's format. */
export const BOUNDS = {
	ContactMs: 3000, DrainMs: 2000, GraceS: 8, LossSlackMs: 200, ConfigApplyMs: 2000, LeaseMs: 3000, ThawMs: 300,
	WindowS: 5, RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetMinRetries: 54, RequireFence: false,
};

/** Returns the command of the role `entry`, split at spaces. */
function readCommand() {
	const text = readFileSync(path.join(REPOSITORY_ROOT, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"/mv.exec(text).groups.command.split(' ');
}

/** Starts an entry and waits until it says that it is ready. */
export async function startEntry({name, zone = 'zone-a', platformAddress, record}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-entry-'));
	const [front, readiness, control, inner] = await Promise.all([findFreePort(), findFreePort(), findFreePort(), findFreePort()]);
	const file = path.join(folder, 'boot.toml');
	writeFileSync(file, `
Node = "${name}"
Role = "entry"
MachineClass = "front"
Serves = ["front","control"]
Ip = "${HOST}"
Zone = "${zone}"
Region = "region-a"
InnerPorts = [${inner},${inner}]
Seeds = []
Bootstrap = true
HeartbeatMs = 1200
[Zones]
zone-a = "region-a"
[Listen]
Front = "${HOST}:${front}"
Readiness = "${HOST}:${readiness}"
Control = "${HOST}:${control}"
[Limits]
CpuShare = 0.513
Cores = 1
MemoryMb = 350
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
${Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`).join('\n')}
[Platform]
Address = "${platformAddress}"
form = "objects"
[Cloud]
Address = "${platformAddress}"
`);
	const lines = [];
	const [program, ...args] = readCommand();
	const start = () => {
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: REPOSITORY_ROOT, env: {PATH: process.env.PATH, HOME: process.env.HOME, DAMASKSPOOL_NODE_FILE: file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8').on('data', text => {
				lines.push(...text.split('\n').filter(line => line !== ''));
			});
		}

		child.on('exit', (code, signal) => {
			record(`${name}: process ended, code ${code}, signal ${signal}`);
		});
		return child;
	};

	let child = start();
	const isReady = async () => new Promise(resolve => {
		request({
			host: HOST, port: readiness, path: '/damaskspool/ready', agent: false,
		}, response => {
			response.resume();
			resolve(response.statusCode === 200);
		}).on('error', () => {
			resolve(false);
		}).end();
	});
	const waitUntilReady = async () => {
		const endAt = performance.now() + START_LIMIT_MS;
		while (!await isReady()) {
			if (performance.now() > endAt) {
				throw new Error(`${name} is not ready: ${lines.slice(-5).join(' ')}`);
			}

			await wait(POLL_MS);
		}

		record(`${name}: ready`);
	};

	const entry = {
		name,
		port: front,
		lines,
		isReady,
		waitUntilReady,
		signal(signal) {
			record(`${name}: ${signal}`);
			child.kill(signal);
		},
		isRunning: () => child.exitCode === null && child.signalCode === null,
		restart() {
			child = start();
		},
		async close() {
			if (child.exitCode === null && child.signalCode === null) {
				const ended = new Promise(resolve => {
					child.once('exit', resolve);
				});
				child.kill('SIGKILL');
				await ended;
			}

			rmSync(folder, {recursive: true, force: true});
		},
	};
	try {
		await waitUntilReady();
	} catch (error) {
		await entry.close();
		throw error;
	}

	return entry;
}
