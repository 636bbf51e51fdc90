import {type AddressInfo, createServer, type Socket} from 'node:net';
import {type TestContext} from 'node:test';

/** Listens like a target and keeps what connects to it, until the end of a test. */
export async function startListeningTarget(context: TestContext) {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.resume();
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const closeSockets = () => {
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	context.after(() => {
		closeSockets();
		server.close();
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets, server, closeSockets,
	};
}
