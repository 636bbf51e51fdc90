import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {CONNECTION_STAGES, type ConnectionStage} from '@damaskspool/core';
import {type CloseCause, type CloseReason, findCloseCause} from './closeReasons.js';
import {createLingeringClose, type LingeringClose} from './createLingeringClose.js';
import {type RequestReader} from './createRequestReader.js';

/** Connections of callers with the requests on them that are not answered yet. */
export type ConnectionTracker = {
	readonly recordConnection: (socket: Socket, reader: UnparsedReader) => void;
	/** Records a request from its head on, until its answer has been handed to the operating system or its connection is gone. */
	readonly recordRequest: (response: ServerResponse, socket: Socket, requestId: string) => void;
	/** Records that the body of a request is complete. */
	readonly recordComplete: (response: ServerResponse) => void;
	/** Records that a request was passed to the reducer. */
	readonly recordCall: (response: ServerResponse) => void;
	/** Records that the caller of a request has ended its sending side, so that its answer is given up. */
	readonly recordAbandoned: (response: ServerResponse) => void;
	/** Counts the connections that are open, and those of them that have sent part of a request. */
	readonly describeOpen: () => {readonly openConnections: number; readonly partialRequests: number};
	/** Returns the open connections with how far their requests have come. */
	readonly listOpen: () => readonly OpenConnection[];
	readonly listSockets: () => Iterable<Socket>;
	readonly countConnections: () => number;
	/** Returns the answers to requests of a connection whose bodies are being read. */
	readonly listReading: (socket: Socket) => readonly ServerResponse[];
	/** Returns the bytes of a connection that wait to be parsed. */
	readonly measureUnparsed: (socket: Socket) => number;
	/** Returns the number of requests that are being read or answered, with those whose whole head waits to be parsed. */
	readonly countRequests: () => number;
	/** Returns the number of requests on a connection that are being read or answered. */
	readonly countOpen: (socket: Socket) => number;
	/** Returns the connections of which more than so many bytes were looked at since their last request, which are no request. */
	readonly listUnproductive: (maxBytes: number) => readonly Socket[];
	/** From now on, each answer whose head is not sent yet announces the end of its connection. */
	readonly beginStop: () => void;
	/**
	 * Closes the connections without a request, also without part of one, whose last answer has surely been delivered. Until
	 * then a caller that was not told of the close may send its next request, which is read and has to be answered.
	 */
	readonly closeIdle: () => void;
	/** Returns the number of connections whose last answer may still be on its way. */
	readonly countLingering: () => number;
};

/** An open connection, and how far its requests have come. */
export type OpenConnection = {readonly socket: Socket; readonly stage: ConnectionStage};

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

/** A request whose connection closed before its whole answer was handed to the operating system, or whose caller ended its side. */
export type CutRequest = {
	readonly requestId: string;
	readonly stage: RequestStage;
	/** `caller` if the caller ended or reset its side, `entry` otherwise. */
	readonly closedBy: 'caller' | 'entry';
	/** Why the entry closed the connection, and the code of the refusal or of the parser's error; undefined if the caller closed it. */
	readonly reason: CloseReason | undefined;
	readonly reasonCode: string | undefined;
	/** Code of the error of the connection, if there was one. */
	readonly errorCode: string | undefined;
	/** Whether the whole request was read. */
	readonly isWhole: boolean;
	/** Whether the caller ended its sending side before the head of an answer, and was sent a refusal. */
	readonly isAbandoned: boolean;
	readonly isHeadSent: boolean;
	/** Bytes of the answer that the operating system took, and those that it did not. */
	readonly sentBytes: number;
	readonly unsentBytes: number;
};

/** Tells what a connection holds of a request that is not parsed yet. */
export type UnparsedReader = Pick<RequestReader, 'countHeldBytes' | 'findHeld' | 'isHeadWhole'>;

/** Options of {@link createConnectionTracker}. */
export type ConnectionTrackerOptions = {
	readonly onCut: (request: CutRequest) => void;
};

/** Bytes that a connection had received when its last request was answered, and the requests on it since then. */
type TrackedConnection = {
	readonly reader: UnparsedReader;
	readonly lingeringClose: LingeringClose;
	answeredBytes: number;
	openRequests: number;
	readonly responses: Set<ServerResponse>;
	isEndedByCaller: boolean;
	errorCode: string | undefined;
};
type TrackedRequest = {stage: RequestStage; isAbandoned: boolean};

const NO_CAUSE: Partial<CloseCause> = {};
/** Codes of errors that a caller causes by closing its connection. */
const CALLER_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

/**
 * Creates an empty tracker. The server's own count of idle connections is not enough for a stop: it includes those whose
 * answer was written but not read by a slow caller.
 */
