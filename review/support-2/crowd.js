/**
 * Consumers that each send one long body in small chunks, a process of its own. Its argument is JSON: `host`, `port`, `hostName`, `key`, `path`,
 * `count`, `bodyBytes`, `chunkBytes`, `lastAfterMs` until a consumer sends its last chunk, and `deadlineMs`. A consumer that is refused comes back
 * on a new channel after the time that it is told, three times at most. Prints a line of JSON with the answers when all have ended.
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';

const {
	host, port, hostName, key, path, count, bodyBytes, chunkBytes, lastAfterMs, deadlineMs,
} = JSON.parse(process.argv[2]);
const MAX_TRIES = 4;
const CHUNK = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
const CHUNKS = Buffer.from(CHUNK.repeat(Math.floor(bodyBytes / chunkBytes) - 1));
const LAST = `${CHUNK}0\r\n\r\n`;
const answers = {};

/** Sends one request and returns the head of the answer. */
async function send(requestId) {
	return new Promise(resolve => {
		const socket = connect(port, host);
		let text = '';
		let timer;
		socket.on('connect', () => {
			const lines = [`Host: ${hostName}`, `Authorization: Bearer ${key}`, `X-Request-Id: ${requestId}`, `X-Deadline-Ms: ${deadlineMs}`, 'Transfer-Encoding: chunked'];
			socket.write(`POST ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`);
			socket.write(CHUNKS);
			timer = setTimeout(() => {
				socket.write(LAST);
			}, lastAfterMs);
		});
		const end = () => {
			clearTimeout(timer);
			socket.destroy();
			resolve(text);
		};

		socket.on('data', bytes => {
			text += bytes.toString('latin1');
			if (text.includes('\r\n\r\n')) {
				end();
			}
		});
		socket.on('error', end).on('close', end);
	});
}

async function runConsumer(index) {
	for (let number = 1; number <= MAX_TRIES; number += 1) {
		const head = await send(`c0${index.toString(16).padStart(4, '0')}${number}`);
		const status = Number(/^HTTP\/1\.1 (?<status>\d{3})/v.exec(head)?.groups?.status ?? 0);
		answers[status] = (answers[status] ?? 0) + 1;
		if (status !== 503 && status !== 429) {
			return;
		}

		const retryAfterS = Number(/retry-after: (?<seconds>[\d.]+)/iv.exec(head)?.groups?.seconds ?? 1);
		await wait(retryAfterS * 1000);
	}
}

await Promise.all(Array.from({length: count}, async (_, index) => runConsumer(index)));
process.stdout.write(`${JSON.stringify(answers)}\n`);
