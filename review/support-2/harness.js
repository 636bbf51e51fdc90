/** Starts entries and workers as processes of their own, calls entries as a consumer, and writes the record of a case. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request as sendRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {startStore} from './store.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const WORKER = fileURLToPath(new URL('worker.js', import.meta.url));
/** Longest time for which a case may run. */
const MAX_RUN_MS = 110_000;
/** Exit codes of a case. */
export const EXIT_CODES = {held: 0, broken: 1, notRun: 2};
/** Whether the case runs with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
export const API_KEY = '2b9wu3fexd9dnn2ctnfz';
export const HOST = 'ficu95.example';

async function findFreePort(ip) {
	const server = createServer();
	await new Promise(resolve => {
		server.listen(0, ip, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

async function findFreeUdpPort(ip) {
	const socket = createSocket('udp4');
	await new Promise(resolve => {
		socket.bind(0, ip, resolve);
	});
	const {port} = socket.address();
	await new Promise(resolve => {
		socket.close(resolve);
	});
	return port;
}

/** Builds the settings file of an entry. The bounds are those of the sheet of the small deployment. */
function formatSettings({node, ip, ports, memoryMb, storeAddress}) {
	return `Node = "${node}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "${ip}"
Zone = "zone-a"
Region = "region-a"
InnerPorts = [${ports.inner}, ${ports.inner}]
Seeds = []
Bootstrap = true
HeartbeatMs = 1200

[Listen]
Front = "${ip}:${ports.front}"
Readiness = "${ip}:${ports.readiness}"

[Limits]
MemoryMb = ${memoryMb}
MaxFds = 4100

[Bounds]
ContactMs = 3000
DrainMs = 2000
GraceS = 8
ConfigApplyMs = 2000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetMinRetries = 58
RequireFence = true
LeaseMs = 3000
ThawMs = 300
WindowS = 5
UsageTolerance = 0.05
UsageLateS = 10

[Platform]
Address = "${storeAddress}"

[Cloud]
Address = "${storeAddress}"
`;
}

/** Builds a configuration with a safe, an unsafe and two stream routes. */
export function createConfiguration(version = 7, routeFields = {}) {
	const common = {
		Host: HOST, TimeoutMs: 3000, TargetLatencyMs: 400, Priority: 0, MaxAttempts: 2, AllowAnonymous: false, ...routeFields,
	};
	return {
		Version: version,
		Routes: [
			{
				...common, Name: 'book', PathPrefix: '/book/', Kind: 'unsafe', Service: 'plain',
			},
			{
				...common, Name: 'look', PathPrefix: '/look/', Kind: 'safe', Service: 'plain',
			},
			{
				...common, Name: 'ask', PathPrefix: '/ask/', Kind: 'stream', Service: 'engines', TargetGapMs: 150, Sticky: true,
			},
			{
				...common, Name: 'generate', PathPrefix: '/generate/', Kind: 'stream', Service: 'engines', Resumable: true, TargetGapMs: 150, Sticky: true,
			},
		],
		Services: [
			{Name: 'plain', MaxConns: 110},
			{
				Name: 'engines', MaxConns: 170, Engine: {
					KvCapacityTokens: 610_008, TokenKvBytes: 18_432, LinkMbps: 180_000, SwitchS: 3,
				},
			},
		],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
		Tenants: [{Name: 'huka270', ApiKeys: [API_KEY]}],
	};
}