export function createConnectionTracker({onCut}: ConnectionTrackerOptions): ConnectionTracker {
	const connections = new Map<Socket, TrackedConnection>();
	const requests = new Map<ServerResponse, TrackedRequest>();
	const isReading = (response: ServerResponse) => requests.get(response)?.stage === REQUEST_STAGES.reading && !response.writableEnded;

	const findStage = (socket: Socket, {answeredBytes, responses, reader}: TrackedConnection): ConnectionStage => {
		if (responses.size === 0) {
			// No target knows a request whose head waits to be parsed.
			if (reader.isHeadWhole()) {
				return CONNECTION_STAGES.body;
			}

			return answeredBytes > 0 && socket.bytesRead === answeredBytes ? CONNECTION_STAGES.idle : CONNECTION_STAGES.head;
		}

		const unanswered = [...responses].filter(response => !response.writableEnded);
		if (unanswered.some(response => !isReading(response))) {
			return CONNECTION_STAGES.busy;
		}

		return unanswered.length < responses.size ? CONNECTION_STAGES.unread : CONNECTION_STAGES.body;
	};

	/** Bytes that wait for their turn may belong to a request, so only those that were looked at count. */
	const countUnproductiveBytes = (socket: Socket, {answeredBytes, reader}: TrackedConnection) =>
		socket.bytesRead - answeredBytes - socket.readableLength - (reader.findHeld()?.heldBytes ?? 0);

	return {
		recordConnection(socket, reader) {
			const connection: TrackedConnection = {
				reader,
				lingeringClose: createLingeringClose(socket),
				answeredBytes: 0,
				openRequests: 0,
				responses: new Set(),
				isEndedByCaller: false,
				errorCode: undefined,
			};
			connections.set(socket, connection);
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

			const {reader} = connection;
			const request: TrackedRequest = {stage: REQUEST_STAGES.reading, isAbandoned: false};
			const sentBefore = socket.bytesWritten;
			connection.openRequests += 1;
			connection.responses.add(response);
			requests.set(response, request);
			response.on('close', () => {
				requests.delete(response);
				if (response.writableFinished) {
					connection.lingeringClose.recordAnswer();
				}

				if (!response.writableFinished || request.isAbandoned) {
					const isClosedByCaller = connection.isEndedByCaller || CALLER_ERROR_CODES.has(connection.errorCode ?? '');
					const {reason, code} = isClosedByCaller ? NO_CAUSE : findCloseCause(socket);
					onCut({
						requestId,
						stage: response.writableEnded && !request.isAbandoned ? REQUEST_STAGES.answered : request.stage,
						closedBy: isClosedByCaller ? 'caller' : 'entry',
						reason,
						reasonCode: code,
						errorCode: connection.errorCode,
						isWhole: response.req.complete,
						isAbandoned: request.isAbandoned,
						isHeadSent: response.headersSent && !request.isAbandoned,
						sentBytes: socket.bytesWritten - socket.writableLength - sentBefore,
						unsentBytes: socket.writableLength,
					});
				}

				connection.openRequests -= 1;
				connection.responses.delete(response);
				connection.answeredBytes = socket.bytesRead - reader.countHeldBytes();
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
		recordAbandoned(response) {
			const request = requests.get(response);
			if (request !== undefined) {
				request.isAbandoned = true;
			}
		},
		describeOpen: () => ({
			openConnections: connections.size,
			partialRequests: [...connections].filter(([socket, {answeredBytes, openRequests}]) => openRequests === 0 && socket.bytesRead > answeredBytes).length,
		}),
		listOpen: () => [...connections].filter(([socket]) => !socket.destroyed).map(([socket, connection]) => ({socket, stage: findStage(socket, connection)})),
		listSockets: () => connections.keys(),
		countConnections: () => connections.size,
		listReading: socket => [...connections.get(socket)?.responses ?? []].filter(response => isReading(response)),
		measureUnparsed: socket => connections.get(socket)?.reader.findHeld()?.heldBytes ?? 0,
		countRequests: () => requests.size + [...connections.values()].filter(({reader}) => reader.isHeadWhole()).length,
		countLingering: () => [...connections.values()].filter(({lingeringClose}) => lingeringClose.isLingering()).length,
		countOpen: socket => connections.get(socket)?.openRequests ?? 0,
		listUnproductive: maxBytes => [...connections].filter(([socket, connection]) =>
			connection.openRequests === 0 && countUnproductiveBytes(socket, connection) > maxBytes).map(([socket]) => socket),
		beginStop() {
			for (const response of requests.keys()) {
				// Has no effect on an answer whose head is sent.
				response.shouldKeepAlive = false;
			}
		},
		closeIdle() {
			for (const [socket, {answeredBytes, openRequests, lingeringClose}] of connections) {
				if (openRequests === 0 && socket.bytesRead === answeredBytes && !lingeringClose.isLingering()) {
					socket.destroy();
				}
			}
		},
	};
}
