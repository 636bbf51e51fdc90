import {type Socket} from 'node:net';
import {type buildConnector} from 'undici';
import {createObservedConnector} from '@damaskspool/runtime';

/** Distinguishes a response that ended with its connection from one whose connection was reset. */
export type ResetDetector = {
	/** Connector for pools; the detector observes the connections that it opens. */
	readonly connect: buildConnector.connector;
	/** Whether the current event loop iteration handles the reset of a connection. */
	readonly isHandlingReset: () => boolean;
};

/**
 * Creates a detector of connection resets. The HTTP client treats a response without
 * a length as complete when its connection is reset. The client's socket listener
 * runs after the one that is added here, in the same event loop iteration. When the
 * client reports the end of such a response, `isHandlingReset` is therefore true.
 *
 * @param options - `timeoutMs` is the connect timeout; `onConnected` receives each new connection
 */
export function createResetDetector({timeoutMs, onConnected}: {timeoutMs: number; onConnected?: (socket: Socket) => void}): ResetDetector {
	let isHandling = false;
	const recordReset = () => {
		isHandling = true;
		setImmediate(() => {
			isHandling = false;
		});
	};

	return {
		connect: createObservedConnector({
			timeoutMs, onConnected(socket) {
				onConnected?.(socket);
				socket.on('error', recordReset);
				socket.on('end', () => {
					// A reset that arrives together with the last bytes is reported as `end`, but the socket has no remote address any more.
					if (socket.remoteAddress === undefined) {
						recordReset();
					}
				});
			},
		}),
		isHandlingReset: () => isHandling,
	};
}
