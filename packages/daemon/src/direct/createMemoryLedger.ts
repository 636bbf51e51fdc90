import {type ServerResponse} from 'node:http';
import process from 'node:process';
import {getHeapStatistics} from 'node:v8';
import {
	computeNextBudget, chooseDropped, chooseStalled, computeConnectionLimit, computeMemoryBudget, mayAdmitBody, mayGrowBody,
} from '@damaskspool/core';
import {type ConnectionLimiter} from './createConnectionLimiter.js';

/** What an entry holds for one call. */
export type HeldCall = {
	readonly callId: number;
	readonly requestId: string;
	readonly response: ServerResponse;
	/** Bytes of the header lines that are kept until the answer is closed. */
	readonly headBytes: number;
	/** Bytes of the request body; set to zero once no target needs them any more. */
	bodyBytes: number;
	/** Bytes of a response that is not forwarded yet. */
	bufferedBytes: number;
	/** Bytes of a response that wait for the caller to read what came before. */
	pendingBytes: number;
	/** Whether the request body is still being read, so that no target knows the request. */
	isReading: boolean;
	progressedAtMs: number;
	/** Bytes that the caller had read or sent at the last measurement. */
	progressBytes: number;
};

/** Counts the bytes that an entry holds for callers and targets, and keeps them within the budget of the instance. */
export type MemoryLedger = {
	/** Begins to count for a call; the count ends when its response closes. */
	readonly add: (call: Pick<HeldCall, 'callId' | 'requestId' | 'response'> & Partial<Pick<HeldCall, 'headBytes'>>) => HeldCall;
	/** Tells whether a request body of this length may be read now. */
	readonly mayAdmit: (bodyBytes: number) => boolean;
	/** Tells whether a body whose length its caller did not declare may be read on, `addedBytes` of which have just come. */
	readonly mayGrow: (call: HeldCall, addedBytes: number) => boolean;
	/** Records bytes that are held from now on, and drops connections if that is too much. */
	readonly record: (bytes: number) => void;
	/** Tells whether a target may send more although its caller has not read everything. */
	readonly mayForward: (call: HeldCall) => boolean;
	/** Returns the bytes held. */
	readonly measure: () => number;
	/** Returns the bytes that may be held now; `Infinity` if the platform states no memory. */
	readonly getBudget: () => number;
	readonly stop: () => void;
};

/** Options of {@link createMemoryLedger}. */
export type MemoryLedgerOptions = {
	/** Memory of the instance; undefined if the platform states none. */
	readonly memoryBytes: number | undefined;
	/** Connections that are held beside calls; not counted if omitted. */
	readonly connections?: Pick<ConnectionLimiter, 'measureHeld' | 'release'>;
	/** Called with a call whose connection must be closed, because memory is short. */
	readonly onDropped: (call: HeldCall, use: {readonly heldBytes: number; readonly unreadMs: number; readonly totalBytes: number}) => void;
};

/** Interval of measurements. Short against the seconds after which a target cuts off a response that is not read. */
const MEASURE_INTERVAL_MS = 250;
/** Least time between two measurements when memory is short, which go through all calls. */
const MIN_MEASURE_GAP_MS = 20;
/** Share of the budget from which on the time between measurements is shorter. */
const URGENT_SHARE = 1.25;
const URGENT_MEASURE_GAP_MS = 4;
/** Bytes of a body that count as progress. Fewer keep it from being dropped for nothing. */
const MIN_BODY_PROGRESS_BYTES = 1024;
/** Share of the budget that is left after connections without a request were closed. */
const FREED_TO_SHARE = 0.9;

