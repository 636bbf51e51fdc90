import {spawn} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {type ShiftRun} from './runShift.js';
import {type ShiftSummary} from './summarizeShift.js';

/** Time after which a run counts as hung and is killed. */
const RUN_TIMEOUT_MS = 90_000;
const CHILD_FILE = path.join(import.meta.dirname, 'shiftChild.js');

/** A run and its summary. */
export type ShiftResult = ShiftRun & {readonly summary: ShiftSummary};

/**
 * Runs each run in a child process.
 *
 * @param concurrency - maximum number of concurrent child processes
 * @returns the results in the order of `runs`
 */
export async function runChildren(runs: readonly ShiftRun[], concurrency: number): Promise<ShiftResult[]> {
	const results: ShiftResult[] = [];
	let next = 0;
	const runPending = async () => {
		for (let index = next; index < runs.length; index = next) {
			next += 1;
			results[index] = await runChild(runs[index]!);
		}
	};

	await Promise.all(Array.from({length: concurrency}, async () => {
		await runPending();
	}));
	return results;
}

async function runChild(run: ShiftRun): Promise<ShiftResult> {
	const child = spawn(process.execPath, [CHILD_FILE, JSON.stringify(run)], {
		stdio: ['ignore', 'pipe', 'inherit'], timeout: RUN_TIMEOUT_MS,
	});
	return {...run, summary: JSON.parse(await text(child.stdout)) as ShiftSummary};
}
