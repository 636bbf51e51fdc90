import {connect, type Socket} from 'node:net';
import {type CloseSigns, WITNESS_STATES, type WitnessState} from '@damaskspool/core';
import {probeTarget} from './probeTarget.js';

/** Signs that a watch finds by itself. */
export type WatchedSigns = Omit<CloseSigns, 'isLeaving'>;

/** Watches whether the process of a target lives while a request to it is under way. */
export type TargetWatch = {
	/** Opens a silent connection to the target, because its answer ends with its connection. */
	readonly holdConnection: () => void;
	/** Records whether the connection of the answer is read. While it is not, its end can not be seen. */
	readonly setPaused: (isPaused: boolean) => void;
	/** Ends the watch because the answer has ended, and returns what it shows. */
	readonly findSigns: () => Promise<WatchedSigns>;
	/** Ends the watch. */
	readonly stop: () => void;
};

/** Watches of all targets. Answers of one target share one silent connection. */
export type TargetWatches = {
	/**
	 * @param address - `ip:port`
	 * @param options - `isLeaving` tells whether the target has announced that it stops
	 */
	readonly begin: (address: string, options?: {readonly isLeaving?: () => boolean}) => TargetWatch;
	/** Opens silent connections to targets that have announced that they stop and still have requests, while they listen. */
	readonly holdLeaving: () => void;
	/** Records that a target refused a connection. */
	readonly recordRefusal: (address: string) => void;
	/** Closes all connections of watches. */
	readonly close: () => void;
};

/** Options of {@link createTargetWatches}. */
export type TargetWatchesOptions = {
	/** Whether bytes of a target wait to be read, so that the end of a connection may not be seen. */
	readonly hasUnread: (address: string) => boolean;
};

type Watcher = {
	readonly isLeaving: () => boolean;
	hasOutlivedRefusal: boolean;
	/** Whether the silent connection has closed, and it is not known yet whether the process lives on. */
	isWitnessLost: boolean;
	isPaused: boolean;
	wasPaused: boolean;
	isEnded: boolean;
};

/** The silent connection to one target. */
type Check = {
	readonly address: string;
	readonly watchers: Set<Watcher>;
	socket: Socket | undefined;
	isHeld: boolean;
	retryTimer: NodeJS.Timeout | undefined;
	/** Monotonic time. */
	lostAtMs: number;
};

/** Time within which the ends of all connections of a process that has ended arrive, also when a packet was lost once. Callers wait for it. */
const PROCESS_END_MS = 250;
/** Time for a target to accept or refuse the silent connection: many round trips. */
const CONNECT_TIMEOUT_MS = 400;
/** Shortest time between two replacements of a silent connection to a target, which may close idle ones. */
const RETRY_MS = 1000;

