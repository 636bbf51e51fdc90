import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** Connections of callers with the requests on them that are not answered yet. */
export type ConnectionTracker = {
	readonly recordConnection: (socket: Socket) => void;
	/** Records a request from its head on, until its answer has been handed to the operating system or its connection is gone. */
	readonly recordRequest: (response: ServerResponse, socket: Socket, requestId: string) => void;
	/** Records that the body of a request is complete. */
	readonly recordComplete: (response: ServerResponse) => void;
	/** Records that a request was passed to the reducer. */
	readonly recordCall: (response: ServerResponse) => void;
	/** Counts the connections that are open, and those of them that have sent part of a request. */
	readonly describeOpen: () => {readonly openConnections: number; readonly partialRequests: number};
	/** Returns the number of requests that are being read or answered. */
	readonly countRequests: () => number;
	/** Returns the number of requests on a connection that are being read or answered. */
	readonly countOpen: (socket: Socket) => number;
	/** Returns the connections that have sent more than so many bytes since their last request, which are no request. */
	readonly listUnproductive: (maxBytes: number) => readonly Socket[];
	/** Runs a task once no request of a connection is being read or answered. */
	readonly runOnceAnswered: (socket: Socket, task: () => void) => void;
	/** Whether a connection closes behind an answer, and its caller has been told so. What comes on it from then on is not taken. */
	readonly isClosing: (socket: Socket) => boolean;
	/** Counts the connections that were closed and may still deliver the end of an answer. */
	readonly countLingering: () => number;
	/** From now on, each connection closes behind the answers to the requests that it carries. */
	readonly beginStop: () => void;
	/** Closes the connections without a request, also without part of one. */
	readonly closeIdle: () => void;
};

/** How far a request had come when its connection closed. */
export const REQUEST_STAGES = {
	/** Its body was being read. */
	reading: 'reading',
	/** It was complete and waited to become a call. */
	waiting: 'waiting',
	/** It was a call. */
	called: 'called',
	/** Its answer was complete, and not handed to the operating system. */
	answered: 'answered',
} as const;

export type RequestStage = typeof REQUEST_STAGES[keyof typeof REQUEST_STAGES];

/** A request whose connection closed before its whole answer was handed to the operating system. */
export type CutRequest = {
	readonly requestId: string;
	readonly stage: RequestStage;
	/** `caller` if the caller ended or reset its side, `entry` otherwise. */
	readonly closedBy: 'caller' | 'entry';
	/** Code of the error of the connection, if there was one. */
	readonly errorCode: string | undefined;
	readonly isHeadSent: boolean;
	/** Bytes of the answer that the operating system took, and those that it did not. */
	readonly sentBytes: number;
	readonly unsentBytes: number;
};

/** Options of {@link createConnectionTracker}. */
export type ConnectionTrackerOptions = {
	readonly onCut: (request: CutRequest) => void;
};

/** Bytes that a connection had received when its last request was answered, and the requests on it since then. */
type TrackedConnection = {
	answeredBytes: number;
	openRequests: number;
	/** Response to the request that came last. */
	lastResponse: ServerResponse | undefined;
	taskOnceAnswered?: () => void;
	isEndedByCaller: boolean;
	isLingering: boolean;
	errorCode: string | undefined;
};
type TrackedRequest = {stage: RequestStage};

/**
 * Time from the end of the sending side of a connection until it is closed. What a caller sends to a closed connection
 * resets it, and a reset discards the end of the answer on its way.
 */
const LINGER_MS = 300;

/** Codes of errors that a caller causes by closing its connection. */
const CALLER_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

/**
 * Creates an empty tracker. The server's own count of idle connections is not enough for a stop: it includes those whose
 * answer was written but not read by a slow caller.
 */
