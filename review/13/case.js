/** The store cuts off waiting watches for a second, as it may. Meanwhile a worker leaves that never reports draining. */
import {setTimeout as wait} from 'node:timers/promises';
import {call} from '../support-3/caller.js';
import {BOUNDS, HAS_TROUBLE, runCase} from '../support-3/fleet.js';

const WORKERS = 3;
/** Time after which a waiting watch is cut off. */
const CUT_AFTER_MS = 200;
const CUTTING_MS = 1000;
const INTERVAL_MS = 10;
/** Time from the removal until the worker ends: a little more than DrainMs. */
const SERVES_ON_MS = BOUNDS.DrainMs + 250;
const LAST_CALLS_MS = 3000;

await runCase(import.meta.dirname, async fleet => {
	const entries = [await fleet.startEntry('front-1'), await fleet.startEntry('front-2')];
	const runs = [];
	const onMessage = (message, worker) => {
		if (message.type === 'began') {
			runs.push({worker: worker.name, atMs: message.atMs, requestId: message.requestId});
		}
	};

	const workers = [];
	for (let index = 1; index <= WORKERS; index += 1) {
		workers.push(await fleet.startWorker(`app-${index}`, {service: 'plain', onMessage, restartMs: 1000}));
	}

	await fleet.waitUntilReady();
	await wait(BOUNDS.ContactMs + 3000);
	const progress = {isOver: false};
	const calls = [];
	const send = async () => {
		for (let sequence = 0; !progress.isOver; sequence += 1) {
			calls.push(call({
				port: entries[sequence % entries.length].port, path: '/book/2f', requestId: `booking-${sequence}`, body: `booking ${sequence}`, patienceMs: 1500,
			}));
			await wait(INTERVAL_MS);
		}
	};

	const sending = send();
	await wait(2000);
	if (HAS_TROUBLE) {
		fleet.record('the store cuts off waiting watches', {afterMs: CUT_AFTER_MS});
		fleet.store.startCutting(CUT_AFTER_MS);
	}

	await wait(CUTTING_MS);
	const [leaving] = workers;
	leaving.leave();
	const leftAtMs = Date.now();
	fleet.record('registration removed', {worker: leaving.name});
	fleet.store.stopCutting();
	await wait(SERVES_ON_MS);
	fleet.record('worker exits', {worker: leaving.name});
	leaving.child.kill('SIGTERM');
	await wait(LAST_CALLS_MS);
	progress.isOver = true;
	await sending;
	const answers = await Promise.all(calls);
	const statuses = {};
	for (const {status, error} of answers.filter(answer => answer.endedAtMs > leftAtMs + BOUNDS.DrainMs)) {
		const answer = String(status ?? error);
		statuses[answer] = (statuses[answer] ?? 0) + 1;
	}

	fleet.record('answers later than DrainMs after the removal', statuses);
	const late = runs.filter(({worker, atMs}) => worker === leaving.name && atMs > leftAtMs + BOUNDS.DrainMs).map(({requestId, atMs}) => [requestId, atMs - leftAtMs]);
	const lastMs = Math.max(0, ...runs.filter(({worker}) => worker === leaving.name).map(({atMs}) => atMs - leftAtMs));
	fleet.record('requests that reached the worker later than DrainMs after its registration was removed', {count: late.length, lastAfterMs: lastMs, late});
	return late.length > 0;
});
