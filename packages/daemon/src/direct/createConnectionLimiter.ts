import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	type CallerConnection, chooseClosed, chooseFreed, computeConnectionsHeld, computeMaxConnections, CONNECTION_STAGES, type ConnectionStage, type HeldCallerConnection,
} from '@damaskspool/core';
import {CLOSE_REASONS, destroyConnection} from './closeReasons.js';
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
	/** Refuses a request whose body is being read, as not run. */
	readonly refuseReading: (response: ServerResponse) => void;
	/** Refuses a request whose head waits to be parsed, as not run. */
	readonly refuseUnparsed: (socket: Socket) => void;
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
/** Time for a refusal to reach its caller. */
const MAX_CLOSING_MS = 1500;
/** Connections beyond the limit that may wait for their refusals to reach callers, as a share of it. */
const CLOSING_SHARE = 0.1;
const REPORT_INTERVAL_MS = 1000;

const createNoLimited = (): Record<LimitReason, number> => ({
	head: 0, idle: 0, body: 0, unread: 0, busy: 0, refused: 0,
});

/** Creates a limiter for the connections of a tracker. */
export function createConnectionLimiter(options: ConnectionLimiterOptions): ConnectionLimiter {
	const {connections, maxDescriptors, memoryBytes, countTargetConnections, refuseReading, refuseUnparsed, onLimited} = options;
	const progressBySocket = new WeakMap<Socket, ConnectionProgress>();
	/** Connections that close once their last bytes have reached their callers, oldest first, with the times since when. */
	const closing = new Map<Socket, number>();
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
		closing.set(socket, performance.now());
		if (stage !== CONNECTION_STAGES.body) {
			destroyConnection(socket, {reason: CLOSE_REASONS.connectionLimit, code: stage});
			return;
		}

		const reading = connections.listReading(socket);
		if (reading.length === 0) {
			refuseUnparsed(socket);
		}

		for (const response of reading) {
			refuseReading(response);
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
		const nowMs = performance.now();
		for (const [socket, sinceMs] of closing) {
			if (nowMs - sinceMs >= MAX_CLOSING_MS) {
				destroyConnection(socket, {reason: CLOSE_REASONS.connectionLimit});
			}
		}

		if (connections.countConnections() >= getLimit() * RECORDED_SHARE) {
			listConnections(nowMs);
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

	/** Closes those at once that wait for longest, if many do. */
	const closeExcess = (maxClosing: number) => {
		const waiting = [...closing.keys()].filter(socket => !socket.destroyed);
		for (const socket of waiting.slice(0, Math.max(0, waiting.length - maxClosing))) {
			destroyConnection(socket, {reason: CLOSE_REASONS.connectionLimit});
		}
	};

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
				closeExcess(Math.ceil(maxConnections * CLOSING_SHARE));
			}

			if (countOpen() > maxConnections && !socket.destroyed) {
				fruitlessAtMs = nowMs;
				limited.refused += 1;
				closing.set(socket, nowMs);
				socket.destroy();
			}
		},
		getLimit,
		measureHeld() {
			let heldBytes = computeConnectionsHeld(countOpen());
			for (const socket of connections.listSockets()) {
				heldBytes += closing.has(socket) ? 0 : connections.measureUnparsed(socket);
			}

			return heldBytes;
		},
		release(bytes, mayCloseAll) {
			const nowMs = performance.now();
			const open = listConnections(nowMs);
			const held = open.map(({socket, connection}): HeldCallerConnection => ({...connection, heldBytes: connections.measureUnparsed(socket)}));
			closeChosen(open, chooseFreed(held, {bytes, mayCloseAll}, nowMs));
		},
		stop() {
			clearInterval(recordTimer);
			clearInterval(reportTimer);
		},
	};
}
