/** Experiment `capacity`: steps each driver on its own, fits its line, and writes docs/capacity.json. */
import {execFileSync} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
import os from 'node:os';
import process from 'node:process';
import Table from 'cli-table3';
import {type FittedLine} from '../measure/fitLine.js';
import {measureInProcess} from './capacityInProcess.js';
import {measureProcesses, type ProcessCapacity} from './capacityProcesses.js';

/** Where the figures of the capacity page are kept. */
export const CAPACITY_FILE = 'docs/capacity.json';

/** Content of {@link CAPACITY_FILE}. */
export type CapacityFigures = {
	readonly revision: string;
	readonly machine: {readonly processors: number; readonly model: string; readonly node: string; readonly loadAverage: number};
	readonly residentBytes: ProcessCapacity['residentBytes'];
	readonly lines: readonly FittedLine[];
};

/**
 * Runs the experiment.
 *
 * @returns exit code
 */
export async function runCapacity(): Promise<number> {
	const [loadAverage = 0] = os.loadavg();
	const processes = await measureProcesses();
	const figures: CapacityFigures = {
		revision: execFileSync('git', ['rev-parse', '--short', 'HEAD'], {encoding: 'utf8'}).trim(),
		machine: {
			processors: os.cpus().length, model: os.cpus()[0]?.model ?? '', node: process.version, loadAverage: Number(loadAverage.toFixed(1)),
		},
		residentBytes: processes.residentBytes,
		lines: [...measureInProcess(), ...processes.lines],
	};
	await writeFile(CAPACITY_FILE, `${JSON.stringify(figures, undefined, '\t')}\n`);
	const table = new Table({head: ['driver', 'quantity', 'unit', 'slope', '±', 'intercept', 'R²'], style: {head: [], border: []}});
	for (const {driver, quantity, unit, slope, slopeError, intercept, rSquared} of figures.lines) {
		table.push([driver, quantity, unit, slope, slopeError, intercept, rSquared]);
	}

	console.log(table.toString());
	console.log(JSON.stringify({
		file: CAPACITY_FILE, lines: figures.lines.length, residentBytes: figures.residentBytes, loadAverage: figures.machine.loadAverage,
	}));
	return 0;
}
