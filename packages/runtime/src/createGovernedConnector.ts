import {type buildConnector} from 'undici';
import {createObservedConnector} from './createObservedConnector.js';
import {type ReadGovernor} from './createReadGovernor.js';
import {governSocket} from './governSocket.js';

/** Creates a connector for the HTTP client whose connections are read within the time that the governor allows. */
export function createGovernedConnector({readGovernor, timeoutMs}: {readonly readGovernor: ReadGovernor; readonly timeoutMs: number}): buildConnector.connector {
	return createObservedConnector({
		timeoutMs, onConnected(socket) {
			governSocket(socket, readGovernor);
		},
	});
}
