/** A request that crashes its workers comes again after each step of a rolling restart of the entries. */
import {setTimeout as wait} from 'node:timers/promises';
import {isReady} from '../support-3/caller.js';
import {BOUNDS, HAS_TROUBLE, runCase} from '../support-3/fleet.js';
import {createPoisonRecord} from '../support-3/poison.js';

const ENTRIES = 3;
const WORKERS = 4;
/** Time for which a worker that has crashed is down. */
const RESTART_MS = 1500;
/** Time between two sends. The workers that crashed before are back. */
const POISON_INTERVAL_MS = 2000;
/** Times that the request comes at each entry after each step. */
const ROUNDS = 2;
/** Time within which entries that start together have found each other. */
const PEER_LIST_MS = 5000;
const STOP_MS = 4000;
/** Entries that are stopped. All is over within a minute after the third crash, see case 14. */
const STOPPED_ENTRIES = 2;

await runCase(import.meta.dirname, async fleet => {
	const poison = createPoisonRecord(fleet);
	const entries = [];
	for (let index = 1; index <= ENTRIES; index += 1) {
		entries.push(await fleet.startEntry(`front-${index}`));
	}

	for (let index = 1; index <= WORKERS; index += 1) {
		await fleet.startWorker(`app-${index}`, {
			service: 'plain', onMessage: poison.onMessage, restartMs: RESTART_MS, hasNewId: true,
		});
	}

	const entriesByRequest = new Map();
	const sendToAll = async () => {
		for (let turn = 0; turn < ROUNDS * ENTRIES; turn += 1) {
			const sequence = entriesByRequest.size;
			const entry = entries[turn % ENTRIES];
			entriesByRequest.set(`poison-${sequence}`, entry);
			await poison.send(entry, sequence);
			await wait(POISON_INTERVAL_MS);
		}
	};

	await fleet.waitUntilReady();
	await wait(BOUNDS.ContactMs + PEER_LIST_MS);
	await sendToAll();
	for (const entry of entries.slice(0, STOPPED_ENTRIES)) {
		if (HAS_TROUBLE) {
			fleet.record('entry gets SIGTERM', {entry: entry.name});
			entry.child.kill('SIGTERM');
		}

		await wait(STOP_MS);
		await fleet.waitUntil(async () => isReady(entry.readinessPort));
		await wait(BOUNDS.ContactMs);
		await sendToAll();
	}

	return poison.judge(entriesByRequest, (entry, atMs) => entry.startedAtMs + BOUNDS.ContactMs < atMs);
});
