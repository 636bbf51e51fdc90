import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import {type StandIn} from '../serveJson.js';

/** Fault that the proxy injects into its connections. */
export type ProxyFault
	= | {readonly kind: 'none'}
	/** Closes every open connection, and each new one at once. */
		| {readonly kind: 'cut'}
	/** Delays every chunk in both directions. */
		| {readonly kind: 'delay'; readonly delayMs: number}
	/** Limits the bytes that each connection carries in a direction. */
		| {readonly kind: 'throttle'; readonly bytesPerSecond: number}
	/** Discards the data that the client sends. */
		| {readonly kind: 'loseRequests'}
	/** Discards the data that the destination sends. */
		| {readonly kind: 'loseReplies'}
	/** Discards the data of both sides and does not forward the end of a connection. */
		| {readonly kind: 'silence'}
	/** Resets every open connection, and each new one. */
		| {readonly kind: 'reset'}
	/** Forwards requests and closes the connection when the reply begins. */
		| {readonly kind: 'breakOnReply'};

/** A running fault-injecting proxy. */
export type FaultProxy = StandIn & {
	readonly setFault: (fault: ProxyFault) => void;
	/** Makes the open connections deliver nothing more, without closing them. New connections work. */
	readonly silenceOpenConnections: () => void;
	/** Ends like a process that crashes, until {@link resume} is called: resets or closes every open connection and refuses new ones. */
	readonly crash: (options?: {readonly isReset?: boolean}) => void;
	/** Refuses new connections until {@link resume} is called. The open ones stay. */
	readonly stopListening: () => void;
	/** Listens again at the same address, unless the proxy was closed meanwhile. */
	readonly resume: () => Promise<void>;
};

type Direction = 'request' | 'reply';

/** Action on a chunk, by fault and direction. */
const CHUNK_ACTIONS: Readonly<Record<ProxyFault['kind'], Readonly<Record<Direction, 'pass' | 'lose' | 'silence' | 'break'>>>> = {
	none: {request: 'pass', reply: 'pass'},
	cut: {request: 'break', reply: 'break'},
	delay: {request: 'pass', reply: 'pass'},
	throttle: {request: 'pass', reply: 'pass'},
	loseRequests: {request: 'lose', reply: 'pass'},
	loseReplies: {request: 'pass', reply: 'lose'},
	silence: {request: 'silence', reply: 'silence'},
	reset: {request: 'break', reply: 'break'},
	breakOnReply: {request: 'pass', reply: 'break'},
};

/**
 * Starts a TCP proxy on loopback whose fault can be set while it runs. It starts
 * without a fault.
 *
 * @param destinationAddress - `ip:port` to which connections are forwarded
 */
export async function createFaultProxy(destinationAddress: string): Promise<FaultProxy> {
	const sockets = new Set<Socket>();
	const silentSockets = new WeakSet<Socket>();
	const [host, port] = destinationAddress.split(':');
	let fault: ProxyFault = {kind: 'none'};
	let isClosed = false;

	const forward = (from: Socket, to: Socket, direction: Direction) => {
		sockets.add(from);
		const resolveAction = () => silentSockets.has(from) ? 'silence' : CHUNK_ACTIONS[fault.kind][direction];
		from.on('data', chunk => {
			const action = resolveAction();
			if (action === 'break') {
				from.destroy();
				to.destroy();
			} else if (action === 'pass' && fault.kind === 'delay') {
				setTimeout(() => {
					to.write(chunk);
				}, fault.delayMs);
			} else if (action === 'pass' && fault.kind === 'throttle') {
				from.pause();
				setTimeout(() => {
					to.write(chunk);
					from.resume();
				}, 1000 * chunk.length / fault.bytesPerSecond);
			} else if (action === 'pass' && !to.write(chunk)) {
				from.pause();
				to.once('drain', () => {
					from.resume();
				});
			}
		});
		from.on('end', () => {
			if (resolveAction() === 'silence') {
				return;
			}

			// The end is sent after every chunk that is still delayed.
			setTimeout(() => {
				to.end();
			}, fault.kind === 'delay' ? fault.delayMs : 0);
		});
		from.on('error', () => {
			to.destroy();
		});
		from.on('close', () => {
			sockets.delete(from);
			if (from.errored !== null || fault.kind === 'cut') {
				to.destroy();
			}
		});
	};

	const server = createServer(client => {
		if (fault.kind === 'cut') {
			client.destroy();
			return;
		}

		if (fault.kind === 'reset') {
			client.resetAndDestroy();
			return;
		}

		const destination = connect(Number(port), host);
		forward(client, destination, 'request');
		forward(destination, client, 'reply');
	});
	const destroyAll = () => {
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	const resetAll = () => {
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}
	};

	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port: ownPort} = server.address() as AddressInfo;
	return {
		address: `127.0.0.1:${ownPort}`,
		setFault(next) {
			fault = next;
			if (next.kind === 'cut') {
				destroyAll();
			} else if (next.kind === 'reset') {
				resetAll();
			}
		},
		silenceOpenConnections() {
			for (const socket of sockets) {
				silentSockets.add(socket);
			}
		},
		crash({isReset = true} = {}) {
			server.close();
			if (isReset) {
				resetAll();
			} else {
				destroyAll();
			}
		},
		stopListening() {
			server.close();
		},
		async resume() {
			if (!isClosed && !server.listening) {
				server.listen(ownPort, '127.0.0.1');
				await once(server, 'listening');
			}
		},
		async close() {
			isClosed = true;
			destroyAll();
			if (server.listening) {
				const closed = once(server, 'close');
				server.close();
				await closed;
			}
		},
	};
}
