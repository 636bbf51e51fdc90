import {type Socket} from 'node:net';

/**
 * Delays the end of answers that end with their connection. A target that closes a connection before it has read the
 * whole request ends it like one that has sent its whole answer; only the reset that follows for the rest of the request
 * tells the two apart.
 */
export type EndDelay = {
	/** @param socket - new connection, to which the HTTP client has not added its listeners yet */
	readonly watchSocket: (socket: Socket) => void;
	/**
	 * Delays the end of the connection whose bytes were just read, if it comes.
	 *
	 * @param untilMs - monotonic time after which it is not delayed any more
	 */
	readonly delayEnd: (untilMs: number) => void;
};

/** A connection, and the time until which its end may be delayed; undefined if it is not delayed. */
type DelayedConnection = {untilMs: number | undefined};

/** Time within which the reset of a closed connection arrives, also when a packet was lost once. Callers wait for it. */
const RESET_MS = 250;

/** Creates a delay for the connections of an entry to its targets. */
export function createEndDelay(): EndDelay {
	/** Connection whose bytes were read last. The HTTP client parses them before it reads those of another one. */
	let connectionRead: DelayedConnection = {untilMs: undefined};
	return {
		watchSocket(socket) {
			const connection: DelayedConnection = {untilMs: undefined};
			const readSocket = socket.read.bind(socket);
			const emit = socket.emit.bind(socket);
			socket.read = size => {
				connectionRead = connection;
				return readSocket(size) as unknown;
			};

			socket.emit = (event: string, ...eventArguments: unknown[]) => {
				const delayMs = event === 'end' && connection.untilMs !== undefined ? Math.min(RESET_MS, connection.untilMs - performance.now()) : 0;
				if (delayMs <= 0) {
					return emit(event, ...eventArguments);
				}

				// Otherwise Node.js ends its own side as well, and the rest of the request would be followed by an end.
				socket.allowHalfOpen = true;
				const timer = setTimeout(() => {
					emit('end');
				}, delayMs);
				socket.once('close', () => {
					clearTimeout(timer);
				});
				return true;
			};
		},
		delayEnd(untilMs) {
			connectionRead.untilMs = untilMs;
		},
	};
}
