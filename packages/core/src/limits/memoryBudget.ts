/**
 * Bounds the bytes that an entry holds for others: bodies of requests, buffered responses, and what callers have not read.
 * It answers the load of many callers that read or send slowly: without a bound over all connections, each of which may
 * hold little, the process exceeds the memory of its instance and ends with all calls.
 */

/** Bytes that an entry holds for one call. */
export type HeldConnection = {
	readonly callId: number;
	readonly heldBytes: number;
	/** Time at which the caller last read or sent anything. */
	readonly progressedAtMs: number;
};

/** What an entry holds at a moment, and what it may hold. */
export type MemoryUse = {readonly heldBytes: number; readonly budgetBytes: number};

/** Share of an instance's memory that the process may use. */
const PROCESS_SHARE = 0.8;
/** Share of an instance's memory from which on growth of the process lowers the budget. */
const CROWDED_SHARE = 0.75;
/** Share of an instance's memory below which a lowered budget rises again. */
const RELAXED_SHARE = 0.7;
/** Growth of the process between two measurements that counts as growth. */
const MIN_GROWTH_BYTES = 1024 * 1024;
/** Factors by which a budget falls and rises with a measurement. */
const BUDGET_FALL = 0.8;
const BUDGET_RISE = 1.05;
/** Memory of the process without held bytes: code, heap and buffers of connections. */
const PROCESS_BYTES = 120 * 1024 * 1024;
/** Resident memory for each held byte. Freed buffers are returned late and leave gaps. */
const RESIDENT_FACTOR = 1.5;
/** Lowest budget, so that the smallest instance serves a few of the largest requests. */
const MIN_BUDGET_BYTES = 12 * 1024 * 1024;
/** Share of the budget up to which a connection may hold a whole short response. */
const AMPLE_SHARE = 0.5;
/** Share of the budget above which no further long bodies are read. */
const ADMITTED_SHARE = 0.75;
/** Length of a body up to which it is read beyond that share: callers that read slowly must not keep others from being served. */
const SHORT_BODY_BYTES = 16_384;
/** Share of the budget up to which short bodies are read. Complete requests that wait for a target are never dropped. */
const EXHAUSTED_SHARE = 2.5;
/** Share of the heap's limit from which on growth of the heap lowers the budget. */
const CROWDED_HEAP_SHARE = 0.75;
/** Share of the budget that is left after connections were dropped. */
const DROPPED_TO_SHARE = 0.9;
/** Unread bytes of a connection above which its target waits, while memory is ample. As long as a response that is buffered whole. */
const AMPLE_CONNECTION_BYTES = 262_144;
/** The same limit when memory is short. */
const SHORT_CONNECTION_BYTES = 16_384;
/** Time without progress from which on a caller counts as stalled. */
const STALLED_MS = 1000;

/**
 * Computes the bytes that an entry may hold for others.
 *
 * @param memoryBytes - memory of the instance; undefined if the platform states none
 * @returns bytes, `Infinity` without a stated memory
 */
export function computeMemoryBudget(memoryBytes: number | undefined): number {
	return memoryBytes === undefined
		? Number.POSITIVE_INFINITY
		: Math.max(MIN_BUDGET_BYTES, Math.floor(((memoryBytes * PROCESS_SHARE) - PROCESS_BYTES) / RESIDENT_FACTOR));
}

/** Memory of the process at two measurements in a row, and the use of the JavaScript heap if its limit is known, in bytes. */
export type ResidentMemory = {
	readonly residentBytes: number;
	readonly previousBytes: number;
	readonly heap?: {readonly usedBytes: number; readonly previousBytes: number; readonly limitBytes: number};
};

/**
 * Computes the budget that follows from the memory that the process takes in fact. What a held byte costs depends on the sizes of reads and
 * on when buffers are returned, and freed memory is reused but rarely given back, so only growth near the limit counts.
 *
 * @param use - bytes held now, and the budget in force
 * @param memoryBytes - memory of the instance; undefined if the platform states none
 * @returns the budget from now on
 */
