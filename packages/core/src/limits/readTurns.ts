/**
 * Shares the processor time that reading takes. It answers the load of peers whose bytes cost much more to read than others
 * of their length, such as endless chunks of one byte or short header lines: a connection that has used up what is free in
 * a pass of the event loop waits for its turn, and all turns together take a fixed share of the time.
 */

/** Connections that wait for their turn. */
export type ReadTurns = {
	/** For each connection that waits, the time by which the turns are given in order. */
	readonly waiting: Map<number, number>;
	nextTurnAtMs: number;
};

/** Turns that a connection had, of which half are forgotten in each half-life. */
export type RecentTurns = {count: number; atMs: number};

/** Processor time that a connection may use in a pass of the event loop. Several times what an answer of usual length takes on the slowest instances. */
export const FREE_READ_MS = 2;
/** Processor time that a connection may use in its turn. */
export const TURN_MS = 3;
/** Share of the time that turns may take. */
const TURN_SHARE = 0.2;
/** Time in which half of a connection's turns are forgotten. Longer than many connections that need every turn take to get one each. */
const HALF_LIFE_MS = 1000;
/** Time by which each turn of late puts a connection behind others. Bounded, so that connections which always come anew do not hold it back for good. */
const DELAY_MS_PER_TURN = 100;

/** Creates turns for which nothing waits. */
export function createReadTurns(): ReadTurns {
	return {waiting: new Map(), nextTurnAtMs: 0};
}

/** Computes how many turns of a connection count now. */
export function computeRecentTurns({count, atMs}: RecentTurns, nowMs: number): number {
	return count * (0.5 ** ((nowMs - atMs) / HALF_LIFE_MS));
}

/** Counts a turn of a connection. */
export function countTurn(recent: RecentTurns, nowMs: number): void {
	recent.count = computeRecentTurns(recent, nowMs) + 1;
	recent.atMs = nowMs;
}

/** Lets a connection wait for its turn: the longer, the more turns it had of late. */
export function enqueueConnection({waiting}: ReadTurns, connectionId: number, {recentTurns, nowMs}: {readonly recentTurns: number; readonly nowMs: number}): void {
	waiting.set(connectionId, nowMs + (recentTurns * DELAY_MS_PER_TURN));
}

/** Takes a connection that is closed out of those that wait. */
export function removeConnection({waiting}: ReadTurns, connectionId: number): void {
	waiting.delete(connectionId);
}

/** Takes the connection whose turn it is out of those that wait; undefined if none waits or none has its turn yet. */
export function takeTurn({waiting, nextTurnAtMs}: ReadTurns, nowMs: number): number | undefined {
	if (nowMs < nextTurnAtMs) {
		return undefined;
	}

	let pickedId: number | undefined;
	let leastMs = Number.POSITIVE_INFINITY;
	for (const [connectionId, orderMs] of waiting) {
		if (orderMs < leastMs) {
			pickedId = connectionId;
			leastMs = orderMs;
		}
	}

	if (pickedId !== undefined) {
		waiting.delete(pickedId);
	}

	return pickedId;
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
export function computeTurnWaitMs({waiting, nextTurnAtMs}: ReadTurns, nowMs: number): number | undefined {
	return waiting.size === 0 ? undefined : Math.max(0, nextTurnAtMs - nowMs);
}
