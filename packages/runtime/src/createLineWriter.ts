/**
 * Writes log lines without blocking the process. Node's own standard output
 * blocks on a pipe that is not read. This writer limits the rate of lines and
 * drops lines if the reader is too slow.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Options of {@link createLineWriter}. */
export type LineWriterOptions = {
	/** File descriptor to write to. Defaults to standard output. */
	readonly fd?: number;
	/** Average number of lines per second that each class (routine lines and others) may write. */
	readonly linesPerSecond?: number;
	/** Returns whether a line reports routine work rather than a failure. The two classes have separate rate limits, so routine lines do not use up the rate of the others. */
	readonly isRoutine?: (line: string) => boolean;
	/** Called with the number of lines that were dropped. */
	readonly onDropped?: (count: number) => void;
	/** Time for which lines are collected before they are written together, in milliseconds. Zero writes each line immediately. */
	readonly flushDelayMs?: number;
	/** Monotonic clock in milliseconds. */
	readonly readClock?: () => number;
	/** Writes bytes and reports how many were written. Replaced in tests. */
	readonly writeBytes?: (fd: number, bytes: Buffer, done: (error: NodeJS.ErrnoException | null, bytesWritten: number) => void) => void;
};

/** See {@link createLineWriter}. */
export type LineWriter = {
	/** Writes or drops a line, which is passed without its line break. */
	readonly write: (line: string) => void;
	/** Waits until all lines are written or the timeout expires. */
	readonly drain: (timeoutMs: number) => Promise<void>;
};

/** Default of `linesPerSecond`: twice the rate at which an entry writes lines under its share of the peak load. */
const LINES_PER_SECOND = 400;
/** Maximum burst, as the number of seconds whose lines may be written at once. */
const BURST_SECONDS = 2;
/** Maximum number of characters that are buffered for a slow reader. Further lines are dropped. */
const MAX_PENDING_CHARACTERS = 512 * 1024;
const SECOND_MS = 1000;
/** Default of `flushDelayMs`. Lines of this time are written with one system call. */
const FLUSH_DELAY_MS = 20;
const DRAIN_POLL_INTERVAL_MS = 10;
/** Delay before a write is retried after EAGAIN. */
const RETRY_DELAY_MS = 20;
const STDOUT_FD = 1;

/** Creates a line writer. It reports dropped lines in a `log.dropped` line before the next line that it writes. */
export function createLineWriter(options: LineWriterOptions = {}): LineWriter {
	const {
		fd = STDOUT_FD, linesPerSecond = LINES_PER_SECOND, flushDelayMs = FLUSH_DELAY_MS, isRoutine = () => false, onDropped, readClock = () => performance.now(), writeBytes = writeToDescriptor,
	} = options;
	const burstLimit = linesPerSecond * BURST_SECONDS;
	const availableLines = {routine: burstLimit, other: burstLimit};
	let refilledAtMs = readClock();
	let pendingLines: string[] = [];
	let pendingLength = 0;
	let droppedCount = 0;
	let isWriting = false;
	let timer: NodeJS.Timeout | undefined;

	const refill = () => {
		const nowMs = readClock();
		const added = (nowMs - refilledAtMs) / SECOND_MS * linesPerSecond;
		refilledAtMs = nowMs;
		availableLines.routine = Math.min(burstLimit, availableLines.routine + added);
		availableLines.other = Math.min(burstLimit, availableLines.other + added);
	};

	const writeBuffer = (bytes: Buffer) => {
		writeBytes(fd, bytes, (error, bytesWritten) => {
			const remaining = bytes.subarray(error === null ? bytesWritten : 0);
			if (remaining.length === 0 || (error !== null && error.code !== 'EAGAIN')) {
				// After any other error there is no reader left, and no place to report the error.
				isWriting = false;
				flush();
				return;
			}

			setTimeout(writeBuffer, error === null ? 0 : RETRY_DELAY_MS, remaining);
		});
	};

	function flush() {
		timer = undefined;
		if (!isWriting && pendingLines.length > 0) {
			isWriting = true;
			const bytes = Buffer.from(pendingLines.join(''));
			pendingLines = [];
			pendingLength = 0;
			writeBuffer(bytes);
		}
	}

	return {
		write(line) {
			refill();
			const lineClass = isRoutine(line) ? 'routine' : 'other';
			if (availableLines[lineClass] < 1 || pendingLength + line.length > MAX_PENDING_CHARACTERS) {
				droppedCount += 1;
				onDropped?.(1);
				return;
			}

			if (droppedCount > 0) {
				const notice = `${JSON.stringify({message: 'log.dropped', context: {lines: droppedCount}, time: Date.now()})}\n`;
				droppedCount = 0;
				pendingLines.push(notice);
				pendingLength += notice.length;
			}

			availableLines[lineClass] -= 1;
			pendingLines.push(`${line}\n`);
			pendingLength += line.length + 1;
			if (flushDelayMs === 0) {
				flush();
			} else {
				timer ??= setTimeout(flush, flushDelayMs);
			}
		},
		async drain(timeoutMs) {
			const endAtMs = readClock() + timeoutMs;
			const isPending = () => isWriting || pendingLines.length > 0;
			while (isPending() && readClock() < endAtMs) {
				await new Promise(resolve => {
					setTimeout(resolve, DRAIN_POLL_INTERVAL_MS);
				});
			}
		},
	};
}

function writeToDescriptor(fd: number, bytes: Buffer, done: (error: NodeJS.ErrnoException | null, bytesWritten: number) => void): void {
	write(fd, bytes, done);
}
