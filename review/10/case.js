/** Workers leave without a word while the store cuts off some of the watches that wait. They get new requests until they end. */
import {fileURLToPath} from 'node:url';
import {
	EXIT_CODES, HAS_TROUBLE, createConfiguration, startCase,
} from '../support-2/harness.js';

const WORKERS = 8;
/** Workers that leave, one after the other, each replaced before. */
const LEAVES = 7;
const LEAVE_GAP_MS = 7000;
/** The bound of the rule, and for how much longer a worker serves whose entry was removed. */
const DRAIN_MS = 2000;
const LONGER_MS = 600;
/** One watch in so many is cut off. */
const CUT_ONE_IN = 3;
const CLUMP = 16;
const CLUMP_GAP_MS = 300;

const run = await startCase(fileURLToPath(new URL('.', import.meta.url)));
const {store, startWorker, startEntry, call, signal, waitUntilServed, end, wait, record} = run;
const rules = [{path: '/look/', workMs: 5}, {path: '/book/', workMs: 180}];
store.put('config', 'main', createConfiguration());
const workers = await Promise.all(Array.from({length: WORKERS}, async (_, index) => startWorker({id: `i-7f3a91c${index}`, service: 'plain', rules})));
const entry = await startEntry({node: 'front-1'});
await waitUntilServed(entry);

let watchCount = 0;
let cutCount = 0;
if (HAS_TROUBLE) {
	store.isWatchCut = kind => {
		watchCount += 1;
		const isCut = watchCount % CUT_ONE_IN === 0;
		if (isCut) {
			cutCount += 1;
			record('a watch will be cut off', {kind});
		}

		return isCut;
	};
}

const sentAtMs = new Map();
const answers = [];
let clumpCount = 0;
const timer = setInterval(() => {
	clumpCount += 1;
	for (let number = 0; number < CLUMP; number += 1) {
		const requestId = `9c${clumpCount.toString(16).padStart(4, '0')}${number.toString(16)}41d07be2a`;
		sentAtMs.set(requestId, performance.now());
		answers.push(call(entry, '/book/permit', {requestId}));
	}
}, CLUMP_GAP_MS);

const gone = [];
await wait(3000);
for (let index = 0; index < LEAVES; index += 1) {
	await startWorker({id: `i-02d9e6b${index}`, service: 'plain', rules});
	await wait(1000);
	const worker = workers[index];
	store.remove('servers', worker.id);
	gone.push({worker, removedAtMs: performance.now()});
	record('the entry of a worker is removed', {id: worker.id});
	await wait(DRAIN_MS + LONGER_MS);
	signal(worker.child, 'SIGTERM', `${worker.id}, which ends`);
	await wait(LEAVE_GAP_MS - DRAIN_MS - LONGER_MS - 1000);
}

clearInterval(timer);
const given = await Promise.all(answers);
const late = gone.flatMap(({worker, removedAtMs}) => worker.events.filter(({event, requestId}) => event === 'run' && sentAtMs.get(requestId) > removedAtMs + DRAIN_MS)
	.map(({requestId}) => ({requestId, worker: worker.id, afterMs: Math.round(sentAtMs.get(requestId) - removedAtMs)})));
const lateIds = new Set(late.map(({requestId}) => requestId));
const lost = given.filter(({requestId, status}) => lateIds.has(requestId) && status !== 200);
record('sent later than the bound', {late});
const summary = [
	`${late.length} of ${given.length} bookings sent later than ${DRAIN_MS} ms after the removal reached the worker`,
	`${lost.length} of them were cut off by its end`,
	`${cutCount} of ${watchCount} watches were cut off`,
].join('; ');
if (late.length > 0) {
	end(EXIT_CODES.broken, `DRAIN: ${summary}`);
} else {
	end(EXIT_CODES.held, `held: ${summary}`);
}
