/** Another writer puts one entry of kind `servers` into the store whose field has another type. Every process of the system ends. */
import {Agent} from 'node:http';
import {fileURLToPath} from 'node:url';
import {
	EXIT_CODES, HAS_TROUBLE, createConfiguration, startCase,
} from '../support-2/harness.js';

const VALUE_BYTES = 1_048_576;
/** Digits in the list that stands where a list of models is expected. */
const DIGITS = 500_000;
/** Requests that are in progress at each entry. */
const IN_PROGRESS = 8;
/** Requests that may be passed on and left without an answer. */
const MAX_LOST = 3;
/** Delay after which the platform starts a process again, and for how long the case goes on. */
const RESTART_MS = 300;
const WATCHED_MS = 12_000;

const run = await startCase(fileURLToPath(new URL('.', import.meta.url)));
const {store, startWorker, startEntry, call, waitUntilServed, end, wait, record} = run;
const rules = [{path: '/look/', workMs: 5}, {path: '/book/', workMs: 1200}];
store.put('config', 'main', createConfiguration());
const workers = await Promise.all(Array.from({length: 4}, async (_, index) => startWorker({id: `i-7f3a91c${index}`, service: 'plain', rules})));
const entries = await Promise.all(['127.0.0.2', '127.0.0.3'].map(async (ip, index) => startEntry({node: `front-${index + 1}`, ip})));
const agents = entries.map(() => new Agent({keepAlive: true}));
const callAll = async (route, prefix) => Promise.all(entries.flatMap((entry, index) => Array.from({length: IN_PROGRESS}, async (_, number) =>
	call(entry, route, {agent: agents[index], requestId: `${prefix}${index}${number}41d07be2a35f`}))));
for (const entry of entries) {
	await waitUntilServed(entry);
}

const kept = await callAll('/look/permit', 'a1');
if (kept.some(({status}) => status !== 200)) {
	end(EXIT_CODES.notRun, 'the channels could not be opened');
}

const ends = new Map(entries.map(({node}) => [node, 0]));
let isWatching = true;
const watchProcess = entry => {
	entry.child.on('exit', async () => {
		if (!isWatching) {
			return;
		}

		ends.set(entry.node, ends.get(entry.node) + 1);
		record('a process has ended by itself', {node: entry.node, lastLines: entry.log.join('\n').split('\n').filter(line => line.includes('FATAL ERROR'))});
		await wait(RESTART_MS);
		if (isWatching) {
			watchProcess(await startEntry({...entry, isAgain: true}));
		}
	});
};

for (const entry of entries) {
	watchProcess(entry);
}

// These go through the channels that the requests before them have left open.
// eslint-disable-next-line unicorn/prefer-top-level-await
const answers = callAll('/book/permit', '9c');
const hasRun = ({requestId}) => workers.some(worker => worker.has('run', requestId));
await wait(400);
if (HAS_TROUBLE) {
	const spec = {...workers[0].registration, Models: Array.from({length: DIGITS}, (_, index) => index % 10)};
	const bytes = JSON.stringify(spec).length;
	if (bytes > VALUE_BYTES) {
		end(EXIT_CODES.notRun, 'the entry is longer than the store takes');
	}

	store.put('servers', 'from-another-writer', spec);
	record('another writer has put an entry', {bytes});
}

const given = await answers;
const lost = given.filter(answer => answer.status === 0 && hasRun(answer));
record('passed on and closed without an answer', {requestIds: lost.map(({requestId}) => requestId)});
await wait(HAS_TROUBLE ? WATCHED_MS : 500);
isWatching = false;
const after = await Promise.all(entries.map(async entry => call(entry, '/look/after')));
const summary = [
	`${lost.length} of ${2 * IN_PROGRESS} requests passed on and closed without an answer`,
	`processes that ended by themselves: ${JSON.stringify(Object.fromEntries(ends))}`,
	`afterwards: ${after.map(({status}) => status).join(', ')}`,
].join('; ');
if (lost.length > MAX_LOST) {
	end(EXIT_CODES.broken, `LOST: ${summary}`);
} else {
	end(EXIT_CODES.held, `held: ${summary}`);
}
