import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {computeSliceBytes} from '@damaskspool/core';
import {type GovernedReader, type ReadGovernor} from '@damaskspool/runtime';

/** Holds back callers whose bytes cost much to read. */
export type CallerThrottle = {
	/** Takes over what the HTTP server reads of a new connection. */
	readonly recordConnection: (socket: Socket) => void;
	/** Records that a part of a request was just parsed. */
	readonly recordRead: (socket: Socket) => void;
	/** Reads nothing more of a connection that is about to be closed. */
	readonly hold: (socket: Socket) => void;
	readonly isHeldForGood: (socket: Socket) => boolean;
	/** Runs a task in the next turn of a connection, of which nothing more is read. */
	readonly runInTurn: (socket: Socket, task: () => void) => void;
};

type HeldConnection = {
	readonly reader: GovernedReader;
	/** Parses more, and reads again once all that was read is parsed. */
	readonly proceed: () => void;
	isHeld: boolean;
	isHeldForGood: boolean;
	task: (() => void) | undefined;
	/** Parts of requests in the present slice. */
	partCount: number;
};

/** Time that counts at least for a part of a request. Some parts are taken after the slice that holds them. */
const PART_MS = 0.005;
/** Longest time that counts for a slice beside its parts. More than that, the process did not run, and a caller that is held back cannot be seen to leave. */
const MAX_SLICE_MS = 1;
/** Bytes that the HTTP server parses at first, and at least. What it parses of one slice cannot be stopped. */
const MIN_SLICE_BYTES = 1024;
/** Growth from one slice to the next. */
const MAX_SLICE_GROWTH = 4;
/** Time that counts for a slice of lines. */
const LINES_MS = 0.1;
/** Time that counts for a connection whose task ran in a turn: parsing what the HTTP server rejects. */
const TASK_MS = 2;

/** Creates a throttle for the connections of an entry to its callers. */
export function createCallerThrottle({readGovernor}: {readonly readGovernor: ReadGovernor}): CallerThrottle {
	const connections = new WeakMap<Socket, HeldConnection>();

	const hold = (socket: Socket) => {
		const connection = connections.get(socket);
		if (connection !== undefined) {
			connection.isHeld = true;
			connection.isHeldForGood = true;
			connection.proceed();
		}
	};

	const recordWork = (connection: HeldConnection, workMs: number) => {
		if (connection.isHeld) {
			return;
		}

		connection.reader.record(workMs);
		if (!connection.reader.mayRead()) {
			connection.isHeld = true;
		}
	};

	/**
	 * Hands what is read of a connection to the HTTP server in slices, within the time that the governor allows.
	 *
	 * @returns a function that goes on with it
	 */
	const sliceReads = (socket: Socket, findConnection: () => HeldConnection): (() => void) => {
		const [parse] = socket.listeners('data') as Array<(bytes: Buffer) => void>;
		let unparsed: Buffer | undefined;
		let sliceBytes = MIN_SLICE_BYTES;
		let isParsing = false;
		let isPausedByServer = false;
		const pauseSocket = socket.pause.bind(socket);
		const resumeSocket = socket.resume.bind(socket);

		const mayParse = () => !findConnection().isHeld && !isPausedByServer && !socket.destroyed;

		const parseSlices = () => {
			const connection = findConnection();
			isParsing = true;
			while (unparsed !== undefined && mayParse()) {
				const slice = unparsed.subarray(0, sliceBytes);
				unparsed = slice.length < unparsed.length ? unparsed.subarray(slice.length) : undefined;
				connection.partCount = 0;
				const startedAtMs = performance.now();
				parse!.call(socket, slice);
				const workMs = Math.min(MAX_SLICE_MS, performance.now() - startedAtMs);
				sliceBytes = computeSliceBytes({bytes: slice.length, workMs}, {minBytes: MIN_SLICE_BYTES, maxGrowth: MAX_SLICE_GROWTH});
				recordWork(connection, Math.max(connection.partCount === 0 ? LINES_MS : 0, workMs - (connection.partCount * PART_MS)));
			}

			isParsing = false;
		};

		const proceed = () => {
			if (isParsing) {
				return;
			}

			parseSlices();
			if (unparsed === undefined && mayParse()) {
				resumeSocket();
			} else {
				pauseSocket();
			}
		};

		socket.pause = () => {
			isPausedByServer = true;
			return pauseSocket();
		};

		// The HTTP server resumes the connection by itself, for instance with each piece of a body.
		socket.resume = () => {
			isPausedByServer = false;
			queueMicrotask(proceed);
			return socket;
		};

		socket.off('data', parse!);
		socket.on('data', (bytes: Buffer) => {
			unparsed = bytes;
			proceed();
		});
		return proceed;
	};

	return {
		recordConnection(socket) {
			const connection: HeldConnection = {
				reader: readGovernor.open(() => {
					if (connection.task !== undefined) {
						connection.task();
						connection.reader.record(TASK_MS);
					} else if (!connection.isHeldForGood) {
						connection.isHeld = false;
						connection.proceed();
					}
				}),
				proceed: sliceReads(socket, () => connection),
				isHeld: false,
				isHeldForGood: false,
				task: undefined,
				partCount: 0,
			};
			connections.set(socket, connection);
			socket.on('close', () => {
				connection.reader.close();
			});
		},
		recordRead(socket) {
			const connection = connections.get(socket);
			if (connection !== undefined) {
				connection.partCount += 1;
				recordWork(connection, PART_MS);
			}
		},
		hold,
		isHeldForGood: socket => connections.get(socket)?.isHeldForGood === true,
		runInTurn(socket, task) {
			const connection = connections.get(socket);
			if (connection !== undefined && connection.task === undefined) {
				connection.task = task;
				hold(socket);
				connection.reader.enqueue();
			}
		},
	};
}
