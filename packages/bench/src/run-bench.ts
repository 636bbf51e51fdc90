/** Program of `npm run bench`: runs one experiment by name. */
import process from 'node:process';
import {type Experiment} from './experiments/experiment.js';

/** Experiments by name; each module is loaded only when its experiment runs. */
const EXPERIMENTS: Readonly<Record<string, () => Promise<Experiment>>> = {
	async control() {
		const {runControlExperiment} = await import('./experiments/control.js');
		return runControlExperiment;
	},
	async routing() {
		const {runRoutingExperiment} = await import('./experiments/routing.js');
		return runRoutingExperiment;
	},
	async shift() {
		const {runShiftExperiment} = await import('./experiments/shift.js');
		return runShiftExperiment;
	},
	async capacity() {
		const {runCapacityExperiment: runCapacity} = await import('./experiments/capacity.js');
		return runCapacity;
	},
	async configuration() {
		const {runConfigurationExperiment: runConfiguration} = await import('./experiments/configuration.js');
		return runConfiguration;
	},
	async overhead() {
		const {runOverheadExperiment: runOverhead} = await import('./experiments/overhead.js');
		return runOverhead;
	},
	async query() {
		const {runQueryExperiment} = await import('./experiments/query.js');
		return runQueryExperiment;
	},
};

const [name = '', ...argv] = process.argv.slice(2);
const loadExperiment = EXPERIMENTS[name];
if (loadExperiment === undefined) {
	console.error(`usage: npm run bench -- NAME [options]; NAME is one of ${Object.keys(EXPERIMENTS).join(', ')}`);
	process.exit(name === '--help' ? 0 : 2);
}

const experiment = await loadExperiment();
process.exit(await experiment(argv));