/** Creates an empty set of watches. */
export function createTargetWatches({hasUnread}: TargetWatchesOptions): TargetWatches {
	const checks = new Map<string, Check>();

	/** Calls back once a process has gone on with an answer for so long that it can not have ended before. */
	const observe = (address: string, watcher: Watcher, onOutlived: () => void) => {
		watcher.wasPaused = watcher.isPaused;
		const timer = setTimeout(() => {
			// What has arrived while the process stood still is read first.
			setImmediate(() => {
				if (watcher.isEnded) {
					return;
				}

				if (watcher.wasPaused || hasUnread(address)) {
					observe(address, watcher, onOutlived);
				} else {
					onOutlived();
				}
			});
		}, PROCESS_END_MS);
		timer.unref();
	};

	const recordRefusal = (address: string) => {
		for (const watcher of checks.get(address)?.watchers ?? []) {
			observe(address, watcher, () => {
				watcher.hasOutlivedRefusal = true;
			});
		}
	};

	const destroyCheck = ({address, socket, retryTimer}: Check) => {
		checks.delete(address);
		clearTimeout(retryTimer);
		socket?.destroy();
	};

	const release = (check: Check, watcher: Watcher) => {
		watcher.isEnded = true;
		check.watchers.delete(watcher);
		if (check.watchers.size === 0 && checks.get(check.address) === check) {
			destroyCheck(check);
		}
	};

	/** Opens the next silent connection: at once for the first that was lost, since a target that stops listening resets those that it has not accepted yet. */
	const scheduleConnection = (check: Check, {wasHeld}: {readonly wasHeld: boolean}) => {
		const nowMs = performance.now();
		const isFirstLoss = wasHeld && nowMs - check.lostAtMs >= RETRY_MS;
		check.lostAtMs = wasHeld ? nowMs : check.lostAtMs;
		check.retryTimer = setTimeout(() => {
			check.retryTimer = undefined;
			connectCheck(check);
		}, isFirstLoss ? 0 : RETRY_MS);
		check.retryTimer.unref();
	};

	/** Records that the silent connection is gone. Another one is opened while it is needed, unless the target listens no more. */
	const dropConnection = (check: Check, socket: Socket, {isRefused = false}: {isRefused?: boolean} = {}) => {
		if (check.socket !== socket) {
			return;
		}

		const wasHeld = check.isHeld;
		check.socket = undefined;
		check.isHeld = false;
		socket.destroy();
		if (checks.get(check.address) !== check) {
			return;
		}

		for (const watcher of wasHeld ? check.watchers : []) {
			watcher.isWitnessLost = true;
			observe(check.address, watcher, () => {
				watcher.isWitnessLost = false;
			});
		}

		if (!isRefused) {
			scheduleConnection(check, {wasHeld});
		}
	};

	const connectCheck = (check: Check) => {
		const [host = '', port = ''] = check.address.split(':');
		const socket = connect({host, port: Number(port), timeout: CONNECT_TIMEOUT_MS});
		check.socket = socket;
		socket.unref();
		socket.on('connect', () => {
			check.isHeld = check.socket === socket;
			socket.setTimeout(0);
			socket.resume();
		});
		socket.on('error', ({code}: NodeJS.ErrnoException) => {
			const isRefused = code === 'ECONNREFUSED';
			if (isRefused) {
				recordRefusal(check.address);
			}

			dropConnection(check, socket, {isRefused});
		});
		for (const eventName of ['timeout', 'end', 'close']) {
			socket.on(eventName, () => {
				dropConnection(check, socket);
			});
		}
	};

	/** Finds out whether the silent connection outlives the end of an answer. */
	const waitForWitness = async ({socket, isHeld}: Check, {isWitnessLost}: Watcher): Promise<WitnessState> => {
		if (!isHeld || socket === undefined) {
			return isWitnessLost ? WITNESS_STATES.closed : WITNESS_STATES.none;
		}

		return new Promise(resolve => {
			const settle = (state: WitnessState) => {
				clearTimeout(timer);
				resolve(state);
			};

			const timer = setTimeout(() => {
				setImmediate(settle, WITNESS_STATES.open);
			}, PROCESS_END_MS);
			for (const eventName of ['end', 'close']) {
				socket.once(eventName, () => {
					settle(WITNESS_STATES.closed);
				});
			}
		});
	};

	const holdConnection = (check: Check, watcher: Watcher) => {
		if (!watcher.isEnded && check.socket === undefined && check.retryTimer === undefined) {
			connectCheck(check);
		}
	};

	return {
		recordRefusal,
		begin(address, {isLeaving = () => false} = {}) {
			const check = checks.get(address) ?? {
				address, watchers: new Set(), socket: undefined, isHeld: false, retryTimer: undefined, lostAtMs: Number.NEGATIVE_INFINITY,
			};
			checks.set(address, check);
			const watcher: Watcher = {
				isLeaving, hasOutlivedRefusal: false, isWitnessLost: false, isPaused: false, wasPaused: false, isEnded: false,
			};
			check.watchers.add(watcher);
			if (isLeaving()) {
				holdConnection(check, watcher);
			}

			return {
				holdConnection() {
					// Most answers arrive with their end and need no silent connection.
					setImmediate(holdConnection, check, watcher);
				},
				setPaused(isPaused) {
					watcher.isPaused = isPaused;
					watcher.wasPaused ||= isPaused;
				},
				async findSigns() {
					watcher.isEnded = true;
					const {hasOutlivedRefusal} = watcher;
					const isListening = await probeTarget(address, {delayMs: 0});
					const witness = isListening === false ? await waitForWitness(check, watcher) : WITNESS_STATES.none;
					release(check, watcher);
					return {isListening, hasOutlivedRefusal, witness};
				},
				stop() {
					release(check, watcher);
				},
			};
		},
		holdLeaving() {
			for (const check of checks.values()) {
				const leaving = [...check.watchers].find(({isLeaving}) => isLeaving());
				if (leaving !== undefined) {
					holdConnection(check, leaving);
				}
			}
		},
		close() {
			for (const check of checks.values()) {
				destroyCheck(check);
			}
		},
	};
}
