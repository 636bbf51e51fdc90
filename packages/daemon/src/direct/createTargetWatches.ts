import {type CloseSigns, WITNESS_STATES, type WitnessState} from '@damaskspool/core';
import {type ConnectionLoss, createSilentConnection, type SilentConnection} from './createSilentConnection.js';
import {probeTarget} from './probeTarget.js';

/** Signs that a watch finds by itself. */
export type WatchedSigns = Omit<CloseSigns, 'isLeaving'>;

/** Watches whether the process of a target lives while an answer of it is under way that ends with its connection. */
export type TargetWatch = {
	/** Records whether the connection of the answer is read. While it is not, its end can not be seen. */
	readonly setPaused: (isPaused: boolean) => void;
	/** Finds out what the watch shows about the end of the answer, and ends it. */
	readonly findSigns: (options?: FindSignsOptions) => Promise<WatchedSigns>;
	/** Ends the watch. */
	readonly stop: () => void;
};

/** Options of {@link TargetWatch.findSigns}. */
export type FindSignsOptions = {
	/** Monotonic time until which the end of a silent connection is waited for at most. */
	readonly untilMs?: number;
	/** Another silent connection to the target. It counts if it stays open. */
	readonly connection?: SilentConnection | undefined;
};

/** Watches of all targets. Answers of one target share one silent connection. */
export type TargetWatches = {
	/** @param address - `ip:port` */
	readonly begin: (address: string) => TargetWatch;
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
	isRefusalObserved: boolean;
	hasOutlivedRefusal: boolean;
	/** Monotonic time at which the silent connection closed last, while it is not known whether the process lives on. */
	lostAtMs: number | undefined;
	isPaused: boolean;
	pauseCount: number;
	isEnded: boolean;
};

/** The silent connection to one target. */
type Check = {
	readonly address: string;
	readonly watchers: Set<Watcher>;
	connection: SilentConnection | undefined;
	retryTimer: NodeJS.Timeout | undefined;
	/** Monotonic time of the last replacement at once. */
	replacedAtMs: number;
};

/** Time within which the ends of all connections of a process that has ended arrive, also when a packet was lost once. Callers wait for it. */
const PROCESS_END_MS = 250;
/** Least time for which the end of a silent connection is waited for. */
const MIN_WITNESS_MS = 20;
/** Time until a lost silent connection is replaced. A target may close idle ones. */
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
		for (const watcher of checks.get(address)?.watchers ?? []) {
			if (!watcher.isRefusalObserved) {
				watcher.isRefusalObserved = true;
				observe(address, watcher, () => {
					watcher.hasOutlivedRefusal = true;
				});
			}
		}
	};

	const observeLoss = (address: string, watcher: Watcher) => {
		const {lostAtMs} = watcher;
		observe(address, watcher, () => {
			if (watcher.lostAtMs === lostAtMs) {
				watcher.lostAtMs = undefined;
			} else {
				observeLoss(address, watcher);
			}
		});
	};

	const recordLoss = ({address, watchers}: Check) => {
		for (const watcher of watchers) {
			const isObserved = watcher.lostAtMs !== undefined;
			watcher.lostAtMs = performance.now();
			if (!isObserved) {
				observeLoss(address, watcher);
			}
		}
	};

	const destroyCheck = ({address, connection, retryTimer}: Check) => {
		checks.delete(address);
		clearTimeout(retryTimer);
		connection?.destroy();
	};

	const release = (check: Check, watcher: Watcher) => {
		watcher.isEnded = true;
		check.watchers.delete(watcher);
		if (check.watchers.size === 0 && checks.get(check.address) === check) {
			destroyCheck(check);
		}
	};

	/** Replaces a lost connection. One that was reset tells that the target may have stopped listening, which the next one finds out at once. */
	const scheduleConnection = (check: Check, {wasReset}: ConnectionLoss) => {
		const nowMs = performance.now();
		const isAtOnce = wasReset && nowMs - check.replacedAtMs >= RETRY_MS;
		check.replacedAtMs = isAtOnce ? nowMs : check.replacedAtMs;
		check.retryTimer = setTimeout(() => {
			check.retryTimer = undefined;
			connectCheck(check);
		}, isAtOnce ? 0 : RETRY_MS);
		check.retryTimer.unref();
	};

	const connectCheck = (check: Check) => {
		check.connection = createSilentConnection({
			address: check.address, onLost(loss) {
				check.connection = undefined;
				if (loss.isRefused) {
					recordRefusal(check.address);
				}

				if (loss.wasHeld) {
					recordLoss(check);
				}

				if (!loss.isRefused && checks.get(check.address) === check) {
					scheduleConnection(check, loss);
				}
			},
		});
	};

	/** Finds out whether one of the silent connections outlives the end of an answer. */
	const waitForWitness = async (check: Check, watcher: Watcher, {connection, waitMs}: {connection: SilentConnection | undefined; waitMs: number}): Promise<WitnessState> => {
		const wasHeld = check.connection?.isHeld() === true;
		const areOpen = await Promise.all([check.connection, connection].map(async silent => silent?.checkStaysOpen(waitMs)));
		if (areOpen.includes(true)) {
			return WITNESS_STATES.open;
		}

		return wasHeld || watcher.lostAtMs !== undefined ? WITNESS_STATES.closed : WITNESS_STATES.none;
	};

	return {
		recordRefusal,
		begin(address) {
			const check = checks.get(address) ?? {
				address, watchers: new Set(), connection: undefined, retryTimer: undefined, replacedAtMs: Number.NEGATIVE_INFINITY,
			};
			checks.set(address, check);
			const watcher: Watcher = {
				isRefusalObserved: false,
				hasOutlivedRefusal: false,
				lostAtMs: undefined,
				isPaused: false,
				pauseCount: 0,
				isEnded: false,
			};
			check.watchers.add(watcher);
			// Most answers arrive with their end and need no silent connection.
			setImmediate(() => {
				if (!watcher.isEnded && check.connection === undefined && check.retryTimer === undefined) {
					connectCheck(check);
				}
			});
			return {
				setPaused(isPaused) {
					watcher.pauseCount += isPaused ? 1 : 0;
					watcher.isPaused = isPaused;
				},
				async findSigns({untilMs = Number.POSITIVE_INFINITY, connection} = {}) {
					watcher.isEnded = true;
					const {hasOutlivedRefusal} = watcher;
					const isListening = await probeTarget(address, {delayMs: 0});
					const waitMs = Math.max(MIN_WITNESS_MS, Math.min(PROCESS_END_MS, untilMs - performance.now()));
					const witness = isListening === false ? await waitForWitness(check, watcher, {connection, waitMs}) : WITNESS_STATES.none;
					release(check, watcher);
					return {isListening, hasOutlivedRefusal, witness};
				},
				stop() {
					release(check, watcher);
				},
			};
		},
		close() {
			for (const check of checks.values()) {
				destroyCheck(check);
			}
		},
	};
}