export function createConnectionTracker({onCut}: ConnectionTrackerOptions): ConnectionTracker {
	const connections = new Map<Socket, TrackedConnection>();
	const requests = new Map<ServerResponse, TrackedRequest>();
	let lingeringCount = 0;
	let isStopping = false;

	/** Ends the sending side of a connection, reads nothing more, and closes it after a while. */
	const closeLingering = (socket: Socket, connection: TrackedConnection) => {
		if (connection.isLingering || socket.destroyed) {
			return;
		}

		connection.isLingering = true;
		lingeringCount += 1;
		socket.end();
		stopReading(socket);
		const timer = setTimeout(() => {
			socket.destroy();
		}, LINGER_MS);
		socket.on('close', () => {
			lingeringCount -= 1;
			clearTimeout(timer);
		});
	};

	return {
		recordConnection(socket) {
			const connection: TrackedConnection = {
				answeredBytes: 0, openRequests: 0, lastResponse: undefined, isEndedByCaller: false, isLingering: false, errorCode: undefined,
			};
			connections.set(socket, connection);
			const destroySoon = socket.destroySoon.bind(socket);
			// The HTTP server calls this behind an answer that announces the close.
			socket.destroySoon = () => {
				if (isStopping) {
					closeLingering(socket, connection);
				} else {
					destroySoon();
				}
			};

			socket.on('end', () => {
				connection.isEndedByCaller = true;
			});
			socket.on('error', ({code}: NodeJS.ErrnoException) => {
				connection.errorCode = code;
			});
			socket.on('close', () => {
				connections.delete(socket);
			});
		},
		recordRequest(response, socket, requestId) {
			const connection = connections.get(socket);
			if (connection === undefined) {
				return;
			}

			const request: TrackedRequest = {stage: REQUEST_STAGES.reading};
			const sentBefore = socket.bytesWritten;
			connection.openRequests += 1;
			requests.set(response, request);
			const {lastResponse} = connection;
			if (isStopping && lastResponse !== undefined && !lastResponse.headersSent) {
				// The connection closes behind the last answer on it.
				lastResponse.shouldKeepAlive = true;
			}

			connection.lastResponse = response;
			response.on('close', () => {
				requests.delete(response);
				if (!response.writableFinished) {
					onCut({
						requestId,
						stage: response.writableEnded ? REQUEST_STAGES.answered : request.stage,
						closedBy: connection.isEndedByCaller || CALLER_ERROR_CODES.has(connection.errorCode ?? '') ? 'caller' : 'entry',
						errorCode: connection.errorCode,
						isHeadSent: response.headersSent,
						sentBytes: socket.bytesWritten - socket.writableLength - sentBefore,
						unsentBytes: socket.writableLength,
					});
				}

				connection.openRequests -= 1;
				connection.lastResponse = connection.lastResponse === response ? undefined : connection.lastResponse;
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
		recordComplete(response) {
			const request = requests.get(response);
			if (request !== undefined) {
				request.stage = REQUEST_STAGES.waiting;
			}
		},
		recordCall(response) {
			const request = requests.get(response);
			if (request !== undefined) {
				request.stage = REQUEST_STAGES.called;
			}
		},
		describeOpen: () => ({
			openConnections: connections.size,
			partialRequests: [...connections].filter(([socket, {answeredBytes, openRequests}]) => openRequests === 0 && socket.bytesRead > answeredBytes).length,
		}),
		countRequests: () => requests.size,
		countOpen: socket => connections.get(socket)?.openRequests ?? 0,
		listUnproductive: maxBytes => [...connections].filter(([socket, {answeredBytes, openRequests}]) =>
			openRequests === 0 && socket.bytesRead - answeredBytes > maxBytes).map(([socket]) => socket),
		runOnceAnswered(socket, task) {
			const connection = connections.get(socket);
			if (connection !== undefined) {
				connection.taskOnceAnswered = task;
			}
		},
		isClosing(socket) {
			const connection = connections.get(socket);
			const response = connection?.lastResponse;
			return connection?.isLingering === true || (response?.headersSent === true && !response.shouldKeepAlive);
		},
		countLingering: () => lingeringCount,
		beginStop() {
			isStopping = true;
			for (const {lastResponse} of connections.values()) {
				// Has no effect on an answer whose head is sent.
				if (lastResponse?.headersSent === false) {
					lastResponse.shouldKeepAlive = false;
				}
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

/** Reads nothing more at once. A stream that is paused still reads until its buffer is full. */
function stopReading(socket: Socket): void {
	socket.pause();
	(socket as Socket & {readonly _handle?: {readonly readStop: () => void} | null})._handle?.readStop();
}
