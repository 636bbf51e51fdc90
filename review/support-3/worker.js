/**
 * Stand-in for a worker, started as a process of its own with its settings as JSON. It tells its parent what it runs.
 * A plain call takes `workMs`. A stream has `eventCount` tokens, one each `eventMs`; an event has the number of its last token.
 * From `joinedFromMs` (Unix time) on, a share of the streams, `joinedShare`, has two tokens in one of its events, as under load.
 * A call whose path holds `crash` ends the process.
 * With `partMs`, a plain answer has neither a length nor chunks, and comes in four parts with that time between them. Channels without a request
 * are closed after `idleMs`.
 * A worker that is told to leave stops listening after a while and ends once it has sent the answers that are under way.
 */
import {createServer} from 'node:http';
import process from 'node:process';
import {readBody} from './net.js';

const {host, port, id, stamp, workMs = 60, eventCount = 11, eventMs = 100, joinedShare = 0, joinedFromMs = 0, partMs, idleMs = 15_000} = JSON.parse(process.argv[2]);
const FILL = 'x'.repeat(72);
const PART_COUNT = 4;
const PART = 'p'.repeat(200);
let running = 0;
let isLeaving = false;

function report(message, then) {
	process.send({worker: id, atMs: Date.now(), ...message}, then);
}

function createHeaders(request) {
	return {'x-request-id': request.headers['x-request-id'] ?? '', 'x-server-stamp': `${stamp}.${id}`, 'x-server-load': `${running},0,12`};
}

function endIfDone() {
	if (isLeaving && running === 0) {
		process.exit(0);
	}
}

function answerInParts(request, response) {
	response.useChunkedEncodingByDefault = false;
	response.shouldKeepAlive = false;
	response.writeHead(200, {...createHeaders(request), 'content-type': 'text/plain'});
	let parts = 0;
	const sendPart = () => {
		parts += 1;
		response.write(PART);
		if (parts === PART_COUNT) {
			clearInterval(timer);
			report({type: 'ended', requestId: request.headers['x-request-id']});
			response.end();
		}
	};

	const timer = setInterval(sendPart, partMs);
	sendPart();
	response.on('close', () => {
		clearInterval(timer);
	});
}

function answerPlain(request, response) {
	const timer = setTimeout(() => {
		report({type: 'ended', requestId: request.headers['x-request-id']});
		response.writeHead(200, {...createHeaders(request), 'content-type': 'text/plain', 'content-length': '800'});
		response.end('b'.repeat(800));
	}, workMs);
	response.on('close', () => {
		clearTimeout(timer);
	});
}

function answerStream(request, response) {
	let event = Number(request.headers['last-event-id'] ?? 0);
	const isJoined = Date.now() >= joinedFromMs && Math.random() < joinedShare;
	const joinedAt = isJoined ? 2 + Math.floor(Math.random() * (eventCount - 2)) : undefined;
	response.writeHead(200, {...createHeaders(request), 'content-type': 'text/event-stream'});
	const timer = setInterval(() => {
		event += 1;
		if (event === joinedAt) {
			event += 1;
		}

		response.write(`id: ${event}\ndata: ${FILL}\n\n`);
		if (event >= eventCount) {
			clearInterval(timer);
			report({type: 'ended', requestId: request.headers['x-request-id']});
			response.end();
		}
	}, eventMs);
	response.on('close', () => {
		clearInterval(timer);
	});
}

async function handle(request, response) {
	const expected = request.headers['x-expect-instance'];
	if (request.url === '/health') {
		response.writeHead(200, {'x-instance-id': id}).end();
		return;
	}

	if (request.url === '/damaskspool/report') {
		const state = {
			Stage: 'decode', Models: [{Name: 'm', Version: 1, Adapters: []}], Busy: false, Seq: 0, Waiting: 0, Running: running, KvUsed: 0, KvCapacity: 610_008, KvHandles: 0,
		};
		response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(state));
		return;
	}

	await readBody(request);
	if (expected !== undefined && expected !== id) {
		response.writeHead(421, {'x-instance-id': id, 'x-not-executed': '1', 'x-request-id': request.headers['x-request-id'] ?? ''}).end();
		return;
	}

	running += 1;
	response.on('close', () => {
		running -= 1;
		endIfDone();
	});
	const isCrash = request.url.includes('crash');
	report({
		type: 'began', requestId: request.headers['x-request-id'], path: request.url, lastEventId: request.headers['last-event-id'],
	}, () => {
		if (isCrash) {
			process.kill(process.pid, 'SIGKILL');
		}
	});
	if (isCrash) {
		return;
	}

	if (request.url.startsWith('/generate/') || request.url.startsWith('/ask/')) {
		answerStream(request, response);
	} else if (partMs === undefined) {
		answerPlain(request, response);
	} else {
		answerInParts(request, response);
	}
}

const server = createServer({keepAliveTimeout: idleMs}, (request, response) => {
	handle(request, response).catch(() => {
		response.destroy();
	});
});
server.on('connection', socket => {
	// The HTTP server does not close channels that have not sent anything.
	const timer = setTimeout(() => {
		if (socket.bytesRead === 0) {
			socket.destroy();
		}
	}, idleMs);
	socket.on('close', () => {
		clearTimeout(timer);
	});
});
server.listen(port, host, () => {
	report({type: 'listening'});
});
process.on('message', ({serveOnMs}) => {
	setTimeout(() => {
		isLeaving = true;
		server.close();
		endIfDone();
	}, serveOnMs);
});
process.on('disconnect', () => {
	process.exit(0);
});