export function computeNextBudget({heldBytes, budgetBytes}: MemoryUse, {residentBytes, previousBytes, heap}: ResidentMemory, memoryBytes: number | undefined): number {
	if (memoryBytes === undefined) {
		return budgetBytes;
	}

	const isHeapCrowded = heap !== undefined && heap.usedBytes > heap.limitBytes * CROWDED_HEAP_SHARE && heap.usedBytes - heap.previousBytes >= MIN_GROWTH_BYTES;
	if (isHeapCrowded || (residentBytes > memoryBytes * CROWDED_SHARE && residentBytes - previousBytes >= MIN_GROWTH_BYTES)) {
		return Math.max(MIN_BUDGET_BYTES, Math.min(budgetBytes, heldBytes) * BUDGET_FALL);
	}

	return residentBytes < memoryBytes * RELAXED_SHARE ? Math.min(computeMemoryBudget(memoryBytes), budgetBytes * BUDGET_RISE) : budgetBytes;
}

/** Computes the unread bytes of one connection above which the target must wait for its caller. */
export function computeConnectionLimit({heldBytes, budgetBytes}: MemoryUse): number {
	return heldBytes <= budgetBytes * AMPLE_SHARE ? AMPLE_CONNECTION_BYTES : SHORT_CONNECTION_BYTES;
}

/** Tells whether a request body of this length may be read. */
export function mayAdmitBody({heldBytes, budgetBytes}: MemoryUse, bodyBytes: number): boolean {
	return heldBytes + bodyBytes <= budgetBytes * (bodyBytes <= SHORT_BODY_BYTES ? EXHAUSTED_SHARE : ADMITTED_SHARE);
}

/** Tells whether a body of unknown length may be read on when it grows to `bodyBytes`. It is admitted once, where it stops to be short. */
export function mayGrowBody(use: MemoryUse, bodyBytes: number, addedBytes: number): boolean {
	return bodyBytes <= SHORT_BODY_BYTES || bodyBytes - addedBytes > SHORT_BODY_BYTES || mayAdmitBody(use, bodyBytes);
}

/**
 * Chooses the connections to drop when more is held than the budget. Callers that make progress come after all stalled
 * ones; otherwise most bytes held for the longest time come first.
 *
 * @param connections - those that may be dropped
 * @param nowMs - current time by the clock of `progressedAtMs`
 * @returns their calls, in the order in which they are dropped
 */
export function chooseDropped(connections: readonly HeldConnection[], {heldBytes, budgetBytes}: MemoryUse, nowMs: number): readonly number[] {
	if (heldBytes <= budgetBytes) {
		return [];
	}

	const isStalled = ({progressedAtMs}: HeldConnection) => nowMs - progressedAtMs >= STALLED_MS;
	const computeWeight = (connection: HeldConnection) => connection.heldBytes * Math.max(1, nowMs - connection.progressedAtMs);
	const ranked = connections.filter(connection => connection.heldBytes > 0).toSorted((left, right) =>
		Number(isStalled(right)) - Number(isStalled(left)) || computeWeight(right) - computeWeight(left) || left.callId - right.callId);
	const dropped: number[] = [];
	let excessBytes = heldBytes - (budgetBytes * DROPPED_TO_SHARE);
	for (const connection of ranked) {
		if (excessBytes <= 0) {
			break;
		}

		excessBytes -= connection.heldBytes;
		dropped.push(connection.callId);
	}

	return dropped;
}

/**
 * Chooses stalled connections to drop when a long body was refused because of what they hold. They would keep others from being served
 * without ever exceeding the budget.
 *
 * @param connections - those that may be dropped
 * @param nowMs - current time by the clock of `progressedAtMs`
 */
export function chooseStalled(connections: readonly HeldConnection[], {heldBytes, budgetBytes}: MemoryUse, nowMs: number): readonly number[] {
	const stalled = connections.filter(({progressedAtMs}) => nowMs - progressedAtMs >= STALLED_MS);
	return chooseDropped(stalled, {heldBytes, budgetBytes: budgetBytes * ADMITTED_SHARE}, nowMs);
}
