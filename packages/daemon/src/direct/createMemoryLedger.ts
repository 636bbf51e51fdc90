import {type ServerResponse} from 'node:http';
import process from 'node:process';
import {
	computeNextBudget, chooseDropped, computeConnectionLimit, computeMemoryBudget, mayAdmitBody,
} from '@damaskspool/core';

/** What an entry holds for one call. */
export type HeldCall = {
	readonly callId: number;
	readonly requestId: string;
	readonly response: ServerResponse;
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
	readonly add: (call: Pick<HeldCall, 'callId' | 'requestId' | 'response'>) => HeldCall;
	/** Tells whether a request body of this length may be read now. */
	readonly mayAdmit: (bodyBytes: number) => boolean;
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
	/** Called with a call whose connection must be closed, because memory is short. */
	readonly onDropped: (call: HeldCall, use: {readonly heldBytes: number; readonly unreadMs: number; readonly totalBytes: number}) => void;
};

/** Interval of measurements. Short against the seconds after which a target cuts off a response that is not read. */
const MEASURE_INTERVAL_MS = 250;
/** Least time between two measurements when memory is short, which go through all calls. */
const MIN_MEASURE_GAP_MS = 20;

/** Starts to measure what an entry holds. */
export function createMemoryLedger({memoryBytes, onDropped}: MemoryLedgerOptions): MemoryLedger {
	let budgetBytes = computeMemoryBudget(memoryBytes);
	let residentBytes = 0;
	const calls = new Map<number, HeldCall>();
	/** Bytes held at the last measurement and all bytes recorded since: at least what is held now. */
	let heldBytes = 0;
	let measuredAtMs = 0;

	const countHeld = ({response, bodyBytes, bufferedBytes, pendingBytes}: HeldCall) => bodyBytes + bufferedBytes + pendingBytes + response.writableLength;

	const measure = (): number => {
		const nowMs = performance.now();
		measuredAtMs = nowMs;
		heldBytes = 0;
		for (const call of calls.values()) {
			const {response, bodyBytes, isReading} = call;
			const {socket} = response;
			const progressBytes = isReading || socket === null ? bodyBytes : socket.bytesWritten - socket.writableLength;
			if (progressBytes !== call.progressBytes || (!isReading && response.writableLength === 0)) {
				call.progressBytes = progressBytes;
				call.progressedAtMs = nowMs;
			}

			heldBytes += countHeld(call);
		}

		return heldBytes;
	};

	const applyBudget = () => {
		const totalBytes = measure();
		if (totalBytes <= budgetBytes) {
			return;
		}

		const candidates = [...calls.values()].filter(({isReading, response}) => isReading || response.writableLength > 0);
		const dropped = chooseDropped(candidates.map(call => ({
			callId: call.callId, heldBytes: countHeld(call), progressedAtMs: call.progressedAtMs,
		})), {heldBytes: totalBytes, budgetBytes}, measuredAtMs);
		for (const callId of dropped) {
			const call = calls.get(callId)!;
			calls.delete(callId);
			onDropped(call, {heldBytes: countHeld(call), unreadMs: measuredAtMs - call.progressedAtMs, totalBytes});
		}

		measure();
	};

	const updateBudget = () => {
		const previousBytes = residentBytes;
		residentBytes = process.memoryUsage.rss();
		budgetBytes = computeNextBudget({heldBytes: measure(), budgetBytes}, {residentBytes, previousBytes}, memoryBytes);
		applyBudget();
	};

	const timer = setInterval(() => {
		// After a time in which the process stood still, callers may have read meanwhile. The event loop learns that first.
		setImmediate(updateBudget);
	}, MEASURE_INTERVAL_MS);
	timer.unref();
	return {
		add({callId, requestId, response}) {
			const call: HeldCall = {
				callId, requestId, response, bodyBytes: 0, bufferedBytes: 0, pendingBytes: 0, isReading: true, progressedAtMs: performance.now(), progressBytes: 0,
			};
			calls.set(callId, call);
			response.on('close', () => {
				calls.delete(callId);
			});
			return call;
		},
		mayAdmit: bodyBytes => mayAdmitBody({heldBytes, budgetBytes}, bodyBytes),
		record(bytes) {
			heldBytes += bytes;
			if (heldBytes > budgetBytes && performance.now() - measuredAtMs >= MIN_MEASURE_GAP_MS) {
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
