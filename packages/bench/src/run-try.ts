/** Program for docs/operate/first-walk.md: runs a small deployment on loopback until SIGTERM or SIGINT, and writes shell variables for reaching it to a file. */
import {mkdir, rename, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {createDemoKey, startDeployment} from './harness/startDeployment.js';
import {readDeployment} from './harness/deploymentFile.js';

/** File of shell variables: the first argument, or the default. */
const ENVIRONMENT_FILE = path.resolve(process.argv[2] ?? path.join('out', 'try.env'));

const {file, document} = await readDeployment(path.resolve('examples', 'idranti'));
const running = await startDeployment({
	deployment: {
		document,
		file: {
			...file,
			pools: [
				...file.pools.map(pool => ({...pool, count: 2})),
				// This target already runs, but is not used until an operator adds its service.
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
// The rename is atomic, so a process that waits for the file never reads an incomplete one.
await writeFile(`${ENVIRONMENT_FILE}.part`, `${lines.join('\n')}\n`);
await rename(`${ENVIRONMENT_FILE}.part`, ENVIRONMENT_FILE);
await new Promise(resolve => {
	process.once('SIGTERM', resolve);
	process.once('SIGINT', resolve);
});
await running.stop();
process.exit(0);
