/** A request that crashes its workers comes again, while one of three workers is lost for good and the others keep their ids. */
import {setTimeout as wait} from 'node:timers/promises';
import {call} from '../support-3/caller.js';
import {HAS_TROUBLE, runCase} from '../support-3/fleet.js';
import {createPoisonRecord} from '../support-3/poison.js';

const WORKERS = 3;
/** Time for which a worker that has crashed is down. */
const RESTART_MS = 3000;
const POISON_INTERVAL_MS = 3000;
const POISON_REQUESTS = 14;
const BOOKING_INTERVAL_MS = 100;

await runCase(import.meta.dirname, async fleet => {
	const poison = createPoisonRecord(fleet);
	const entries = [await fleet.startEntry('front-1'), await fleet.startEntry('front-2')];
	const workers = [];
	for (let index = 1; index <= WORKERS; index += 1) {
		workers.push(await fleet.startWorker(`app-${index}`, {service: 'plain', onMessage: poison.onMessage, restartMs: RESTART_MS}));
	}

	await fleet.waitUntilReady();
	await wait(1000);
	if (HAS_TROUBLE) {
		fleet.record('worker is lost for good', {worker: workers.at(-1).name});
		workers.at(-1).isGone = true;
		workers.at(-1).child.kill('SIGKILL');
	}

	await wait(6000);
	const progress = {isOver: false};
	const bookings = [];
	const book = async () => {
		for (let sequence = 0; !progress.isOver; sequence += 1) {
			bookings.push(call({
				port: entries[sequence % entries.length].port, path: '/book/2f', requestId: `booking-${sequence}`, body: `booking ${sequence}`, patienceMs: 1500,
			}));
			await wait(BOOKING_INTERVAL_MS);
		}
	};

	const booking = book();
	const entriesByRequest = new Map();
	for (let sequence = 0; sequence < POISON_REQUESTS; sequence += 1) {
		const entry = entries[sequence % entries.length];
		entriesByRequest.set(`poison-${sequence}`, entry);
		await poison.send(entry, sequence);
		await wait(POISON_INTERVAL_MS);
	}

	progress.isOver = true;
	await booking;
	const statuses = {};
	for (const {status, error} of await Promise.all(bookings)) {
		const answer = String(status ?? error);
		statuses[answer] = (statuses[answer] ?? 0) + 1;
	}

	fleet.record('bookings that other consumers sent, by answer', statuses);
	return poison.judge(entriesByRequest, () => true);
});
