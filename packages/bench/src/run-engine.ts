/** Program that runs one engine stand-in in its own process and prints its address. */
import process from 'node:process';
import {createEngine} from '@damaskspool/stand-ins';

const engine = await createEngine({
	models: ['m'], batchLimit: 512, stepMs: 1, stepPerSequenceMs: 0,
});
console.log(engine.address);
process.once('SIGTERM', () => {
	process.exit(0);
});
