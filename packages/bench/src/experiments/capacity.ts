/**
 * Experiment `capacity`: varies one driver of cost at a time, such as the number of targets or the request rate, fits a
 * line through the results and writes docs/capacity.json.
 */
import {execFileSync} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
import os from 'node:os';
import process from 'node:process';
import Table from 'cli-table3';
import {type FittedLine} from '../measure/fitLine.js';
import {measureInProcessCapacity} from './measureInProcessCapacity.js';
import {measureProcessCapacity, type ProcessCapacity} from './measureProcessCapacity.js';

/** File from which the tables of docs/CAPACITY.md are computed. */
export const CAPACITY_FILE = 'docs/capacity.json';

/** Content of {@link CAPACITY_FILE}. */
export type CapacityFigures = {
	readonly revision: string;
	readonly machine: {readonly processors: number; readonly model: string; readonly node: string; readonly loadAverage: number};
	readonly residentBytes: ProcessCapacity['residentBytes'];
	readonly lines: readonly FittedLine[];
};

/** Runs the experiment, overwrites {@link CAPACITY_FILE} and returns exit code 0. */
export async function runCapacityExperiment(): Promise<number> {
	const [loadAverage = 0] = os.loadavg();
	const processes = await measureProcessCapacity();
	const figures: CapacityFigures = {
		revision: execFileSync('git', ['rev-parse', '--short', 'HEAD'], {encoding: 'utf8'}).trim(),
		machine: {
			processors: os.cpus().length, model: os.cpus()[0]?.model ?? '', node: process.version, loadAverage: Number(loadAverage.toFixed(1)),
		},
		residentBytes: processes.residentBytes,
		lines: [...measureInProcessCapacity(), ...processes.lines],
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
