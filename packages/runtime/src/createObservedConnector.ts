import {type Socket} from 'node:net';
import {buildConnector} from 'undici';

/**
 * Creates a connector for the HTTP client. `onConnected` receives each new connection before the client does, with the
 * `ip:port` that it was opened to.
 */
export function createObservedConnector({timeoutMs, onConnected}: {readonly timeoutMs: number; readonly onConnected: (socket: Socket, address: string) => void}): buildConnector.connector {
	const connectSocket = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connectSocket(options, (...connectResult) => {
			const [error, socket] = connectResult;
			if (error === null) {
				onConnected(socket, `${options.hostname}:${options.port}`);
			}

			callback(...connectResult);
		});
	};
}
