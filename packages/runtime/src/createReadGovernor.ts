import {
	computeRecentTurns, computeTurnWaitMs, countTurn, createReadTurns, createReadWindow, endTurn, enqueueConnection, FREE_READ_MS, isReadFree, type RecentTurns, recordReadWork, removeConnection, takeTurn, TURN_MS,
} from '@damaskspool/core';

/** Processor time that one connection takes for reading. */
export type GovernedReader = {
	/** Records time that was spent on bytes of the connection. */
	readonly record: (workMs: number) => void;
	/** Returns whether more may be read now. If not, `onTurn` is called once the connection has its turn. */
	readonly mayRead: () => boolean;
	/** Makes the connection wait for its turn. */
	readonly enqueue: () => void;
	/** Forgets the connection. */
	readonly close: () => void;
};

/** Shares the event loop among the connections of a process, whoever is at their other end. */
export type ReadGovernor = {
	/** Adds a connection. In its turn, it must read within `onTurn` or in the pass of the event loop that follows. */
	readonly open: (onTurn: () => void) => GovernedReader;
};

type ReaderState = {readonly onTurn: () => void; readonly recent: RecentTurns; passWorkMs: number; isWaiting: boolean; isInTurn: boolean};

/** Creates a governor without connections. */
export function createReadGovernor(): ReadGovernor {
	const turns = createReadTurns();
	const window = createReadWindow();
	const readers = new Map<number, ReaderState>();
	/** Connections with work in the present pass of the event loop. */
	const activeReaders = new Set<ReaderState>();
	let lastReaderId = 0;
	let isTurnScheduled = false;

	const endPass = () => {
		for (const reader of activeReaders) {
			reader.passWorkMs = 0;
		}

		activeReaders.clear();
	};

	const scheduleTurn = () => {
		const waitMs = computeTurnWaitMs(turns, performance.now());
		if (isTurnScheduled || waitMs === undefined) {
			return;
		}

		isTurnScheduled = true;
		setTimeout(runTurn, waitMs);
	};

	const runTurn = () => {
		const readerId = takeTurn(turns, performance.now());
		const reader = readerId === undefined ? undefined : readers.get(readerId);
		if (reader === undefined) {
			isTurnScheduled = false;
			scheduleTurn();
			return;
		}

		countTurn(reader.recent, performance.now());
		reader.isWaiting = false;
		reader.isInTurn = true;
		reader.passWorkMs = 0;
		// The event loop reads between its timers and its immediates. The turn ends even if its task fails.
		setImmediate(() => {
			reader.isInTurn = false;
			endTurn(turns, reader.passWorkMs, performance.now());
			reader.passWorkMs = 0;
			isTurnScheduled = false;
			scheduleTurn();
		});
		reader.onTurn();
	};

	return {
		open(onTurn) {
			lastReaderId += 1;
			const readerId = lastReaderId;
			const reader: ReaderState = {
				onTurn, recent: {count: 0, atMs: 0}, passWorkMs: 0, isWaiting: false, isInTurn: false,
			};
			readers.set(readerId, reader);

			const enqueue = () => {
				reader.isWaiting = true;
				const nowMs = performance.now();
				enqueueConnection(turns, readerId, {recentTurns: computeRecentTurns(reader.recent, nowMs), nowMs});
				scheduleTurn();
			};

			return {
				record(workMs) {
					reader.passWorkMs += workMs;
					if (reader.isInTurn) {
						return;
					}

					recordReadWork(window, readerId, workMs);
					if (activeReaders.has(reader)) {
						return;
					}

					if (activeReaders.size === 0) {
						setImmediate(endPass);
					}

					activeReaders.add(reader);
				},
				mayRead() {
					if (reader.isWaiting) {
						return false;
					}

					const isFree = reader.isInTurn
						? reader.passWorkMs < TURN_MS
						: reader.passWorkMs < FREE_READ_MS && isReadFree(window, readerId, performance.now());
					if (isFree) {
						return true;
					}

					enqueue();
					return false;
				},
				enqueue,
				close() {
					readers.delete(readerId);
					removeConnection(turns, readerId);
				},
			};
		},
	};
}
