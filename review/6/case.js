/** A worker ends in the middle of an answer without a length and is back before the entry, which stood still, reads the end. */
import {fileURLToPath} from 'node:url';
import {EXIT_CODES, HAS_TROUBLE, createConfiguration, startCase} from '../support-2/harness.js';

/** For how long the entry stands still, and after which time the worker is back. */
const FROZEN_MS = 1600;
const DOWN_MS = 1000;
const WHOLE_BODY = 'permit {id} granted; valid until the end of the month; signed by the water authority';
const HALF = WHOLE_BODY.length / 2;

const run = await startCase(fileURLToPath(new URL('.', import.meta.url)));
const {store, startWorker, startEntry, call, signal, waitUntil, end, wait, record} = run;
const rules = [
	{path: '/look/', workMs: 5},
	{path: '/book/', isFramed: false, parts: [WHOLE_BODY.slice(0, HALF), WHOLE_BODY.slice(HALF)], pauseMs: 800, workMs: 20},
];
store.put('config', 'main', createConfiguration());
const first = await startWorker({id: 'i-7f3a91c2', service: 'plain', rules});
const entry = await startEntry({node: 'front-1'});
await waitUntil(async () => (await call(entry, '/look/ready')).status === 200, 5000, 'a request is served');

const requestId = '9c41d07be2a35f68';
const answer = call(entry, '/book/permit', {requestId});
await waitUntil(() => first.events.some(({event, part, requestId: id}) => event === 'sent' && part === 1 && id === requestId), 2000, 'half of the answer is sent');
await wait(100);
if (HAS_TROUBLE) {
	signal(entry.child, 'SIGSTOP', 'the entry');
	await wait(50);
	signal(first.child, 'SIGKILL', 'the worker');
	await wait(DOWN_MS);
	await startWorker({id: 'i-02d9e6b4', service: 'plain', rules, port: first.port});
	await wait(FROZEN_MS - DOWN_MS);
	signal(entry.child, 'SIGCONT', 'the entry');
}

const {status, stamp, body, isComplete} = await answer;
const whole = WHOLE_BODY.replaceAll('{id}', requestId);
const isBroken = status >= 200 && status < 300 && isComplete && body !== whole;
record('entry log', {lines: entry.log.filter(line => line.includes(requestId))});
if (isBroken) {
	end(EXIT_CODES.broken, `MIXED: a success (${status}, ${stamp}) that looks complete with ${body.length} of ${whole.length} bytes of the worker's body`);
} else {
	end(EXIT_CODES.held, `held: status ${status}, complete: ${isComplete}, ${body?.length ?? 0} of ${whole.length} bytes`);
}
