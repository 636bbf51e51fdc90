/** Child process of experiment `shift`: executes one run, so that concurrent runs do not share an event loop. */
import process from 'node:process';
import {runShift, type ShiftRun} from './runShift.js';

const run = JSON.parse(process.argv[2]!) as ShiftRun;
const summary = await runShift(run);
process.stdout.write(JSON.stringify(summary), () => {
	process.exit(0);
});
