import {spawn} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {type ShiftRun} from './runShift.js';
import {type ShiftSummary} from './summarizeShift.js';

/** Bound of one run; it only ends a run that hangs. */
const RUN_LIMIT_MS = 90_000;
const CHILD_FILE = path.join(import.meta.dirname, 'shiftChild.js');

/** A run with what it showed. */
export type ShiftResult = ShiftRun & {readonly summary: ShiftSummary};

/**
 * Does runs in processes of their own, a few at once.
 *
 * @param runs - what to run
 * @param atOnce - runs beside each other
 * @returns the results in order
 */
export async function runChildren(runs: readonly ShiftRun[], atOnce: number): Promise<ShiftResult[]> {
	const results: ShiftResult[] = [];
	let next = 0;
	const work = async () => {
		for (let index = next; index < runs.length; index = next) {
			next += 1;
			results[index] = await runChild(runs[index]!);
		}
	};

	await Promise.all(Array.from({length: atOnce}, async () => {
		await work();
	}));
	return results;
}

async function runChild(run: ShiftRun): Promise<ShiftResult> {
	const child = spawn(process.execPath, [CHILD_FILE, JSON.stringify(run)], {
		stdio: ['ignore', 'pipe', 'inherit'], timeout: RUN_LIMIT_MS,
	});
	return {...run, summary: JSON.parse(await text(child.stdout)) as ShiftSummary};
}
