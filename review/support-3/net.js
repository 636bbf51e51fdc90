/** Small helpers for sockets. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';

/** Listens on a free loopback port. Returns `ip:port`. */
export async function listen(server, host = '127.0.0.1') {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	});
	return `${host}:${server.address().port}`;
}

/** Ports below those that the operating system gives to outgoing connections. */
const MIN_PORT = 12_000;
const MAX_PORT = 32_000;

/** Finds a loopback port that is free now. */
export async function findFreePort() {
	for (;;) {
		const port = MIN_PORT + Math.floor(Math.random() * (MAX_PORT - MIN_PORT));
		const server = createServer();
		const isFree = await new Promise(resolve => {
			server.once('error', () => {
				resolve(false);
			});
			server.listen(port, '127.0.0.1', () => {
				server.close(() => {
					resolve(true);
				});
			});
		});
		if (isFree) {
			return port;
		}
	}
}

/** Reads the body of a message as text. */
export async function readBody(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}
