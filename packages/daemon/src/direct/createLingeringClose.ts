import {type Socket} from 'node:net';

/** Closes a connection so that the answer that was written last reaches its caller. */
export type LingeringClose = {
	/** Records that an answer was handed to the operating system. */
	readonly recordAnswer: () => void;
	/** Closes the connection although its caller does not expect that and may send another request. */
	readonly close: () => void;
	readonly isLingering: () => boolean;
};

/**
 * Time from an answer until its connection is closed for both directions. The operating system resets a closed connection
 * on which bytes arrive or were not read, and drops what it has not delivered: a network with delay needs this time for that.
 */
export const LINGER_MS = 1000;

/**
 * Takes over how a connection is closed: its sending side ends at once, and the rest closes when its caller closes or after
 * {@link LINGER_MS}. A request that crosses an unexpected close is not read, so that its caller knows that it has not run.
 */
export function createLingeringClose(socket: Socket): LingeringClose {
	const closeAtOnce = socket.destroySoon.bind(socket);
	let answeredAtMs = Number.NEGATIVE_INFINITY;
	let timer: NodeJS.Timeout | undefined;

	const linger = () => {
		if (timer !== undefined || socket.destroyed) {
			return;
		}

		const leftMs = LINGER_MS - (performance.now() - answeredAtMs);
		if (leftMs <= 0) {
			closeAtOnce();
			return;
		}

		socket.end();
		timer = setTimeout(() => {
			socket.destroy();
		}, leftMs);
	};

	// The HTTP server calls this behind an answer that announces the end of its connection.
	socket.destroySoon = () => {
		answeredAtMs = performance.now();
		linger();
	};

	socket.on('close', () => {
		clearTimeout(timer);
	});
	return {
		recordAnswer() {
			answeredAtMs = performance.now();
		},
		close() {
			socket.pause();
			linger();
		},
		isLingering: () => timer !== undefined && !socket.destroyed,
	};
}
