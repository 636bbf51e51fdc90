/** Program of the first walk: runs a small deployment on loopback until it is told to stop, and writes how to reach it. */
import {mkdir, rename, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {createDemoKey, startDeployment} from './harness/startDeployment.js';
import {readDeployment} from './harness/deploymentFile.js';

/** File of shell variables, named on the command line or here. */
const ENVIRONMENT_FILE = path.resolve(process.argv[2] ?? path.join('out', 'try.env'));

const {file, document} = await readDeployment(path.resolve('examples', 'idranti'));
const running = await startDeployment({
	deployment: {
		document,
		file: {
			...file,
			pools: [
				...file.pools.map(pool => ({...pool, count: 2})),
				// Runs already, and is offered once an operator has added its service.
				{
					...file.pools[0]!, service: 'summaries', count: 1, models: ['digest-3b'],
				},
			],
		},
	},
	entrySettings: {usageWindow: '2 s', usageGrace: '500 ms', usageFlushInterval: '250 ms'},
});
const [entry] = running.entries;
const cli = path.join(import.meta.dirname, '..', '..', 'cli', 'dist', 'bin.js');
const lines = [
	`export DAMASKSPOOL_ENTRY=${entry!.addresses.control}`,
	`export DAMASKSPOOL_KEY=${createDemoKey('operator')}`,
	`CALLERS=${entry!.addresses.listen}`,
	`damaskspool() { '${process.execPath}' '${cli}' "$@"; }`,
];
await mkdir(path.dirname(ENVIRONMENT_FILE), {recursive: true});
// Whoever waits for the file finds it whole.
await writeFile(`${ENVIRONMENT_FILE}.part`, `${lines.join('\n')}\n`);
await rename(`${ENVIRONMENT_FILE}.part`, ENVIRONMENT_FILE);
await new Promise(resolve => {
	process.once('SIGTERM', resolve);
	process.once('SIGINT', resolve);
});
await running.stop();
process.exit(0);
