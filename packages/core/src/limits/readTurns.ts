/**
 * Shares the processor time that reading takes. It answers the load of peers whose bytes cost much more to read than others
 * of their length, such as endless chunks of one byte or short header lines: a connection that has used up what is free in
 * a pass of the event loop waits for its turn, and all turns together take a fixed share of the time.
 */

/** Connections that wait for their turn. */
export type ReadTurns = {
	/** Connections that wait for the first time, in the order of their turns. They go before the others. */
	readonly queue: Set<number>;
	/** Connections for which the turns before were not enough, in the order of their turns. */
	readonly repeatedQueue: Set<number>;
	nextTurnAtMs: number;
};

/** Processor time that a connection may use in a pass of the event loop. Several times what an answer of usual length takes on the slowest instances. */
export const FREE_READ_MS = 2;
/** Processor time that a connection may use in its turn. */
export const TURN_MS = 3;
/** Share of the time that turns may take. */
const TURN_SHARE = 0.2;

/** Creates turns for which nothing waits. */
export function createReadTurns(): ReadTurns {
	return {queue: new Set(), repeatedQueue: new Set(), nextTurnAtMs: 0};
}

/**
 * Lets a connection wait for its turn.
 *
 * @param turns - changed in place
 * @param options - `isRepeated` tells whether the connection has its turn now and needs more
 */
export function enqueueConnection(turns: ReadTurns, connectionId: number, {isRepeated}: {readonly isRepeated: boolean}): void {
	(isRepeated ? turns.repeatedQueue : turns.queue).add(connectionId);
}

/** Takes a connection that is closed out of the queues. */
export function removeConnection({queue, repeatedQueue}: ReadTurns, connectionId: number): void {
	queue.delete(connectionId);
	repeatedQueue.delete(connectionId);
}

/** Takes the connection whose turn it is out of the queue; undefined if none waits or none has its turn yet. */
export function takeTurn(turns: ReadTurns, nowMs: number): number | undefined {
	const [connectionId] = turns.queue.size > 0 ? turns.queue : turns.repeatedQueue;
	if (connectionId === undefined || nowMs < turns.nextTurnAtMs) {
		return undefined;
	}

	removeConnection(turns, connectionId);
	return connectionId;
}

/**
 * Ends a turn. What it took beyond its limit delays the next one as well.
 *
 * @param turns - changed in place
 * @param workMs - time that the turn took. On an instance that gets a part of a core, it includes the time without the core
 */
export function endTurn(turns: ReadTurns, workMs: number, nowMs: number): void {
	turns.nextTurnAtMs = nowMs + (workMs * ((1 / TURN_SHARE) - 1));
}

/** Computes the time until the next turn; undefined if no connection waits. */
export function computeTurnWaitMs({queue, repeatedQueue, nextTurnAtMs}: ReadTurns, nowMs: number): number | undefined {
	return queue.size + repeatedQueue.size === 0 ? undefined : Math.max(0, nextTurnAtMs - nowMs);
}
