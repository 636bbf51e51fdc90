import {type AddressInfo, type Socket} from 'node:net';

/**
 * Accepts connections before it begins requests, and tells for how long a request may have waited unread.
 *
 * The event loop accepts one connection in each pass. If each pass also begins requests, which takes long in a process that
 * has just started or is short of processor time, connections wait in the accept queue of the kernel. Nothing then counts
 * that wait, and requests are held beyond the timeout of their route.
 */
export type ArrivalMonitor = {
	/** Records an accepted connection. Ends it if it is a probe of the accept queue. */
	readonly recordConnection: (socket: Socket) => void;
	/** Runs a task once no connection waits to be accepted, after {@link MAX_DEFER_MS} at the latest, in the order of these calls. */
	readonly schedule: (task: () => void) => void;
	/** Returns the longest time for which a request whose head was parsed just now may have waited unread. */
	readonly measureUnreadMs: (socket: Socket) => number;
	/**
	 * Returns the shortest time since a request that is whole just now was sent, if it was whole when its connection was first
	 * read: a caller sends it when the connection is open. Zero otherwise.
	 */
	readonly measureSentMs: (socket: Socket) => number;
	/** Returns the longest time for which an event that is handled just now may have waited for the event loop. */
	readonly measureUnhandledMs: () => number;
	readonly stop: () => void;
};

type AcceptedConnection = {readonly atMs: number; readonly openSinceMs: number; readonly connectedByMs: number; readonly passNumber: number};
type Probe = {readonly socket: Socket; readonly sentAtMs: number; connectedAtMs: number | undefined};

/** Options of {@link createArrivalMonitor}. */
export type ArrivalMonitorOptions = {
	/** Called when the event loop runs again, with the time for which it did not. */
	readonly onBlocked: (blockedMs: number) => void;
	/** Opens a connection to the address at which this process accepts connections. */
	readonly connectToSelf: () => Socket;
};

/** Interval of the timer that marks passes of the event loop. */
const MARK_INTERVAL_MS = 25;
/** Delay of a mark from which on `onBlocked` is called. */
const MIN_BLOCKED_MS = 150;
/** Time for which tasks yield to connections that wait to be accepted. */
const MAX_DEFER_MS = 20;
/**
 * Longest possible wait of a connection from which on the accept queue is probed. What is accepted after a probe also arrived
 * after it, since the queue keeps the order of arrival. More than two marks are apart, so a process with little work sends none.
 */
const MIN_PROBED_MS = 100;
/** Time between probes. What is accepted before a probe also arrived before it was connected. */
const PROBE_INTERVAL_MS = 100;
/** Probes that may wait to be accepted at once. */
const MAX_PROBES = 20;
/** Longest time for which a request is taken as sent before it was read. Callers give up a connection of which nothing is read for longer. */
const MAX_SENT_MS = 1000;
/** Time for which tasks run in one pass. */
const TASK_TIME_MS = 5;

