import {buildConnector} from 'undici';
import {type ReadGovernor} from './createReadGovernor.js';
import {governSocket} from './governSocket.js';

/** Creates a connector for the HTTP client whose connections are read within the time that the governor allows. */
export function createGovernedConnector({readGovernor, timeoutMs}: {readonly readGovernor: ReadGovernor; readonly timeoutMs: number}): buildConnector.connector {
	const connectSocket = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connectSocket(options, (...connectResult) => {
			const [error, socket] = connectResult;
			if (error === null) {
				governSocket(socket, readGovernor);
			}

			callback(...connectResult);
		});
	};
}
