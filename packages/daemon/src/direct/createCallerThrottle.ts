import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type GovernedReader, type ReadGovernor} from '@damaskspool/runtime';
import {createRequestReader, type HeldRequest, type RequestReader} from './createRequestReader.js';

/** Holds back callers whose bytes cost much to read, and hands their requests to the HTTP server one at a time for each connection. */
export type CallerThrottle = {
	/** Takes over what the HTTP server reads of a new connection. */
	readonly recordConnection: (socket: Socket) => RequestReader;
	readonly findReader: (socket: Socket) => RequestReader | undefined;
	/** Returns the requests that the HTTP server does not know yet. */
	readonly listHeld: () => readonly HeldRequest[];
	/** Runs a task in the next turn of a connection, of which nothing more is read. */
	readonly runInTurn: (socket: Socket, task: () => void) => void;
};

/** Options of {@link createCallerThrottle}. */
export type CallerThrottleOptions = {
	readonly readGovernor: ReadGovernor;
	/** Returns the limit of a head and of trailers. */
	readonly findMaxHeadBytes: () => number;
	/** Returns the time for which what was read of a connection just now may have waited. */
	readonly measureUnreadMs: (socket: Socket) => number;
	/** Called with the code of an error of the HTTP parser if a connection sends what is no request that may be served. */
	readonly onRejected: (socket: Socket, code: string) => void;
};

type HeldConnection = {
	readonly governed: GovernedReader;
	readonly requestReader: RequestReader;
	/** Pauses or resumes the connection. */
	readonly updateReading: () => void;
	isHeld: boolean;
	isHeldForGood: boolean;
	task: (() => void) | undefined;
};

/** Time that counts at least for a step. Some work on what it reads comes after it. */
const STEP_MS = 0.005;
/** Time that counts for a connection whose task ran in a turn: parsing what the HTTP server rejects. */
const TASK_MS = 2;

/** Creates a throttle for the connections of an entry to its callers. */
export function createCallerThrottle({readGovernor, findMaxHeadBytes, measureUnreadMs, onRejected}: CallerThrottleOptions): CallerThrottle {
	const connections = new Map<Socket, HeldConnection>();

	const hold = (socket: Socket) => {
		const connection = connections.get(socket);
		if (connection !== undefined) {
			connection.isHeld = true;
			connection.isHeldForGood = true;
			connection.updateReading();
		}
	};

	/** Hands what is read of a connection to its reader, and holds the connection as long as bytes of it wait. */
	const governReads = (socket: Socket, findConnection: () => HeldConnection): Pick<HeldConnection, 'requestReader' | 'updateReading'> => {
		const [parse] = socket.listeners('data') as Array<(bytes: Buffer) => void>;
		let isPausedByServer = false;
		const pauseSocket = socket.pause.bind(socket);
		const resumeSocket = socket.resume.bind(socket);

		const updateReading = () => {
			if (findConnection().isHeld || isPausedByServer || !requestReader.mayReceive()) {
				pauseSocket();
			} else {
				resumeSocket();
			}
		};

		const requestReader = createRequestReader({
			socket,
			parse(bytes) {
				if (!socket.destroyed) {
					parse!.call(socket, bytes);
				}
			},
			mayParse: () => !findConnection().isHeld && !isPausedByServer && !socket.writableEnded && !socket.destroyed,
			recordWork(workMs, maxMs) {
				const connection = findConnection();
				if (!connection.isHeld) {
					connection.governed.record(Math.max(STEP_MS, Math.min(maxMs, workMs)));
					connection.isHeld = !connection.governed.mayRead();
				}
			},
			requestTurn() {
				const connection = findConnection();
				connection.isHeld = true;
				connection.governed.enqueue();
			},
			findMaxHeadBytes,
			measureUnreadMs: () => measureUnreadMs(socket),
			onRejected(code) {
				onRejected(socket, code);
			},
			onProceeded: updateReading,
		});

		socket.pause = () => {
			isPausedByServer = true;
			return pauseSocket();
		};

		// The HTTP server resumes the connection by itself, for instance with each piece of a body.
		socket.resume = () => {
			isPausedByServer = false;
			queueMicrotask(requestReader.proceed);
			return socket;
		};

		socket.off('data', parse!);
		socket.on('data', (bytes: Buffer) => {
			// What comes once the connection closes behind an answer is read, so that it does not reset the connection, and ignored.
			if (socket.writableEnded) {
				pauseSocket();
			} else {
				requestReader.receive(bytes);
			}
		});
		return {requestReader, updateReading};
	};

	return {
		recordConnection(socket) {
			const connection: HeldConnection = {
				governed: readGovernor.open(() => {
					if (connection.task !== undefined) {
						connection.task();
						connection.governed.record(TASK_MS);
					} else if (!connection.isHeldForGood) {
						connection.isHeld = false;
						connection.requestReader.proceed({isTurn: true});
					}
				}),
				...governReads(socket, () => connection),
				isHeld: false,
				isHeldForGood: false,
				task: undefined,
			};
			connections.set(socket, connection);
			socket.on('close', () => {
				connections.delete(socket);
				connection.governed.close();
				connection.requestReader.discard();
			});
			return connection.requestReader;
		},
		findReader: socket => connections.get(socket)?.requestReader,
		listHeld: () => [...connections.values()].map(({requestReader}) => requestReader.findHeld()).filter(held => held !== undefined),
		runInTurn(socket, task) {
			const connection = connections.get(socket);
			if (connection !== undefined && connection.task === undefined) {
				connection.task = task;
				hold(socket);
				connection.governed.enqueue();
			}
		},
	};
}
