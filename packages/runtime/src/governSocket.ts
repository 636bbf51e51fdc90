import {type Socket} from 'node:net';
import {computeSliceBytes} from '@damaskspool/core';
import {type ReadGovernor} from './createReadGovernor.js';

/** Bytes that a client reads at first, and at least. What it parses of one slice cannot be stopped. */
const MIN_SLICE_BYTES = 2048;
/** Growth from one slice to the next. */
const MAX_SLICE_GROWTH = 8;
/** Time that each byte may take beside what counts. A body in large pieces costs about as much, one in chunks of 64 bytes several times that. */
const FREE_MS_PER_BYTE = 0.000_005;
/** Longest time that counts for one slice. More than that, the process did not run. */
const MAX_SLICE_MS = 10;

/**
 * Lets an HTTP client read from a socket in slices, within the time that the governor allows. The client must call
 * `read` until it returns null, and again when the socket is readable.
 */
export function governSocket(socket: Socket, governor: ReadGovernor): void {
	const readSocket = socket.read.bind(socket);
	let sliceBytes = MIN_SLICE_BYTES;
	let handedAtMs: number | undefined;
	let handedBytes = 0;
	const reader = governor.open(() => {
		socket.emit('readable');
	});

	/** Records the time that the client took for the last slice. */
	const settleSlice = () => {
		if (handedAtMs === undefined) {
			return;
		}

		const workMs = Math.max(0, Math.min(MAX_SLICE_MS, performance.now() - handedAtMs) - (handedBytes * FREE_MS_PER_BYTE));
		handedAtMs = undefined;
		sliceBytes = computeSliceBytes({bytes: handedBytes, workMs}, {minBytes: MIN_SLICE_BYTES, maxGrowth: MAX_SLICE_GROWTH});
		reader.record(workMs);
	};

	socket.read = size => {
		settleSlice();
		const length = Math.min(sliceBytes, socket.readableLength);
		// With nothing to read, the call only asks for the next event.
		if (socket.destroyed || (length > 0 && !reader.mayRead())) {
			return null;
		}

		const slice = (length === 0 ? readSocket(size) : readSocket(length)) as Uint8Array | null;
		if (slice !== null) {
			handedAtMs = performance.now();
			handedBytes = slice.length;
			// The client may stop reading at this slice.
			queueMicrotask(settleSlice);
		}

		return slice;
	};

	socket.on('close', () => {
		reader.close();
	});
}
