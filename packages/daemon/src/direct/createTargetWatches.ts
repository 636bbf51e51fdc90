import {connect, type Socket} from 'node:net';
import {type CloseSigns, WITNESS_STATES, type WitnessState} from '@damaskspool/core';
import {probeTarget} from './probeTarget.js';

/** Signs that a watch finds by itself. */
export type WatchedSigns = Omit<CloseSigns, 'isLeaving'>;

/** Watches whether the process of a target lives while a request to it is under way. */
export type TargetWatch = {
	/** Records that an answer has begun that ends with its connection, and opens a silent connection to the target. */
	readonly beginAnswer: () => void;
	/** Records whether the connection of the answer is read. While it is not, its end can not be seen. */
	readonly setPaused: (isPaused: boolean) => void;
	/**
	 * Ends the watch because the answer has ended, and returns what it shows.
	 *
	 * @param withinMs - time that is left for the answer
	 */
	readonly findSigns: (withinMs?: number) => Promise<WatchedSigns>;
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
	/** Whether the head of an answer has come that ends with its connection. What came before says nothing about a process that ends behind it. */
	isAnswering: boolean;
	isRefusalObserved: boolean;
	hasOutlivedRefusal: boolean;
	/** Whether the silent connection has closed, and it is not known yet whether the process lives on. */
	isWitnessLost: boolean;
	lossCount: number;
	/** Monotonic time. */
	lostAtMs: number;
	isPaused: boolean;
	pauseCount: number;
	isEnded: boolean;
};

/** The silent connection to one target. */
type Check = {
	readonly address: string;
	readonly watchers: Set<Watcher>;
	/** Called when the silent connection closes. */
	readonly closeListeners: Set<() => void>;
	socket: Socket | undefined;
	isHeld: boolean;
	hasRefused: boolean;
	retryTimer: NodeJS.Timeout | undefined;
	/** Monotonic time. */
	replacedAtMs: number;
};

/** Time within which the ends of all connections of a process that has ended arrive, also when a packet was lost once. Callers wait for it. */
const PROCESS_END_MS = 250;
/** Time between two ends of connections of a process that ends, unless a packet is lost. */
const TOGETHER_MS = 10;
/** Least time for the end of the silent connection to arrive behind the end of an answer. */
const MIN_WITNESS_MS = 20;
/** Time for a target to accept or refuse the silent connection: many round trips. */
const CONNECT_TIMEOUT_MS = 400;
/** Shortest time between two replacements of a silent connection to a target, which may close idle ones. */
const RETRY_MS = 1000;

/** Creates an empty set of watches. */
export function createTargetWatches({hasUnread}: TargetWatchesOptions): TargetWatches {
	const checks = new Map<string, Check>();

	/** Calls back once a process has gone on with an answer for so long that it can not have ended before. */
	const observe = (address: string, watcher: Watcher, onOutlived: () => void) => {
		const {isPaused: wasPaused, pauseCount} = watcher;
		const timer = setTimeout(() => {
			// What has arrived while the process stood still is read first.
			setImmediate(() => {
				if (watcher.isEnded) {
					return;
				}

				if (wasPaused || watcher.pauseCount !== pauseCount || hasUnread(address)) {
					observe(address, watcher, onOutlived);
				} else {
					onOutlived();
				}
			});
		}, PROCESS_END_MS);
		timer.unref();
	};

	const recordRefusal = (address: string) => {
		const check = checks.get(address);
		if (check === undefined) {
			return;
		}

		check.hasRefused = true;
		for (const watcher of check.watchers) {
			if (watcher.isAnswering && !watcher.isRefusalObserved) {
				watcher.isRefusalObserved = true;
				observe(address, watcher, () => {
					watcher.hasOutlivedRefusal = true;
				});
			}
		}
	};

	const recordLoss = ({address, watchers, closeListeners}: Check) => {
		for (const settle of closeListeners) {
			settle();
		}

		for (const watcher of watchers) {
			watcher.isWitnessLost = true;
			watcher.lossCount += 1;
			watcher.lostAtMs = performance.now();
			const {lossCount} = watcher;
			observe(address, watcher, () => {
				watcher.isWitnessLost &&= watcher.lossCount !== lossCount;
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

	/** Opens the next silent connection: the first at once, since a target that stops listening resets those that it has not accepted yet. */
	const scheduleConnection = (check: Check, {wasHeld}: {readonly wasHeld: boolean}) => {
		const nowMs = performance.now();
		const isAtOnce = wasHeld && nowMs - check.replacedAtMs >= RETRY_MS;
		check.replacedAtMs = isAtOnce ? nowMs : check.replacedAtMs;
		check.retryTimer = setTimeout(() => {
			check.retryTimer = undefined;
			connectCheck(check);
		}, isAtOnce ? 0 : RETRY_MS);
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

		if (wasHeld) {
			recordLoss(check);
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
	const waitForWitness = async ({isHeld, closeListeners}: Check, {isWitnessLost}: Watcher, waitMs: number): Promise<WitnessState> => {
		if (!isHeld) {
			return isWitnessLost ? WITNESS_STATES.closed : WITNESS_STATES.none;
		}

		return new Promise(resolve => {
			const settle = (state: WitnessState) => {
				clearTimeout(timer);
				closeListeners.delete(settleClosed);
				resolve(state);
			};

			const settleClosed = () => {
				settle(WITNESS_STATES.closed);
			};

			const timer = setTimeout(() => {
				setImmediate(settle, WITNESS_STATES.open);
			}, waitMs);
			closeListeners.add(settleClosed);
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
				address, watchers: new Set(), closeListeners: new Set(), socket: undefined, isHeld: false, hasRefused: false, retryTimer: undefined, replacedAtMs: Number.NEGATIVE_INFINITY,
			};
			checks.set(address, check);
			const watcher: Watcher = {
				isLeaving,
				isAnswering: false,
				isRefusalObserved: false,
				hasOutlivedRefusal: false,
				isWitnessLost: false,
				lossCount: 0,
				lostAtMs: Number.NEGATIVE_INFINITY,
				isPaused: false,
				pauseCount: 0,
				isEnded: false,
			};
			check.watchers.add(watcher);
			if (!check.hasRefused && isLeaving()) {
				holdConnection(check, watcher);
			}

			return {
				beginAnswer() {
					watcher.isAnswering = true;
					watcher.isWitnessLost &&= performance.now() - watcher.lostAtMs < TOGETHER_MS;
					// Most answers arrive with their end and need no silent connection.
					setImmediate(holdConnection, check, watcher);
				},
				setPaused(isPaused) {
					watcher.pauseCount += isPaused ? 1 : 0;
					watcher.isPaused = isPaused;
				},
				async findSigns(withinMs = Number.POSITIVE_INFINITY) {
					watcher.isEnded = true;
					const {hasOutlivedRefusal} = watcher;
					const endsAtMs = performance.now() + withinMs;
					const isListening = await probeTarget(address, {delayMs: 0});
					const waitMs = Math.max(MIN_WITNESS_MS, Math.min(PROCESS_END_MS, endsAtMs - performance.now()));
					const witness = isListening === false ? await waitForWitness(check, watcher, waitMs) : WITNESS_STATES.none;
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
				const watcher = check.hasRefused ? undefined : [...check.watchers].find(({isEnded}) => !isEnded);
				if (watcher?.isLeaving() === true) {
					holdConnection(check, watcher);
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
