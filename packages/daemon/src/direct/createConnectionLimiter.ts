import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	type CallerConnection, chooseClosed, chooseFreed, computeConnectionsHeld, computeMaxConnections, CONNECTION_STAGES, type ConnectionStage, type HeldCallerConnection,
} from '@damaskspool/core';
import {type ConnectionTracker, type OpenConnection} from './createConnectionTracker.js';

/** Keeps the connections of callers within the descriptors and the memory of the instance. */
export type ConnectionLimiter = {
	/** Makes room for a connection that was just accepted and recorded by the tracker, or closes it. */
	readonly admit: (socket: Socket) => void;
	/** Returns the number of connections that may be open now. */
	readonly getLimit: () => number;
	/** Returns the bytes that connections take beside their requests. */
	readonly measureHeld: () => number;
	/** Closes stalled heads of requests, or if `mayCloseAll` all connections without a request, until so many bytes are free. */
	readonly release: (bytes: number, mayCloseAll: boolean) => void;
	readonly stop: () => void;
};

/** Connections that were closed or refused since the last report. */
export type LimitedConnections = Readonly<Record<LimitReason, number>>;

/** Why a connection was closed: the stage at which it was, `refused` if no other could be closed for it. */
export type LimitReason = ConnectionStage | 'refused';

/** Options of {@link createConnectionLimiter}. */
export type ConnectionLimiterOptions = {
	readonly connections: ConnectionTracker;
	readonly maxDescriptors: number | undefined;
	readonly memoryBytes: number | undefined;
	/** Returns the number of open connections to targets. */
	readonly countTargetConnections: () => number;
	/** Returns the bytes that were read of a connection and belong to no request yet. */
	readonly measureConnectionBytes: (socket: Socket) => number;
	/** Closes a connection without a request, of which the whole head of one may have been read. */
	readonly closeHead: (socket: Socket) => void;
	/** Refuses a request whose body is being read, as not run. */
	readonly refuseReading: (response: ServerResponse) => void;
	/** Called at most once a second, if connections were closed or refused. */
	readonly onLimited: (limited: LimitedConnections, maxConnections: number) => void;
};

type ConnectionProgress = {readonly connectionId: number; stage: ConnectionStage; bytes: number; sinceMs: number};

/** Interval at which progress is recorded while many connections are open. */
const RECORD_INTERVAL_MS = 250;
/** Share of the limit from which on progress is recorded. */
const RECORDED_SHARE = 0.5;
/** Bytes that count as progress. Fewer keep a connection from closing for nothing. */
const MIN_PROGRESS_BYTES = 1024;
/** Time for which no choice is made after one that found no connection to close. */
const FRUITLESS_MS = 20;
const REPORT_INTERVAL_MS = 1000;

const createNoLimited = (): Record<LimitReason, number> => ({
	head: 0, idle: 0, body: 0, unread: 0, busy: 0, refused: 0,
});

/** Creates a limiter for the connections of a tracker. */
export function createConnectionLimiter(options: ConnectionLimiterOptions): ConnectionLimiter {
	const {connections, maxDescriptors, memoryBytes, countTargetConnections, measureConnectionBytes, closeHead, refuseReading, onLimited} = options;
	const progressBySocket = new WeakMap<Socket, ConnectionProgress>();
	/** Connections that close as soon as their last bytes are handed to the operating system. */
	const closing = new Set<Socket>();
	let lastConnectionId = 0;
	let fruitlessAtMs = Number.NEGATIVE_INFINITY;
	let limited = createNoLimited();

	const getLimit = () => computeMaxConnections({maxDescriptors, memoryBytes, targetConnections: countTargetConnections()});

	const recordProgress = ({socket, stage}: OpenConnection, nowMs: number): ConnectionProgress => {
		const bytes = socket.bytesRead + socket.bytesWritten - socket.writableLength;
		const progress = progressBySocket.get(socket);
		if (progress === undefined) {
			lastConnectionId += 1;
			const first: ConnectionProgress = {
				connectionId: lastConnectionId, stage, bytes, sinceMs: nowMs,
			};
			progressBySocket.set(socket, first);
			return first;
		}

		// A head that comes in small pieces makes no progress.
		const hasMoved = stage !== CONNECTION_STAGES.head && bytes - progress.bytes >= MIN_PROGRESS_BYTES;
		if (stage !== progress.stage || hasMoved) {
			Object.assign(progress, {stage, bytes, sinceMs: nowMs});
		}

		return progress;
	};

	const listConnections = (nowMs: number) => connections.listOpen().filter(({socket}) => !closing.has(socket)).map(open => {
		const {connectionId, sinceMs} = recordProgress(open, nowMs);
		const connection: CallerConnection = {connectionId, stage: open.stage, sinceMs};
		return {...open, connection};
	});

	const close = ({socket, stage}: OpenConnection) => {
		limited[stage] += 1;
		closing.add(socket);
		const reading = connections.listReading(socket);
		if (stage === CONNECTION_STAGES.body && reading.length > 0) {
			for (const response of reading) {
				refuseReading(response);
			}
		} else if (stage === CONNECTION_STAGES.head) {
			closeHead(socket);
		} else {
			socket.destroy();
		}
	};

	const closeChosen = (open: ReturnType<typeof listConnections>, chosen: readonly number[]) => {
		const chosenIds = new Set(chosen);
		for (const entry of open) {
			if (chosenIds.has(entry.connection.connectionId)) {
				close(entry);
			}
		}
	};

	const recordTimer = setInterval(() => {
		if (connections.countConnections() >= getLimit() * RECORDED_SHARE) {
			listConnections(performance.now());
		}
	}, RECORD_INTERVAL_MS);
	const reportTimer = setInterval(() => {
		if (Object.values(limited).some(count => count > 0)) {
			onLimited(limited, getLimit());
			limited = createNoLimited();
		}
	}, REPORT_INTERVAL_MS);
	recordTimer.unref();
	reportTimer.unref();

	const countOpen = () => connections.countConnections() - closing.size;

	return {
		admit(socket) {
			const nowMs = performance.now();
			socket.on('close', () => {
				closing.delete(socket);
			});
			recordProgress({socket, stage: CONNECTION_STAGES.head}, nowMs);
			const maxConnections = getLimit();
			if (countOpen() <= maxConnections) {
				return;
			}

			if (nowMs - fruitlessAtMs >= FRUITLESS_MS) {
				const open = listConnections(nowMs);
				closeChosen(open, chooseClosed(open.map(({connection}) => connection), maxConnections, nowMs));
			}

			if (countOpen() > maxConnections && !socket.destroyed) {
				fruitlessAtMs = nowMs;
				limited.refused += 1;
				closing.add(socket);
				socket.destroy();
			}
		},
		getLimit,
		measureHeld() {
			let heldBytes = computeConnectionsHeld(countOpen());
			for (const socket of connections.listSockets()) {
				heldBytes += closing.has(socket) ? 0 : measureConnectionBytes(socket);
			}

			return heldBytes;
		},
		release(bytes, mayCloseAll) {
			const nowMs = performance.now();
			const open = listConnections(nowMs);
			const held = open.map(({socket, connection}): HeldCallerConnection => ({...connection, heldBytes: measureConnectionBytes(socket)}));
			closeChosen(open, chooseFreed(held, {bytes, mayCloseAll}, nowMs));
		},
		stop() {
			clearInterval(recordTimer);
			clearInterval(reportTimer);
		},
	};
}