/** Starts to mark passes of the event loop. */
export function createArrivalMonitor({onBlocked, connectToSelf}: ArrivalMonitorOptions): ArrivalMonitor {
	let previousMarkMs = performance.now();
	let lastMarkMs = previousMarkMs;
	const tasks: Array<() => void> = [];
	/** When connections were accepted, in which pass, and since when and until when at the latest they waited for that. */
	const acceptedBySocket = new WeakMap<Socket, AcceptedConnection>();
	/** Time at which no connection waited, while each pass since then accepted one. */
	let openSinceMs: number | undefined;
	let hasAccepted = false;
	/** Probes that were not accepted yet, in the order in which they were sent. */
	const probes: Probe[] = [];
	let lastProbeAtMs = 0;
	/** Number of the present pass. It grows in the passes after one that accepted a connection, at least. */
	let passNumber = 0;
	let isPassScheduled = false;
	let deferredSinceMs = 0;

	const timer = setInterval(() => {
		const nowMs = performance.now();
		const blockedMs = nowMs - lastMarkMs - MARK_INTERVAL_MS;
		previousMarkMs = lastMarkMs;
		lastMarkMs = nowMs;
		if (blockedMs >= MIN_BLOCKED_MS) {
			onBlocked(blockedMs);
		}
	}, MARK_INTERVAL_MS);
	timer.unref();

	const runTasks = () => {
		const startedAtMs = performance.now();
		do {
			tasks.shift()?.();
			deferredSinceMs = performance.now();
		} while (tasks.length > 0 && deferredSinceMs - startedAtMs < TASK_TIME_MS);
	};

	const sendProbe = () => {
		const socket = connectToSelf();
		const probe: Probe = {socket, sentAtMs: performance.now(), connectedAtMs: undefined};
		lastProbeAtMs = probe.sentAtMs;
		probes.push(probe);
		const end = () => {
			const index = probes.indexOf(probe);
			if (index !== -1) {
				probes.splice(index, 1);
			}
		};

		socket.on('connect', () => {
			probe.connectedAtMs = performance.now();
		});
		// A probe that fails leaves the longest wait as it is.
		socket.on('error', end).on('close', end);
	};

	/** Finds when the first probe that still waits was there. One from before the queue was empty was lost, and tells nothing. */
	const findConnectedByMs = (sinceMs: number) => probes.find(({connectedAtMs}) => connectedAtMs !== undefined && connectedAtMs >= sinceMs)?.connectedAtMs;

	const schedulePass = () => {
		if (!isPassScheduled) {
			isPassScheduled = true;
			setImmediate(endPass);
		}
	};

	const endPass = () => {
		isPassScheduled = false;
		passNumber += 1;
		const mayWait = hasAccepted;
		hasAccepted = false;
		openSinceMs = mayWait ? openSinceMs : undefined;
		if (mayWait || tasks.length > 0) {
			schedulePass();
		}

		if (tasks.length > 0 && (!mayWait || performance.now() - deferredSinceMs >= MAX_DEFER_MS)) {
			runTasks();
		}
	};

	return {
		recordConnection(socket) {
			// The poll between the last two marks accepted none, so none waited at the earlier one.
			openSinceMs ??= previousMarkMs;
			const nowMs = performance.now();
			const index = probes.findIndex(probe => isOtherEnd(probe.socket, socket));
			if (index !== -1) {
				const [probe] = probes.splice(index, 1);
				openSinceMs = Math.max(openSinceMs, probe!.sentAtMs);
				probe!.socket.destroy();
				socket.destroy();
			} else if (probes.length < MAX_PROBES && nowMs - openSinceMs >= MIN_PROBED_MS && nowMs - lastProbeAtMs >= PROBE_INTERVAL_MS) {
				sendProbe();
			}

			hasAccepted = true;
			acceptedBySocket.set(socket, {
				atMs: nowMs, openSinceMs, connectedByMs: findConnectedByMs(openSinceMs) ?? nowMs, passNumber,
			});
			schedulePass();
		},
		schedule(task) {
			if (tasks.length === 0) {
				deferredSinceMs = performance.now();
			}

			tasks.push(task);
			schedulePass();
		},
		measureUnreadMs(socket) {
			// The poll between the last two marks read everything that connections held at the earlier one.
			const accepted = acceptedBySocket.get(socket);
			const isNew = accepted !== undefined && accepted.atMs >= previousMarkMs;
			return performance.now() - (isNew ? Math.min(accepted.openSinceMs, previousMarkMs) : previousMarkMs);
		},
		measureSentMs(socket) {
			const accepted = acceptedBySocket.get(socket);
			return accepted !== undefined && passNumber <= accepted.passNumber + 1 ? Math.min(MAX_SENT_MS, performance.now() - accepted.connectedByMs) : 0;
		},
		// The poll between the last two marks handled everything that had come at the earlier one.
		measureUnhandledMs: () => performance.now() - previousMarkMs,
		stop() {
			clearInterval(timer);
			for (const {socket} of probes) {
				socket.destroy();
			}
		},
	};
}

/** Tells whether a connection that was accepted is one that this process opened. */
function isOtherEnd(opened: Socket, accepted: Socket): boolean {
	const {address, port} = opened.address() as Partial<AddressInfo>;
	return port !== undefined && port === accepted.remotePort && address === accepted.remoteAddress;
}
