import {connect} from 'node:net';

/** A connection to a target on which nothing is sent. It shows that the process of the target lives. */
export type SilentConnection = {
	readonly isHeld: () => boolean;
	/**
	 * Finds out whether the connection stays open.
	 *
	 * @param waitMs - time within which its end would arrive
	 * @returns whether it was open and still is
	 */
	readonly checkStaysOpen: (waitMs: number) => Promise<boolean>;
	/** Closes the connection without a call of `onLost`. */
	readonly destroy: () => void;
};

/** How a silent connection was lost. All are false if it was not accepted in time. */
export type ConnectionLoss = {
	/** Whether it was open. */
	readonly wasHeld: boolean;
	/** Whether it was reset. A target that stops listening resets those that it has not accepted yet. */
	readonly wasReset: boolean;
	readonly isRefused: boolean;
};

/** Options of {@link createSilentConnection}. */
export type SilentConnectionOptions = {
	/** `ip:port` */
	readonly address: string;
	/** Called once when the connection fails or ends. */
	readonly onLost: (loss: ConnectionLoss) => void;
};

/** Time for a target to accept or refuse the connection: many round trips. */
const CONNECT_TIMEOUT_MS = 400;

/** Opens a silent connection. */
export function createSilentConnection({address, onLost}: SilentConnectionOptions): SilentConnection {
	const [host = '', port = ''] = address.split(':');
	const socket = connect({host, port: Number(port), timeout: CONNECT_TIMEOUT_MS});
	const closeListeners = new Set<() => void>();
	let isHeld = false;
	let isEnded = false;

	const destroy = () => {
		isEnded = true;
		isHeld = false;
		socket.destroy();
		for (const settle of closeListeners) {
			settle();
		}
	};

	const end = (code?: string) => {
		if (!isEnded) {
			const wasHeld = isHeld;
			destroy();
			onLost({wasHeld, wasReset: wasHeld && code === 'ECONNRESET', isRefused: code === 'ECONNREFUSED'});
		}
	};

	socket.unref();
	socket.on('connect', () => {
		isHeld = !isEnded;
		socket.setTimeout(0);
		socket.resume();
	});
	socket.on('error', ({code}: NodeJS.ErrnoException) => {
		end(code);
	});
	for (const eventName of ['timeout', 'end', 'close']) {
		socket.on(eventName, () => {
			end();
		});
	}

	return {
		isHeld: () => isHeld,
		async checkStaysOpen(waitMs) {
			if (!isHeld) {
				return false;
			}

			return new Promise(resolve => {
				const settle = (isOpen: boolean) => {
					clearTimeout(timer);
					closeListeners.delete(settleClosed);
					resolve(isOpen);
				};

				const settleClosed = () => {
					settle(false);
				};

				const timer = setTimeout(() => {
					// What has arrived while the process stood still is read first.
					setImmediate(settle, true);
				}, waitMs);
				closeListeners.add(settleClosed);
			});
		},
		destroy,
	};
}