/** Starts what all cases share. */
export async function startCase(folder) {
	const startedAtMs = performance.now();
	const lines = [];
	const record = (event, detail = {}) => {
		lines.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} s  ${event}  ${JSON.stringify(detail)}`);
	};

	const directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	const processes = new Set();
	const store = await startStore({record});
	let hasEnded = false;

	const end = (code, verdict) => {
		if (hasEnded) {
			return;
		}

		hasEnded = true;
		record('verdict', {verdict, exit: code, trouble: HAS_TROUBLE});
		for (const child of processes) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		store.close();
		rmSync(directory, {recursive: true, force: true});
		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		process.stdout.write(`${verdict}\n`);
		process.exit(code);
	};

	const timer = setTimeout(() => {
		end(EXIT_CODES.notRun, 'the case took too long');
	}, MAX_RUN_MS);
	timer.unref();
	for (const source of ['uncaughtException', 'unhandledRejection']) {
		process.on(source, error => {
			record('error', {detail: String(error?.stack ?? error)});
			end(EXIT_CODES.notRun, 'the case could not run');
		});
	}

	const spawnChild = (name, commandLine, options) => {
		const [program, ...words] = commandLine;
		const child = spawn(program, words, {...options, stdio: ['ignore', 'pipe', 'pipe']});
		processes.add(child);
		child.on('exit', (code, signal) => {
			processes.delete(child);
			record('process ended', {name, code, signal});
		});
		return child;
	};

	const waitUntil = async (isMet, timeoutMs, what) => {
		const endsAtMs = performance.now() + timeoutMs;
		while (!await isMet()) {
			if (performance.now() > endsAtMs) {
				end(EXIT_CODES.notRun, `not in time: ${what}`);
				await wait(1000);
			}

			await wait(10);
		}
	};

	/** Starts a worker and registers it in the store, behind the path that `createPath` makes for its port. */
	const startWorker = async ({id, service, stage, rules, idleMs, ip = '127.0.0.1', port = 0, createPath}) => {
		const child = spawnChild(id, [process.execPath, WORKER, JSON.stringify({
			id, ip, port, idleMs, rules,
		})], {cwd: directory});
		const events = [];
		const worker = {
			id, child, events, has: (event, requestId) => events.some(entry => entry.event === event && entry.requestId === requestId),
		};
		let text = '';
		child.stdout.on('data', bytes => {
			text += bytes.toString('utf8');
			const whole = text.split('\n');
			text = whole.pop();
			for (const line of whole) {
				const {event, ...detail} = JSON.parse(line);
				events.push({event, ...detail, atMs: performance.now()});
				record(`worker ${event}`, detail);
			}
		});
		await waitUntil(() => events.some(({event}) => event === 'listening'), 5000, `worker ${id}`);
		worker.port = events[0].port;
		worker.path = await createPath?.(worker.port);
		worker.registration = {
			Service: service,
			Address: `${ip}:${worker.path?.port ?? worker.port}`,
			Zone: 'zone-a',
			Version: 'v1',
			Slots: 6,
			State: 'ready',
			ColdRemainingMs: 0,
			Seq: 0,
			born: Date.now(),
			...(stage !== undefined && {Stage: stage}),
		};
		store.put('servers', id, worker.registration);
		record('registered', {id});
		return worker;
	};

	/** Starts an entry with the command of the deploy file. It is waited for unless it is started again. */
	const startEntry = async ({node, ip = '127.0.0.1', ports, memoryMb = 350, isAgain = false}) => {
		const usedPorts = ports ?? {front: await findFreePort(ip), readiness: await findFreePort(ip), inner: await findFreeUdpPort(ip)};
		const file = path.join(directory, `${node}.toml`);
		writeFileSync(file, formatSettings({
			node, ip, ports: usedPorts, memoryMb, storeAddress: store.address,
		}));
		const child = spawnChild(node, ['node', '--max-old-space-size=160', 'target/entry.mjs', 'deploy/entry.jsonc'], {
			cwd: ROOT, env: {PATH: process.env.PATH, HOME: process.env.HOME, DAMASKSPOOL_NODE_FILE: file},
		});
		const log = [];
		let text = '';
		child.stdout.on('data', bytes => {
			text += bytes.toString('utf8');
			const whole = text.split('\n');
			text = whole.pop();
			log.push(...whole);
		});
		child.stderr.on('data', bytes => {
			log.push(bytes.toString('utf8'));
		});
		const entry = {
			node, ip, ports: usedPorts, child, log, front: {host: ip, port: usedPorts.front},
			isReady: async () => await getStatus({host: ip, port: usedPorts.readiness, path: '/damaskspool/ready'}) === 200,
		};
		if (isAgain) {
			record('entry started again', {node});
			return entry;
		}

		await waitUntil(entry.isReady, 15_000, `${node} is ready`);
		record('entry ready', {node});
		return entry;
	};

	let callCount = 0;
	/** Sends a request as a consumer does, on a new channel unless an agent is given. */
	const call = async ({front}, route, {method = 'POST', body = 'a body', deadlineMs = 3000, headers = {}, agent, requestId} = {}) => {
		callCount += 1;
		const id = requestId ?? `${callCount.toString(16).padStart(4, '0')}c41d07be2a35`;
		record('consumer sent', {requestId: id, method, route});
		return new Promise(resolve => {
			const settle = result => {
				record('consumer got', {requestId: id, ...result});
				resolve({requestId: id, ...result});
			};

			const request = sendRequest({
				...front, path: route, method, ...(agent === undefined ? {agent: false} : {agent}), headers: {
					host: HOST, authorization: `Bearer ${API_KEY}`, 'x-request-id': id, 'x-deadline-ms': String(deadlineMs), 'content-length': Buffer.byteLength(body), ...headers,
				},
			}, response => {
				let text = '';
				response.setEncoding('utf8');
				response.on('data', chunk => {
					text += chunk;
				});
				const common = () => ({status: response.statusCode, stamp: response.headers['x-server-stamp'], body: text});
				response.on('end', () => {
					settle({...common(), isComplete: response.complete});
				});
				response.on('error', () => {
					settle({...common(), isComplete: false});
				});
			});
			request.on('error', error => {
				settle({status: 0, isComplete: false, detail: error.code});
			});
			request.end(body);
		});
	};

	const signal = (child, name, what) => {
		record('signal', {what, signal: name});
		child.kill(name);
	};

	/** Waits until an entry serves a request. */
	const waitUntilServed = async entry => waitUntil(async () => {
		const {status} = await call(entry, '/look/ready');
		return status === 200;
	}, 5000, `${entry.node} serves a request`);

	return {
		/** Ends a process with the case. */
		addProcess(child) {
			processes.add(child);
			child.on('exit', () => processes.delete(child));
		},
		store, record, startWorker, startEntry, call, signal, waitUntil, waitUntilServed, end, wait, directory,
	};
}

async function getStatus(options) {
	return new Promise(resolve => {
		const request = sendRequest({...options, agent: false, timeout: 1000}, response => {
			response.resume();
			resolve(response.statusCode);
		});
		request.on('timeout', () => request.destroy());
		request.on('error', () => {
			resolve(0);
		});
		request.end();
	});
}
