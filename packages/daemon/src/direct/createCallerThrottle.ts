import {type Socket} from 'node:net';
import {type GovernedReader, type ReadGovernor} from '@damaskspool/runtime';

/** Holds back callers whose bytes cost much to read. */
export type CallerThrottle = {
	readonly recordConnection: (socket: Socket) => void;
	/** Records that a part of a request was just read. The HTTP server reads what has arrived of a connection in one go. */
	readonly recordRead: (socket: Socket) => void;
	/** Reads nothing more of a connection that is about to be closed. */
	readonly hold: (socket: Socket) => void;
	readonly isHeldForGood: (socket: Socket) => boolean;
	/** Runs a task in the next turn of a connection, of which nothing more is read. */
	readonly runInTurn: (socket: Socket, task: () => void) => void;
};

type HeldConnection = {readonly reader: GovernedReader; isHeld: boolean; isHeldForGood: boolean; task: (() => void) | undefined};

/**
 * Time that counts for a part of a request. Parts are counted and not timed: on a slow instance, one sound request takes as
 * long as many parts, and a caller that is held back cannot be seen to leave.
 */
const PART_MS = 0.005;
/** Time that counts for a connection whose task ran in a turn: parsing what the HTTP server rejects. */
const TASK_MS = 2;

/** Creates a throttle for the connections of an entry to its callers. */
export function createCallerThrottle({readGovernor}: {readonly readGovernor: ReadGovernor}): CallerThrottle {
	const connections = new WeakMap<Socket, HeldConnection>();

	const hold = (socket: Socket, isForGood = true) => {
		const connection = connections.get(socket);
		if (connection !== undefined) {
			connection.isHeld = true;
			connection.isHeldForGood ||= isForGood;
			socket.pause();
		}
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
						socket.resume();
					}
				}),
				isHeld: false,
				isHeldForGood: false,
				task: undefined,
			};
			connections.set(socket, connection);
			const resumeSocket = socket.resume.bind(socket);
			// The HTTP server resumes the connection by itself, for instance with each piece of a body.
			socket.resume = () => connection.isHeld ? socket : resumeSocket();
			socket.on('close', () => {
				connection.reader.close();
			});
		},
		recordRead(socket) {
			const connection = connections.get(socket);
			if (connection === undefined || connection.isHeld) {
				return;
			}

			connection.reader.record(PART_MS);
			if (!connection.reader.mayRead()) {
				hold(socket, false);
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
