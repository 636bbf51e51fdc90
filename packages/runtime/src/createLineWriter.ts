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
	readonly flushDelayMs?: number;
	/** Present time in milliseconds of a clock that does not step. */
	readonly readClock?: () => number;
	/** Writes bytes and tells how many were taken; for tests. */
	readonly writeBytes?: (fd: number, bytes: Buffer, done: (error: NodeJS.ErrnoException | null, bytesWritten: number) => void) => void;
};

/** See {@link createLineWriter}. */
export type LineWriter = {
	readonly write: (line: string) => void;
	/** Waits until all lines are written, or the time is over. */
	readonly drain: (timeoutMs: number) => Promise<void>;
};

/** Lines a second of each class: twice what an entry at its share of the peak load writes. */
const LINES_PER_SECOND = 400;
/** Seconds of lines that may come at once. */
const BURST_SECONDS = 2;
/** Characters that wait for a slow reader; what comes beyond is left out. */
const MAX_PENDING_CHARACTERS = 512 * 1024;
const SECOND_MS = 1000;
/** Lines of this time are written together: one system call serves them all. */
const FLUSH_DELAY_MS = 20;
const DRAIN_POLL_INTERVAL_MS = 10;
/** Wait before a descriptor that takes nothing now is tried again. */
const RETRY_DELAY_MS = 20;
const STDOUT_FD = 1;

/**
 * Creates a writer of lines.
 *
 * @param options - where to, and bounds
 * @returns the writer
 */
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
				// With any other error whoever reads the lines is gone, and there is nowhere to say so.
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
