/**
 * Bounds the connections of callers that are open at once. It answers callers that open connections and leave them: descriptors
 * and memory must remain for files, targets, the store and peers, and a new connection must find a place.
 */

/** How far the requests of a connection have come. */
export const CONNECTION_STAGES = {
	/** No request is under way: nothing was sent yet, or a part of a head. */
	head: 'head',
	/** All requests are answered, and nothing was sent since. */
	idle: 'idle',
	/** The body of its only request is being read, so that no target knows the request. */
	body: 'body',
	/** Its last answer is complete, and the caller has not read it. */
	unread: 'unread',
	/** A request is complete and not answered. */
	busy: 'busy',
} as const;

export type ConnectionStage = typeof CONNECTION_STAGES[keyof typeof CONNECTION_STAGES];

/** An open connection of a caller. */
export type CallerConnection = {
	readonly connectionId: number;
	readonly stage: ConnectionStage;
	/** Time since which it has been at this stage without progress; of a head, since its first byte was awaited. */
	readonly sinceMs: number;
};

/** The same with the bytes that were read of it and belong to no request yet. */
export type HeldCallerConnection = CallerConnection & {readonly heldBytes: number};

/** What bounds the connections of callers. */
export type ConnectionBounds = {
	/** Descriptors that the process may have open; undefined if the platform states none. */
	readonly maxDescriptors: number | undefined;
	/** Memory of the instance; undefined if the platform states none. */
	readonly memoryBytes: number | undefined;
	/** Connections to targets that are open. */
	readonly targetConnections: number;
};

/** Descriptors for files. */
const FILE_DESCRIPTORS = 200;
/** Descriptors for listening sockets, the store, readiness checks, probes and peers. */
const OWN_DESCRIPTORS = 100;
/** Share of the other descriptors that callers may use. */
const CALLER_SHARE = 0.75;
/** Lowest limit, so that an entry serves with few descriptors too. */
const MIN_CONNECTIONS = 8;
/** Share of an instance's memory that connections may take, without what their requests hold. */
const MEMORY_SHARE = 0.2;
/** Resident memory of an open connection: the socket, its parser and what is known of it. */
const CONNECTION_BYTES = 24 * 1024;
/** Connections that the memory of the process without held bytes includes; see `memoryBudget.ts`. */
const INCLUDED_CONNECTIONS = 500;
/** What a further connection counts as held bytes, each of which stands for more resident memory. */
const CONNECTION_HELD_BYTES = 16 * 1024;
/** Time from which on a head or body that is not complete, or an answer that is not read, counts as stalled. */
const STALLED_MS = 1000;
/** Share of the limit that is closed at once, so that the choice is not made for each new connection. */
const CLOSED_SHARE = 0.01;

/** Stages in the order in which their connections are closed. Those that are not stalled come later: callers that send at once are the last. */
const STALLED_RANKS: Readonly<Record<ConnectionStage, number | undefined>> = {
	head: 0, idle: 1, body: 2, unread: 3, busy: undefined,
};
const MOVING_RANKS: Readonly<Record<ConnectionStage, number | undefined>> = {
	head: 4, idle: 1, body: 4, unread: 5, busy: undefined,
};

/** Computes how many connections of callers may be open; `Infinity` if the platform states neither descriptors nor memory. */
export function computeMaxConnections({maxDescriptors, memoryBytes, targetConnections}: ConnectionBounds): number {
	const socketCount = (maxDescriptors ?? Number.POSITIVE_INFINITY) - FILE_DESCRIPTORS - OWN_DESCRIPTORS;
	const byDescriptors = Math.min(socketCount * CALLER_SHARE, socketCount - targetConnections);
	const byMemory = (memoryBytes ?? Number.POSITIVE_INFINITY) * MEMORY_SHARE / CONNECTION_BYTES;
	return Math.max(MIN_CONNECTIONS, Math.floor(Math.min(byDescriptors, byMemory)));
}

/**
 * Chooses the connections to close when more are open than may be: first incomplete heads, then idle connections, then stalled bodies
 * and unread answers, each by the longest time; last what is not stalled, which leaves new callers the time to send a request.
 *
 * @param connections - those that are open, in any order
 * @param nowMs - current time by the clock of `sinceMs`
 * @returns identifiers in the order in which they are closed; fewer than are too many if the others have a request under way
 */
export function chooseClosed(connections: readonly CallerConnection[], maxConnections: number, nowMs: number): readonly number[] {
	if (connections.length <= maxConnections) {
		return [];
	}

	const computeRank = ({stage, sinceMs}: CallerConnection) => (nowMs - sinceMs >= STALLED_MS ? STALLED_RANKS : MOVING_RANKS)[stage];
	return connections
		.flatMap(({connectionId, sinceMs, stage}) => {
			const rank = computeRank({connectionId, sinceMs, stage});
			return rank === undefined ? [] : [{connectionId, sinceMs, rank}];
		})
		.toSorted((left, right) => left.rank - right.rank || left.sinceMs - right.sinceMs || left.connectionId - right.connectionId)
		.slice(0, connections.length - maxConnections + Math.floor(maxConnections * CLOSED_SHARE))
		.map(({connectionId}) => connectionId);
}

/** Computes the held bytes that so many open connections count for. */
export function computeConnectionsHeld(connectionCount: number): number {
	return Math.max(0, connectionCount - INCLUDED_CONNECTIONS) * CONNECTION_HELD_BYTES;
}

/** How much must be freed, and whether all connections without a request may close for it or only stalled heads. */
export type FreedMemory = {readonly bytes: number; readonly mayCloseAll: boolean};

/**
 * Chooses connections without a request to close when memory is short: stalled heads by most bytes for the longest time, then idle
 * connections by the longest time, last the heads that began just now.
 *
 * @returns identifiers in the order in which they are closed
 */
export function chooseFreed(connections: readonly HeldCallerConnection[], {bytes, mayCloseAll}: FreedMemory, nowMs: number): readonly number[] {
	const isStalledHead = ({stage, sinceMs}: CallerConnection) => stage === CONNECTION_STAGES.head && nowMs - sinceMs >= STALLED_MS;
	const computeWeight = ({heldBytes, sinceMs}: HeldCallerConnection) => (heldBytes + CONNECTION_HELD_BYTES) * Math.max(1, nowMs - sinceMs);
	const ranked = connections
		.filter(connection => isStalledHead(connection) || (mayCloseAll && (connection.stage === CONNECTION_STAGES.head || connection.stage === CONNECTION_STAGES.idle)))
		.toSorted((left, right) => Number(isStalledHead(right)) - Number(isStalledHead(left))
			|| Number(right.stage === CONNECTION_STAGES.idle) - Number(left.stage === CONNECTION_STAGES.idle)
			|| computeWeight(right) - computeWeight(left) || left.connectionId - right.connectionId);
	const chosen: number[] = [];
	let freedBytes = 0;
	for (const {connectionId, heldBytes} of ranked) {
		if (freedBytes >= bytes) {
			break;
		}

		freedBytes += heldBytes + CONNECTION_HELD_BYTES;
		chosen.push(connectionId);
	}

	return chosen;
}