/** Starts to measure what an entry holds. */
export function createMemoryLedger({memoryBytes, connections, onDropped}: MemoryLedgerOptions): MemoryLedger {
	let budgetBytes = computeMemoryBudget(memoryBytes);
	let residentBytes = 0;
	let heapUsedBytes = 0;
	/** Whether a long body was refused since the last measurement by the timer. */
	let wasRefused = false;
	const calls = new Map<number, HeldCall>();
	/** Bytes held at the last measurement and all bytes recorded since: at least what is held now. */
	let heldBytes = 0;
	let measuredAtMs = 0;

	const countHeld = ({response, headBytes, bodyBytes, bufferedBytes, pendingBytes}: HeldCall) => headBytes + bodyBytes + bufferedBytes + pendingBytes + response.writableLength;

	const measure = (): number => {
		const nowMs = performance.now();
		measuredAtMs = nowMs;
		heldBytes = connections?.measureHeld() ?? 0;
		for (const call of calls.values()) {
			const {response, bodyBytes, isReading} = call;
			const {socket} = response;
			const progressBytes = isReading || socket === null ? bodyBytes : socket.bytesWritten - socket.writableLength;
			const hasMoved = isReading ? progressBytes - call.progressBytes >= MIN_BODY_PROGRESS_BYTES : progressBytes !== call.progressBytes;
			if (hasMoved || (!isReading && response.writableLength === 0)) {
				call.progressBytes = progressBytes;
				call.progressedAtMs = nowMs;
			}

			heldBytes += countHeld(call);
		}

		return heldBytes;
	};

	const listDroppable = () => [...calls.values()].filter(({isReading, response}) => isReading || response.writableLength > 0).map(call => ({
		callId: call.callId, heldBytes: countHeld(call), progressedAtMs: call.progressedAtMs,
	}));

	const drop = (callIds: readonly number[], totalBytes: number) => {
		for (const callId of callIds) {
			const call = calls.get(callId)!;
			calls.delete(callId);
			onDropped(call, {heldBytes: countHeld(call), unreadMs: measuredAtMs - call.progressedAtMs, totalBytes});
		}
	};

	/** Closes connections without a request if too much is held, and returns what is held then. */
	const releaseConnections = (totalBytes: number, mayCloseAll: boolean): number => {
		if (connections === undefined || totalBytes <= budgetBytes) {
			return totalBytes;
		}

		connections.release(totalBytes - (budgetBytes * FREED_TO_SHARE), mayCloseAll);
		return measure();
	};

	const applyBudget = () => {
		const totalBytes = measure();
		if (totalBytes <= budgetBytes) {
			return;
		}

		const leftBytes = releaseConnections(totalBytes, false);
		drop(chooseDropped(listDroppable(), {heldBytes: leftBytes, budgetBytes}, measuredAtMs), leftBytes);
		releaseConnections(measure(), true);
	};

	const updateBudget = () => {
		const previousBytes = residentBytes;
		const previousHeapBytes = heapUsedBytes;
		const {used_heap_size: usedBytes, heap_size_limit: limitBytes} = getHeapStatistics();
		residentBytes = process.memoryUsage.rss();
		heapUsedBytes = usedBytes;
		budgetBytes = computeNextBudget({heldBytes: measure(), budgetBytes}, {
			residentBytes, previousBytes, heap: {usedBytes, previousBytes: previousHeapBytes, limitBytes},
		}, memoryBytes);
		applyBudget();
		if (wasRefused) {
			wasRefused = false;
			drop(chooseStalled(listDroppable(), {heldBytes, budgetBytes}, measuredAtMs), heldBytes);
		}
	};

	const timer = setInterval(() => {
		// After a time in which the process stood still, callers may have read meanwhile. The event loop learns that first.
		setImmediate(updateBudget);
	}, MEASURE_INTERVAL_MS);
	timer.unref();
	return {
		add({callId, requestId, response, headBytes = 0}) {
			const call: HeldCall = {
				callId, requestId, response, headBytes, bodyBytes: 0, bufferedBytes: 0, pendingBytes: 0, isReading: true, progressedAtMs: performance.now(), progressBytes: 0,
			};
			calls.set(callId, call);
			heldBytes += headBytes;
			response.on('close', () => {
				calls.delete(callId);
			});
			return call;
		},
		mayAdmit(bodyBytes) {
			const mayBeRead = mayAdmitBody({heldBytes, budgetBytes}, bodyBytes);
			wasRefused ||= !mayBeRead;
			return mayBeRead;
		},
		mayGrow({bodyBytes}, addedBytes) {
			const mayBeRead = mayGrowBody({heldBytes, budgetBytes}, bodyBytes, addedBytes);
			wasRefused ||= !mayBeRead;
			return mayBeRead;
		},
		record(bytes) {
			heldBytes += bytes;
			const gapMs = heldBytes > budgetBytes * URGENT_SHARE ? URGENT_MEASURE_GAP_MS : MIN_MEASURE_GAP_MS;
			if (heldBytes > budgetBytes && performance.now() - measuredAtMs >= gapMs) {
				applyBudget();
			}
		},
		mayForward: ({response, pendingBytes}) => response.writableLength + pendingBytes < computeConnectionLimit({heldBytes, budgetBytes}),
		measure,
		getBudget: () => budgetBytes,
		stop() {
			clearInterval(timer);
		},
	};
}
