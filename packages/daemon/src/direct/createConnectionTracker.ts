import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** Connections of callers with the requests on them that are not answered yet. */
export type ConnectionTracker = {
	readonly recordConnection: (socket: Socket) => void;
	/** Records a request from its head on, until its answer has been handed to the operating system or its connection is gone. */
	readonly recordRequest: (response: ServerResponse, socket: Socket) => void;
	/** Returns the number of requests that are being read or answered. */
	readonly countRequests: () => number;
	/** Returns the number of requests on a connection that are being read or answered. */
	readonly countOpen: (socket: Socket) => number;
	/** Returns the connections that have sent more than so many bytes since their last request, which are no request. */
	readonly listUnproductive: (maxBytes: number) => readonly Socket[];
	/** Runs a task once no request of a connection is being read or answered. */
	readonly runOnceAnswered: (socket: Socket, task: () => void) => void;
	/** From now on, each connection closes behind the answers to the requests that it carries. */
	readonly beginStop: () => void;
	/** Closes the connections without a request, also without part of one. */
	readonly closeIdle: () => void;
};

/** Bytes that a connection had received when its last request was answered, and the requests on it since then. */
type TrackedConnection = {answeredBytes: number; openRequests: number; taskOnceAnswered?: () => void};

/**
 * Creates an empty tracker. The server's own count of idle connections is not enough for a stop: it includes those whose
 * answer was written but not read by a slow caller.
 */
export function createConnectionTracker(): ConnectionTracker {
	const connections = new Map<Socket, TrackedConnection>();
	const responses = new Set<ServerResponse>();
	let isStopping = false;
	return {
		recordConnection(socket) {
			connections.set(socket, {answeredBytes: 0, openRequests: 0});
			socket.on('close', () => {
				connections.delete(socket);
			});
		},
		recordRequest(response, socket) {
			const connection = connections.get(socket);
			if (connection === undefined) {
				return;
			}

			connection.openRequests += 1;
			responses.add(response);
			response.on('close', () => {
				responses.delete(response);
				connection.openRequests -= 1;
				connection.answeredBytes = socket.bytesRead;
				// The head of an answer that began before the stop does not announce it.
				if (connection.openRequests === 0) {
					connection.taskOnceAnswered?.();
					if (isStopping) {
						socket.destroySoon();
					}
				}
			});
		},
		countRequests: () => responses.size,
		countOpen: socket => connections.get(socket)?.openRequests ?? 0,
		listUnproductive: maxBytes => [...connections].filter(([socket, {answeredBytes, openRequests}]) =>
			openRequests === 0 && socket.bytesRead - answeredBytes > maxBytes).map(([socket]) => socket),
		runOnceAnswered(socket, task) {
			const connection = connections.get(socket);
			if (connection !== undefined) {
				connection.taskOnceAnswered = task;
			}
		},
		beginStop() {
			isStopping = true;
			for (const response of responses) {
				// Has no effect on an answer whose head is sent.
				response.shouldKeepAlive = false;
			}
		},
		closeIdle() {
			for (const [socket, {answeredBytes, openRequests}] of connections) {
				if (openRequests === 0 && socket.bytesRead === answeredBytes) {
					socket.destroySoon();
				}
			}
		},
	};
}
