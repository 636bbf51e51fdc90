/**
 * Stand-in of a worker, a process of its own. Its argument is JSON: `id`, `ip`, `port`, `idleMs` after which it closes a channel
 * without a request, and `rules`, of which the first whose `path` begins the path of a request says how it is answered. Prints a
 * line of JSON for each thing that it does.
 */
import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';

/** Bytes of a line of a long body. */
const LINE_BYTES = 32;
/** Time for which a worker waits until more of an answer is taken. */
const MAX_DRAIN_MS = 10_000;
const {id, ip = '127.0.0.1', port = 0, idleMs = 5000, rules = []} = JSON.parse(process.argv[2]);

function tell(event, detail) {
	process.stdout.write(`${JSON.stringify({event, worker: id, ...detail})}\n`);
}

/** Builds a body of numbered lines, or a short one if the rule states no length. */
function createBody({bytes}, requestId) {
	return bytes === undefined
		? `done ${requestId}`
		: Array.from({length: bytes / LINE_BYTES}, (_, index) => `${String(index).padStart(LINE_BYTES - 1, '.')}\n`).join('');
}

/** Splits what a connection has sent into whole requests with a length. */
function takeRequest(held) {
	const endsAt = held.text.indexOf('\r\n\r\n');
	if (endsAt === -1) {
		return undefined;
	}

	const [requestLine, ...lines] = held.text.slice(0, endsAt).split('\r\n');
	const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const length = Number(headers['content-length'] ?? 0);
	if (held.text.length < endsAt + 4 + length) {
		return undefined;
	}

	const [method, path] = requestLine.split(' ');
	const body = held.text.slice(endsAt + 4, endsAt + 4 + length);
	held.text = held.text.slice(endsAt + 4 + length);
	return {
		method, path, headers, body,
	};
}

/** Writes text, in pieces with a pause behind each if `pieceBytes` is given. */
async function write(socket, text, {pieceBytes = text.length, pauseMs}) {
	for (let from = 0; from < text.length && !socket.destroyed; from += pieceBytes) {
		const isTaken = socket.write(text.slice(from, from + pieceBytes));
		if (pieceBytes < text.length) {
			await Promise.all([wait(pauseMs), isTaken || once(socket, 'drain', {signal: AbortSignal.timeout(MAX_DRAIN_MS)}).catch(() => socket.destroy())]);
		}
	}
}

async function answer(socket, {method, path, headers, body}) {
	const requestId = headers['x-request-id'] ?? '';
	const common = `X-Request-Id: ${requestId}\r\nX-Server-Load: 1,0,6\r\n`;
	const expected = headers['x-expect-instance'];
	if (expected !== undefined && expected !== id) {
		tell('misdirected', {requestId, expected});
		socket.write(`HTTP/1.1 421 Misdirected Request\r\n${common}X-Not-Executed: 1\r\nX-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
		return;
	}

	const rule = rules.find(({path: prefix}) => path.startsWith(prefix)) ?? {};
	const {status = 200, pieceBytes, type = 'text/plain', pauseMs = 0, workMs = 5, isFramed = true} = rule;
	const {parts = [createBody(rule, requestId)]} = rule;
	tell('run', {
		requestId, method, path, bodyBytes: body.length, tenant: headers['x-tenant'], resumesAt: headers['last-event-id'],
	});
	await wait(workMs);
	if (socket.destroyed) {
		return;
	}

	const filled = parts.map(part => part.replaceAll('{id}', requestId));
	const framing = isFramed ? `Content-Length: ${filled.join('').length}\r\n` : 'Connection: close\r\n';
	socket.write(`HTTP/1.1 ${status} Status\r\n${common}X-Server-Stamp: stamp.${id}.${requestId}\r\nContent-Type: ${type}\r\n${framing}\r\n`);
	for (const [index, part] of filled.entries()) {
		if (index > 0) {
			await wait(pauseMs);
		}

		if (socket.destroyed) {
			tell('gone', {requestId});
			return;
		}

		await write(socket, part, {pieceBytes, pauseMs});
		if (filled.length > 1) {
			tell('sent', {requestId, part: index + 1, parts: filled.length});
		}
	}

	if (!isFramed) {
		socket.end();
	}

	tell('answered', {requestId});
}

const server = createServer(socket => {
	const held = {text: ''};
	let isBusy = false;
	socket.setNoDelay(true);
	socket.setTimeout(idleMs, () => {
		if (!isBusy) {
			socket.end();
		}
	});
	socket.on('error', () => socket.destroy());
	socket.on('data', async bytes => {
		held.text += bytes.toString('latin1');
		if (isBusy) {
			return;
		}

		isBusy = true;
		for (let request = takeRequest(held); request !== undefined; request = takeRequest(held)) {
			await answer(socket, request);
		}

		isBusy = false;
	});
});
server.listen(port, ip, () => {
	tell('listening', {port: server.address().port});
});
