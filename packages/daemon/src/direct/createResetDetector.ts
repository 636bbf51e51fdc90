import {buildConnector} from 'undici';

/** Tells an answer that ended with its connection from one whose connection was reset. */
export type ResetDetector = {
	/** Connector for pools whose connections are watched. */
	readonly connect: buildConnector.connector;
	/** Whether what is told now follows from the reset of a connection. */
	readonly isHandlingReset: () => boolean;
};

/**
 * Creates a watch. The client takes an answer without a length as complete when
 * its connection is reset; its listener runs after the one set here, in the
 * same turn, so that the end of such an answer can be told apart.
 *
 * @param options - time to connect
 * @returns the watch
 */
export function createResetDetector({timeoutMs}: {timeoutMs: number}): ResetDetector {
	const connectSocket = buildConnector({timeout: timeoutMs});
	let isHandling = false;
	const recordReset = () => {
		isHandling = true;
		setImmediate(() => {
			isHandling = false;
		});
	};

	return {
		connect(options, callback) {
			connectSocket(options, (...connectResult) => {
				const socket = connectResult[1];
				socket?.on('error', recordReset);
				socket?.on('end', () => {
					// A reset that comes together with the last bytes is told as an end, but leaves no peer behind.
					if (socket.remoteAddress === undefined) {
						recordReset();
					}
				});
				callback(...connectResult);
			});
		},
		isHandlingReset: () => isHandling,
	};
}
