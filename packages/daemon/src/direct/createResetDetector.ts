import {type Socket} from 'node:net';
import {type buildConnector} from 'undici';
import {createObservedConnector} from '@damaskspool/runtime';

/** Distinguishes a response that ended with its connection from one whose connection was reset. */
export type ResetDetector = {
	/** Connector for pools; the detector observes the connections that it opens. */
	readonly connect: buildConnector.connector;
	/** Whether the connection whose end is being handled was reset. */
	readonly isHandlingReset: () => boolean;
};

/** Beginning of the codes of errors with which the HTTP client itself closes a connection, also behind a whole response. */
const CLIENT_ERROR_PREFIX = 'UND_ERR';

/**
 * Creates a detector of connection resets. The HTTP client treats a response without
 * a length as complete when its connection is reset. The client's listeners of a socket
 * run after those that are added here, for the same event. When the client reports the
 * end of such a response, the connection that was seen last is therefore its own.
 *
 * @param options - `timeoutMs` is the connect timeout; `onConnected` receives each new connection
 */
export function createResetDetector({timeoutMs, onConnected}: {timeoutMs: number; onConnected?: (socket: Socket, address: string) => void}): ResetDetector {
	let isHandling = false;

	return {
		connect: createObservedConnector({
			timeoutMs, onConnected(socket, address) {
				let wasReset = false;
				onConnected?.(socket, address);
				socket.on('error', ({code = ''}: NodeJS.ErrnoException) => {
					wasReset ||= !code.startsWith(CLIENT_ERROR_PREFIX);
					isHandling = wasReset;
				});
				socket.on('end', () => {
					// A reset that arrives together with the last bytes, or behind them, is reported as `end`, but the socket has no
					// remote address any more. Node.js keeps an address that was asked for before.
					wasReset ||= socket.remoteAddress === undefined;
					isHandling = wasReset;
				});
				socket.on('close', () => {
					isHandling = wasReset;
				});
			},
		}),
		isHandlingReset: () => isHandling,
	};
}
