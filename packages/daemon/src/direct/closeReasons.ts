import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** Why an entry closes a connection of a caller. */
export const CLOSE_REASONS = {
	/** No whole answer follows what was sent of one. */
	refused: 'refused',
	/** The time limit of the call was over behind the begin of its answer. */
	expired: 'expired',
	/** The grace of a stop was over behind the begin of its answer. */
	graceEnded: 'graceEnded',
	/** Memory is short, and the caller does not read its answer. */
	memory: 'memory',
	/** More connections are open than may be. */
	connectionLimit: 'connectionLimit',
	/** The bytes are no request for the HTTP parser or the reader before it. */
	rejected: 'rejected',
	/** A body ends elsewhere for the HTTP parser. */
	otherEnd: 'otherEnd',
	/** A stop closes what is left. */
	stopping: 'stopping',
	unknown: 'unknown',
} as const;

export type CloseReason = typeof CLOSE_REASONS[keyof typeof CLOSE_REASONS];

/** Why a connection was closed, with the code of the error behind it if there is one. */
export type CloseCause = {readonly reason: CloseReason; readonly code?: string | undefined};

const causes = new WeakMap<Socket, CloseCause>();

/** Records why a connection is about to be closed. The first cause stays. */
export function recordCloseCause(socket: Socket, cause: CloseCause): void {
	if (!socket.destroyed && !causes.has(socket)) {
		causes.set(socket, cause);
	}
}

/** Closes a connection for both directions at once. */
export function destroyConnection(socket: Socket, cause: CloseCause): void {
	recordCloseCause(socket, cause);
	socket.destroy();
}

/**
 * Closes the connection of an answer that is not whole. Where its end is told by that of the connection, as to callers of
 * HTTP/1.0, the connection is reset, since the caller would take a proper close for the end of a whole answer.
 */
export function destroyAnswer(response: ServerResponse, cause: CloseCause): void {
	const {socket} = response;
	if (socket !== null) {
		recordCloseCause(socket, cause);
		if (response.headersSent && !response.chunkedEncoding) {
			socket.resetAndDestroy();
		}
	}

	response.destroy();
}

/** Returns why the entry closed a connection. */
export function findCloseCause(socket: Socket): CloseCause {
	return causes.get(socket) ?? {reason: CLOSE_REASONS.unknown};
}
