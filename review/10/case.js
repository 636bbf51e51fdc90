/** A worker says that it leaves and is gone two seconds later, in the middle of an answer without a length. */
import {fileURLToPath} from 'node:url';
import {
	EXIT_CODES, HAS_TROUBLE, createConfiguration, startCase,
} from '../support-2/harness.js';

/** Time from the notice until the worker is gone. */
const NOTICE_MS = 2000;
/** Workers of the service. One leaves, which is less than the share on the sheet. */
const WORKERS = 8;
/** Time after which the workers close channels without a request. */
const IDLE_MS = 300;
/** Pieces of the answer, with a pause between two. The worker sends the whole of it in 2.8 s. */
const PIECES = Array.from({length: 8}, (_, index) => `line ${index + 1} of 8 of the booking {id}\n`);
const PAUSE_MS = 400;
const DEADLINE_MS = 4000;

const run = await startCase(fileURLToPath(new URL('.', import.meta.url)));
const {store, startWorker, startEntry, call, signal, waitUntil, waitUntilServed, end, wait, record} = run;
const rules = [
	{path: '/look/', workMs: 5},
	{
		path: '/book/', isFramed: false, parts: PIECES, pauseMs: PAUSE_MS, workMs: 20,
	},
];
store.put('config', 'main', createConfiguration(7, {TimeoutMs: DEADLINE_MS}));
const workers = await Promise.all(Array.from({length: WORKERS}, async (_, index) => startWorker({
	id: `i-7f3a91c${index}`, service: 'plain', idleMs: IDLE_MS, rules,
})));
const entry = await startEntry({node: 'front-1'});
await waitUntilServed(entry);

const requestId = '9c41d07be2a35f68';
const answer = call(entry, '/book/permit', {requestId, deadlineMs: DEADLINE_MS});
const findWorker = () => workers.find(worker => worker.has('sent', requestId));
await waitUntil(() => findWorker() !== undefined, 2000, 'the answer has begun');
const leaving = findWorker();
if (HAS_TROUBLE) {
	store.put('servers', leaving.id, {...leaving.registration, State: 'draining', Seq: 1});
	record('worker is draining', {id: leaving.id});
	await wait(NOTICE_MS);
	signal(leaving.child, 'SIGKILL', 'the worker, which is gone after its notice');
	store.remove('servers', leaving.id);
}

const {status, stamp, body, isComplete} = await answer;
const whole = PIECES.join('').replaceAll('{id}', requestId);
const isBroken = status >= 200 && status < 300 && isComplete && body !== whole;
record('entry log', {lines: entry.log.filter(line => line.includes(requestId))});
if (isBroken) {
	end(EXIT_CODES.broken, `MIXED: a success (${status}, ${stamp}) that looks complete with ${body.length} of ${whole.length} bytes of the worker's body`);
} else {
	end(EXIT_CODES.held, `held: status ${status}, complete: ${isComplete}, ${body?.length ?? 0} of ${whole.length} bytes`);
}
