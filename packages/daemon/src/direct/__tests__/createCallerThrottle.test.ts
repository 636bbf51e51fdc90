/** Requests that reach the HTTP server through the reader of a connection, beside those that it makes of the same bytes by itself. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {after, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createReadGovernor} from '@damaskspool/runtime';
import {type CallerThrottle, createCallerThrottle} from '../createCallerThrottle.js';

const MAX_HEAD_BYTES = 16_384;
const QUIET_MS = 60;

type TestServer = {
	readonly server: Server;
	/** Requests whose bodies were whole: method, path, body and number of lines. */
	readonly requests: string[];
	readonly rejected: string[];
	readonly throttle: CallerThrottle | undefined;
	/** Answers what waits, if answers are held back. */
	readonly answers: Array<() => void>;
};

async function startServer({isGoverned, holdsAnswers = false}: {readonly isGoverned: boolean; readonly holdsAnswers?: boolean}): Promise<TestServer> {
	const requests: string[] = [];
	const rejected: string[] = [];
	const answers: Array<() => void> = [];
	const receive = (incoming: IncomingMessage, response: ServerResponse) => {
		const {method, url, headers, rawHeaders, socket} = incoming;
		throttle?.findReader(socket)?.recordRequest(incoming, response, {
			contentLength: Number(headers['content-length'] ?? 0), isChunked: headers['transfer-encoding'] !== undefined,
		});
		const chunks: Buffer[] = [];
		incoming.on('data', (chunk: Buffer) => {
			chunks.push(chunk);
		});
		incoming.on('end', () => {
			requests.push(`${method} ${url} ${rawHeaders.length / 2} ${Buffer.concat(chunks).toString('latin1')}`);
			const answer = () => {
				response.end(url);
			};

			if (holdsAnswers) {
				answers.push(answer);
			} else {
				answer();
			}
		});
	};

	const server = createServer({maxHeaderSize: 1_000_000}, receive);
	const throttle = isGoverned
		? createCallerThrottle({
			readGovernor: createReadGovernor(),
			findMaxHeadBytes: () => MAX_HEAD_BYTES,
			measureUnreadMs: () => 0,
			onRejected(socket, code) {
				rejected.push(code);
				socket.destroy();
			},
		})
		: undefined;
	server.maxHeadersCount = 0;
	server.on('connection', socket => {
		throttle?.recordConnection(socket);
	});
	server.on('clientError', (_error, socket) => {
		socket.destroy();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		server, requests, rejected, throttle, answers,
	};
}

async function connectTo({server}: TestServer): Promise<{readonly socket: Socket; readonly received: string[]}> {
	const received: string[] = [];
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.setNoDelay(true);
	socket.on('data', (bytes: Buffer) => {
		received.push(bytes.toString('latin1'));
	});
	socket.on('error', () => {
		// The server may reset a connection with bytes that are no request.
	});
	await new Promise(resolve => {
		socket.on('connect', resolve);
	});
	return {socket, received};
}

/** Sends pieces one after the other, and returns what the server took for requests. */
async function sendPieces(test: TestServer, pieces: readonly string[]): Promise<readonly string[]> {
	const {socket} = await connectTo(test);
	test.requests.splice(0);
	for (const piece of pieces) {
		socket.write(Buffer.from(piece, 'latin1'));
		await wait(1);
	}

	await wait(QUIET_MS);
	socket.destroy();
	return [...test.requests];
}

const HEAD = 'POST /a HTTP/1.1\r\nhost: a\r\n';
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const NEXT = 'GET /b HTTP/1.1\r\nhost: a\r\n\r\n';
const MANY_LINES = `GET /many HTTP/1.1\r\n${'ab:\r\n'.repeat(2500)}host: a\r\n\r\n`;

const SOUND_REQUESTS = {
	'without a body': NEXT,
	'with line breaks before it': `\r\n\r\n${NEXT}`,
	'of very many lines': MANY_LINES,
	'with a body of stated length': `${HEAD}content-length: 5\r\n\r\nhello`,
	'with a body in chunks': `${CHUNKED}5\r\nhello\r\n0006\r\n world\r\n0\r\n\r\n`,
	'with chunks of one byte': `${CHUNKED}${'1\r\na\r\n'.repeat(3000)}0\r\n\r\n`,
	'with extensions': `${CHUNKED}1;a=b\r\na\r\n1;a="b c"\r\nb\r\n0;c=d\r\n\r\n`,
	'with trailers': `${CHUNKED}1\r\na\r\n0\r\nx: y\r\nz: \r\n\r\n`,
	'with very many trailers': `${CHUNKED}1\r\na\r\n0\r\n${'a:\r\n'.repeat(2000)}\r\n`,
	'with bytes above 127': `${HEAD}x: \u00FF\t\u00E4\r\ncontent-length: 2\r\n\r\n\u00FF\0`,
	'that asks to go on': `${HEAD}expect: 100-continue\r\ncontent-length: 1\r\n\r\na`,
	'that offers another protocol without a body': 'GET /b HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n',
} as const;

const ODD_CHUNKS = ['1 \r\na', ' 1\r\na', '+1\r\na', '0x1\r\na', '1\na', '1\r\nab', '1;\r\na', '1; a\r\na', '10000000000000000\r\na', '\r\na', 'g\r\na', '1\r\ra'] as const;
const ODD_REQUESTS = [
	`${HEAD}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n${NEXT}`,
	`${HEAD}content-length: 5\r\ncontent-length: 5\r\n\r\nhello`,
	`${HEAD}content-length: 5\r\ncontent-length: 40\r\n\r\nhello`,
	`${HEAD}content-length: 5, 5\r\n\r\nhello`,
	...['+5', '-5', '0x5', '5 5', ' ', '', '5.0', '99999999999999999999'].map(length => `${HEAD}content-length: ${length}\r\n\r\nhello${NEXT}`),
	`${HEAD}content-length : 5\r\n\r\nhello${NEXT}`,
	`${HEAD} content-length: 5\r\n\r\nhello${NEXT}`,
	...['gzip', 'chunked, gzip', 'identity', 'xchunked', '"chunked"', 'chunked;a', 'chunked, chunked', '', '\vchunked'].map(coding => `${HEAD}transfer-encoding: ${coding}\r\n\r\n0\r\n\r\n${NEXT}`),
	`${HEAD}transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n\r\n0\r\n\r\n${NEXT}`,
	`${HEAD}transfer-encoding\r\n : chunked\r\n\r\n0\r\n\r\n${NEXT}`,
	...ODD_CHUNKS.map(chunk => `${CHUNKED}${chunk}\r\n0\r\n\r\n${NEXT}`),
	`${CHUNKED}1\r\na0\r\n\r\n${NEXT}`,
	`${CHUNKED}1\r\na\n0\r\n\r\n${NEXT}`,
	...['x y', 'x', ': y', 'x: \0', 'x: y\n', ' x: y', 'x: y\r', 'transfer-encoding: chunked', 'content-length: 3'].map(trailer => `${CHUNKED}1\r\na\r\n0\r\n${trailer}\r\n\r\n${NEXT}`),
	'GET /a HTTP/1.1\nhost: a\n\nGET /b HTTP/1.1\r\nhost: a\r\n\r\n',
	'GET /a HTTP/1.1\r\nhost: a\r\r\n\r\nGET /b HTTP/1.1\r\nhost: a\r\n\r\n',
	'GET /a HTTP/1.1\r\nhost: a\r\n\rGET /b HTTP/1.1\r\nhost: a\r\n\r\n',
	`GET /a HTTP/1.0\r\n\r\n${NEXT}`,
	`GET /a HTTP/1.0\r\nconnection: keep-alive\r\n\r\n${NEXT}`,
	`GET /a\r\n\r\n${NEXT}`,
	`GET /a HTTP/1.1\r\n\r\n${NEXT}`,
	`CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n${NEXT}`,
	`\0${NEXT}`,
] as const;

describe('requests read for the HTTP server', () => {
	const started = Promise.all([startServer({isGoverned: true}), startServer({isGoverned: false})]);

	after(async () => {
		for (const {server} of await started) {
			server.closeAllConnections();
			server.close();
		}
	});

	for (const [name, text] of Object.entries(SOUND_REQUESTS)) {
		it(`are those that it makes of the same bytes: one ${name}`, async () => {
			const [governed, plain] = await started;
			const whole = await sendPieces(plain, [text, NEXT]);
			assert.equal(whole.length, 2);
			assert.deepEqual(await sendPieces(governed, [text, NEXT]), whole);
			assert.deepEqual(await sendPieces(governed, [text + NEXT]), whole);
			const pieces = Array.from({length: 20}, (_, index) => text.slice(Math.ceil(index * text.length / 20), Math.ceil((index + 1) * text.length / 20)));
			assert.deepEqual(await sendPieces(governed, [...pieces.filter(piece => piece !== ''), NEXT]), whole);
			assert.deepEqual(governed.rejected, []);
		});
	}

	it('are none that it does not make of the same bytes, however odd their framing is', async () => {
		const [governed, plain] = await started;
		for (const text of ODD_REQUESTS) {
			const [seen, whole] = await Promise.all([sendPieces(governed, [text]), sendPieces(plain, [text])]);
			assert.deepEqual(seen, whole.slice(0, seen.length), JSON.stringify(text));
		}

		governed.rejected.splice(0);
	});

	it('are refused when their head or trailers are above the limit, before they are parsed', async () => {
		const [governed] = await started;
		for (const text of [`${HEAD}${'a:\r\n'.repeat(4100)}`, `GET /${'a'.repeat(17_000)}`, `${CHUNKED}0\r\n${'a:\r\n'.repeat(4100)}`]) {
			assert.deepEqual(await sendPieces(governed, [text]), []);
		}

		assert.deepEqual(governed.rejected.splice(0), ['HPE_HEADER_OVERFLOW', 'HPE_HEADER_OVERFLOW', 'HPE_HEADER_OVERFLOW']);
	});
});

describe('a connection whose request is not answered yet', () => {
	const started = startServer({isGoverned: true, holdsAnswers: true});

	after(async () => {
		const {server} = await started;
		server.closeAllConnections();
		server.close();
	});

	it('keeps what is sent ahead unparsed, bounded, and reads it in order once it is answered', async () => {
		const test = await started;
		const {socket, received} = await connectTo(test);
		const paths = Array.from({length: 30_000}, (_, index) => `/${index}`);
		socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`).join(''));
		await wait(QUIET_MS);
		assert.equal(test.requests.length, 1);
		const [held] = test.throttle!.listHeld();
		assert.ok(held!.heldBytes > 0 && held!.heldBytes < 140_000, `${held!.heldBytes} bytes`);
		for (let index = 0; index < 100; index += 1) {
			assert.equal(test.answers.length, 1);
			test.answers.shift()!();
			await wait(3);
		}

		assert.deepEqual(received.join('').match(/\/\d+(?=HTTP|$)/gv), paths.slice(0, 100));
		socket.destroy();
		test.requests.splice(0);
		test.answers.splice(0);
	});

	it('is seen to close while nothing was sent ahead', async () => {
		const test = await started;
		const accepted = new Promise<Socket>(resolve => {
			test.server.once('connection', resolve);
		});
		const {socket} = await connectTo(test);
		socket.write('GET /a HTTP/1.1\r\nhost: a\r\n\r\n\r\n');
		await wait(QUIET_MS);
		assert.equal(test.answers.length, 1);
		socket.end();
		await wait(QUIET_MS);
		const {readableEnded} = await accepted;
		assert.equal(readableEnded, true);
	});
});
