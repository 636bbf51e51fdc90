import {connect} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';

/** Default wait before the connection is opened: the process of a crashed target may still be ending. */
const PROBE_DELAY_MS = 50;
/** Time for a target to accept or refuse the connection: many round trips. */
const PROBE_TIMEOUT_MS = 400;
/** Errors with which the instance of a target refuses a connection because no process listens. */
const REFUSING_CODES: ReadonlySet<string | undefined> = new Set(['ECONNREFUSED', 'ECONNRESET']);

/**
 * Checks whether a target accepts connections. Sends nothing.
 *
 * @param address - `ip:port`
 * @param options - `delayMs` is the wait before the connection is opened
 * @returns undefined if the connection was neither accepted nor refused in time
 */
export async function probeTarget(address: string, {delayMs = PROBE_DELAY_MS}: {delayMs?: number} = {}): Promise<boolean | undefined> {
	const [host = '', port = ''] = address.split(':');
	await wait(delayMs);
	return new Promise(resolve => {
		const socket = connect({host, port: Number(port), timeout: PROBE_TIMEOUT_MS});
		const settle = (isListening: boolean | undefined) => {
			resolve(isListening);
			socket.destroy();
		};

		socket.on('connect', () => {
			settle(true);
		});
		socket.on('timeout', () => {
			settle(undefined);
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			settle(REFUSING_CODES.has(error.code) ? false : undefined);
		});
	});
}
