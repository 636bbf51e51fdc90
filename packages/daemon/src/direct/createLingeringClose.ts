import {type Socket} from 'node:net';

/** Closes a connection so that the answer that was written last reaches its caller. */
export type LingeringClose = {
	/** Records that an answer was handed to the operating system. */
	readonly recordAnswer: () => void;
	/** Tells whether the last answer may still be on its way to its caller. */
	readonly isLingering: () => boolean;
};

/**
 * Time from an answer until its connection may be closed for both directions. The operating system resets a closed connection
 * on which bytes arrive or were not read, and drops what it has not delivered: a network with delay needs this time for that.
 */
export const LINGER_MS = 1000;

/**
 * Takes over how a connection is closed behind an answer that announces it: its sending side ends at once, and the rest
 * closes when its caller closes or after {@link LINGER_MS}.
 */
export function createLingeringClose(socket: Socket): LingeringClose {
	let answeredAtMs = Number.NEGATIVE_INFINITY;
	let timer: NodeJS.Timeout | undefined;

	// The HTTP server calls this behind an answer that announces the end of its connection.
	socket.destroySoon = () => {
		if (timer !== undefined || socket.destroyed) {
			return;
		}

		answeredAtMs = performance.now();
		socket.end();
		timer = setTimeout(() => {
			socket.destroy();
		}, LINGER_MS);
	};

	socket.on('close', () => {
		clearTimeout(timer);
	});
	return {
		recordAnswer() {
			answeredAtMs = performance.now();
		},
		isLingering: () => performance.now() - answeredAtMs < LINGER_MS && !socket.destroyed,
	};
}
