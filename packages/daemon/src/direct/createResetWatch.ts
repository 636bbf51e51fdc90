import {buildConnector} from 'undici';

/** Tells an answer that ended with its connection from one whose connection was reset. */
export type ResetWatch = {
	/** Connector for pools whose connections are watched. */
	readonly connect: buildConnector.connector;
	/** Whether what is told now follows from the reset of a connection. */
	readonly isResetUnderWay: () => boolean;
};

/**
 * Creates a watch. The client takes an answer without a length as complete when
 * its connection is reset; its listener runs after the one set here, in the
 * same turn, so that the end of such an answer can be told apart.
 *
 * @param options - time to connect
 * @returns the watch
 */
export function createResetWatch({timeoutMs}: {timeoutMs: number}): ResetWatch {
	const connectPlainly = buildConnector({timeout: timeoutMs});
	let isUnderWay = false;
	return {
		connect(options, callback) {
			connectPlainly(options, (...outcome) => {
				outcome[1]?.on('error', () => {
					isUnderWay = true;
					setImmediate(() => {
						isUnderWay = false;
					});
				});
				callback(...outcome);
			});
		},
		isResetUnderWay: () => isUnderWay,
	};
}
