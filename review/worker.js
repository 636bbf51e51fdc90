/** Stand-in of a worker of a service: registers in the store, pings, and answers requests as the protocol page says. */
import {createServer} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {readText, listen} from './net.js';

const HEARTBEAT_MS = 1200;
let lastBorn = 0;

/**
 * Starts a worker and registers it.
 *
 * @param {object} options - `handle(request, response, body)` answers a request that this worker runs; `coldMs` is how long it stays slow
 */
export async function startWorker({platform, id, service, slots = 6, zone = 'zone-a', coldMs = 0, stage, record, handle, version = 'v1'}) {
	const runs = [];
	const bornAt = performance.now();
	lastBorn = Math.max(Date.now(), lastBorn + 1);
	let born = lastBorn;
	let seq = 0;
	const state = 'ready';
	let isRegistered = true;
	const server = createServer({keepAliveTimeout: 20_000}, async (request, response) => {
		let isCut = false;
		request.on('error', () => {
			isCut = true;
		});
		const body = await readText(request).catch(() => '');
		const expected = request.headers['x-expect-instance'];
		const requestId = request.headers['x-request-id'];
		if (isCut) {
			return;
		}

		if (expected !== undefined && expected !== id) {
			response.writeHead(421, {'x-request-id': requestId ?? '', 'x-not-executed': '1'}).end();
			return;
		}

		if (request.url === '/health') {
			response.writeHead(isRegistered && state === 'ready' ? 200 : 503, {'x-instance-id': id}).end();
			return;
		}

		const run = {
			requestId, worker: id, atMs: performance.now(), method: request.method, path: request.url, headers: request.headers, body, isCut: false, isOver: false,
		};
		runs.push(run);
		response.on('close', () => {
			run.isOver = true;
			run.isCut = !response.writableFinished;
		});
		handle(request, response, run);
	});
	const sockets = new Set();
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('error', error => {
			record(`${id}: channel ended, ${error.code}`);
		});
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	const address = await listen(server);
	const createSpec = () => ({
		Service: service, Address: address, Zone: zone, Version: version, Slots: slots, State: state,
		ColdRemainingMs: Math.max(0, Math.round(coldMs - (performance.now() - bornAt))), Seq: seq, born, ...(stage !== undefined && {Stage: stage}),
	});
	let lastText = '';
	const ping = () => {
		seq += 1;
		const spec = createSpec();
		// A change of `Seq` alone is no change of the entry.
		const text = JSON.stringify({...spec, Seq: 0});
		if (text !== lastText) {
			lastText = text;
			platform.put('servers', id, spec);
			record(`${id}: registration written, cold for ${spec.ColdRemainingMs} ms`);
		}
	};

	ping();
	let timer = setInterval(ping, HEARTBEAT_MS);
	return {
		id,
		address,
		runs,
		hasLeft: () => !isRegistered,
		/** Leaves without saying so before: the registration is removed, and the worker goes on serving. */
		unregister() {
			clearInterval(timer);
			isRegistered = false;
			platform.remove('servers', id);
			record(`${id}: registration removed`);
			return performance.now();
		},
		/** Crashes: resets its channels, refuses new ones, and starts again at the same address under its id after a while. */
		async crash(forMs) {
			record(`${id}: crashes`);
			clearInterval(timer);
			server.close();
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}

			await wait(forMs);
			lastBorn = Math.max(Date.now(), lastBorn + 1);
			born = lastBorn;
			await listen(server, Number(address.split(':')[1]));
			record(`${id}: is back`);
			ping();
			timer = setInterval(ping, HEARTBEAT_MS);
		},
		/** Ends like a process that exits: closes its channels and refuses new ones. */
		exit() {
			clearInterval(timer);
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}

			record(`${id}: process ended`);
		},
		close() {
			clearInterval(timer);
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

/** Headers of an answer of a worker. */
export function createHeaders(request, worker, more = {}) {
	return {'x-request-id': request.headers['x-request-id'], 'x-server-stamp': `${worker}.${request.headers['x-request-id']}`, ...more};
}
