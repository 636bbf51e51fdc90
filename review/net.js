/** Helpers for loopback addresses and bodies. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';

export const HOST = '127.0.0.1';

/** Listens at a free loopback port and returns `ip:port`. */
export async function listen(server, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, HOST, resolve);
	});
	return `${HOST}:${server.address().port}`;
}

/** Finds a port that nothing listens at. */
export async function findFreePort() {
	const server = createServer();
	const address = await listen(server);
	await new Promise(resolve => {
		server.close(resolve);
	});
	return Number(address.split(':')[1]);
}

/** Reads a whole body as text. */
export async function readText(stream) {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}
