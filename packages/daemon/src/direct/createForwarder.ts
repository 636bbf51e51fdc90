import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {createByteCollector} from '@damaskspool/runtime';
import {type HeldCall, type MemoryLedger} from './createMemoryLedger.js';

/** Options of {@link createForwarder}. */
export type ForwarderOptions = {
	readonly response: ServerResponse;
	readonly held: HeldCall;
	readonly memoryLedger: MemoryLedger;
	/** Pauses and continues the connection to the target. */
	readonly pause: () => void;
	readonly resume: () => void;
};

/** Forwards the body of an answer to its caller. */
export type Forwarder = {
	/** Forwards bytes once everything that is read of the target now is there, and once the caller has taken what came before. */
	readonly push: (bytes: Buffer) => void;
	/** Hands all bytes to the connection of the caller. */
	readonly flush: () => void;
};

/**
 * Creates a forwarder. At most one write is under way: each write takes memory beside its bytes, so that small pieces would
 * hold much more than they count for while a caller does not read.
 */
export function createForwarder({response, held, memoryLedger, pause, resume}: ForwarderOptions): Forwarder {
	const pending = createByteCollector();
	let isWriting = false;
	let isScheduled = false;
	let isPaused = false;

	const writePending = () => {
		const bytes = pending.getLength();
		if (bytes === 0 || response.destroyed) {
			return;
		}

		const blocks = pending.takeBlocks();
		held.pendingBytes = 0;
		isWriting = true;
		response.cork();
		for (const block of blocks.slice(0, -1)) {
			response.write(block);
		}

		const isFlushed = response.write(blocks.at(-1)!, () => {
			isWriting = false;
			writePending();
			if (isPaused && memoryLedger.mayForward(held)) {
				isPaused = false;
				resume();
			}
		});
		response.uncork();
		if (!isFlushed) {
			memoryLedger.record(bytes);
		}
	};

	return {
		push(bytes) {
			pending.push(bytes);
			held.pendingBytes = pending.getLength();
			if (isWriting) {
				memoryLedger.record(bytes.length);
			} else if (!isScheduled) {
				isScheduled = true;
				queueMicrotask(() => {
					isScheduled = false;
					if (!isWriting) {
						writePending();
					}
				});
			}

			// A connection to a target that waits is lost to other callers, so it waits only beyond a limit.
			if (!memoryLedger.mayForward(held)) {
				isPaused = true;
				pause();
			}
		},
		flush: writePending,
	};
}
