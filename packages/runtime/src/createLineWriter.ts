/**
 * Writes log lines so that neither their number nor a slow reader holds the
 * process up: Node's own standard output blocks on a pipe that nobody reads.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Options of {@link createLineWriter}. */
export type LineWriterOptions = {
	/** Descriptor that is written to; standard output where left out. */
	readonly fd?: number;
	/** Lines a second of each class, on average. */
	readonly linesPerSecond?: number;
	/** Tells lines of undisturbed work from those that explain a failure; each class has its own share. */
	readonly isRoutine?: (line: string) => boolean;
	/** Told of lines that were left out. */
	readonly onDropped?: (count: number) => void;
	/** Time for which lines are gathered before they are written together; zero writes each at once. */
	readonly gatherMs?: number;
	/** Present time in milliseconds of a clock that does not step. */
	readonly readClock?: () => number;
	/** Writes bytes and tells how many were taken; for tests. */
	readonly writeBytes?: (fd: number, bytes: Buffer, done: (error: NodeJS.ErrnoException | null, taken: number) => void) => void;
};

/** See {@link createLineWriter}. */
export type LineWriter = {
	readonly write: (line: string) => void;
	/** Waits until all lines are written, or the time is over. */
	readonly drain: (limitMs: number) => Promise<void>;
};

/** Lines a second of each class: twice what an entry at its share of the peak load writes. */
const LINES_PER_SECOND = 400;
/** Seconds of lines that may come at once. */
const BURST_SECONDS = 2;
/** Characters that wait for a slow reader; what comes beyond is left out. */
const WAITING_LIMIT = 512 * 1024;
const SECOND_MS = 1000;
/** Lines of this time are written together: one system call serves them all. */
const GATHER_MS = 20;
const DRAIN_STEP_MS = 10;
/** Wait before a descriptor that takes nothing now is tried again. */
const RETRY_MS = 20;
const STANDARD_OUTPUT = 1;

/**
 * Creates a writer of lines.
 *
 * @param options - where to, and bounds
 * @returns the writer
 */
export function createLineWriter(options: LineWriterOptions = {}): LineWriter {
	const {
		fd = STANDARD_OUTPUT, linesPerSecond = LINES_PER_SECOND, gatherMs = GATHER_MS, isRoutine = () => false, onDropped, readClock = () => performance.now(), writeBytes = writeToDescriptor,
	} = options;
	const limit = linesPerSecond * BURST_SECONDS;
	const budgets = {routine: limit, other: limit};
	let filledAtMs = readClock();
	let waiting: string[] = [];
	let waitingLength = 0;
	let dropped = 0;
	let isWriting = false;
	let timer: NodeJS.Timeout | undefined;

	const refill = () => {
		const nowMs = readClock();
		const added = (nowMs - filledAtMs) / SECOND_MS * linesPerSecond;
		filledAtMs = nowMs;
		budgets.routine = Math.min(limit, budgets.routine + added);
		budgets.other = Math.min(limit, budgets.other + added);
	};

	const send = (bytes: Buffer) => {
		writeBytes(fd, bytes, (error, taken) => {
			const rest = bytes.subarray(error === null ? taken : 0);
			if (rest.length === 0 || (error !== null && error.code !== 'EAGAIN')) {
				// With any other error whoever reads the lines is gone, and there is nowhere to say so.
				isWriting = false;
				flush();
				return;
			}

			setTimeout(send, error === null ? 0 : RETRY_MS, rest);
		});
	};

	function flush() {
		timer = undefined;
		if (!isWriting && waiting.length > 0) {
			isWriting = true;
			const bytes = Buffer.from(waiting.join(''));
			waiting = [];
			waitingLength = 0;
			send(bytes);
		}
	}

	return {
		write(line) {
			refill();
			const kind = isRoutine(line) ? 'routine' : 'other';
			if (budgets[kind] < 1 || waitingLength + line.length > WAITING_LIMIT) {
				dropped += 1;
				onDropped?.(1);
				return;
			}

			if (dropped > 0) {
				const told = `${JSON.stringify({message: 'log.dropped', context: {lines: dropped}, time: Date.now()})}\n`;
				dropped = 0;
				waiting.push(told);
				waitingLength += told.length;
			}

			budgets[kind] -= 1;
			waiting.push(`${line}\n`);
			waitingLength += line.length + 1;
			if (gatherMs === 0) {
				flush();
			} else {
				timer ??= setTimeout(flush, gatherMs);
			}
		},
		async drain(limitMs) {
			const endAtMs = readClock() + limitMs;
			const isPending = () => isWriting || waiting.length > 0;
			while (isPending() && readClock() < endAtMs) {
				await new Promise(resolve => {
					setTimeout(resolve, DRAIN_STEP_MS);
				});
			}
		},
	};
}

function writeToDescriptor(fd: number, bytes: Buffer, done: (error: NodeJS.ErrnoException | null, taken: number) => void): void {
	write(fd, bytes, done);
}
