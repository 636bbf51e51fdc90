/** Child of the experiment `shift`: does one run, so that runs beside each other do not share a loop. */
import process from 'node:process';
import {runShift, type ShiftRun} from './runShift.js';

const run = JSON.parse(process.argv[2]!) as ShiftRun;
const summary = await runShift(run);
process.stdout.write(JSON.stringify(summary), () => {
	process.exit(0);
});
