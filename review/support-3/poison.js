/** A request that crashes each worker that begins to run it, and what the rule counts of it. */
import {call} from './caller.js';
import {BOUNDS} from './fleet.js';

/** Crash from which on the rule counts retries, and retries that it allows after it. */
const COUNTED_FROM_CRASH = 3;
const ALLOWED_RETRIES = 3;

/** Starts to record runs of the request. Returns the handler of messages of workers, and what was seen so far. */
export function createPoisonRecord(fleet, {path = '/look/crash'} = {}) {
	const runs = [];
	return {
		runs,
		onMessage(message, worker) {
			if (message.type === 'began' && message.path.includes('crash')) {
				runs.push({
					atMs: message.atMs, requestId: message.requestId, worker: worker.name, boot: worker.boots,
				});
			}
		},
		/** Sends the request once, as any consumer does that has the path, key and body. Returns the status. */
		async send(entry, sequence) {
			const requestId = `poison-${sequence}`;
			fleet.record('consumer sends', {requestId, entry: entry.name});
			const {status, error} = await call({
				port: entry.port, method: 'GET', path, requestId, patienceMs: 1500,
			});
			fleet.record('consumer gets', {requestId, status, error});
			return status;
		},
		/**
		 * Tells whether the rule is broken. A run counts if it is sent by an entry in touch later than the time of contact after the third crash.
		 *
		 * @param entriesByRequest - entry that got each request
		 * @param wasInTouch - whether an entry was in touch at a time
		 */
		judge(entriesByRequest, wasInTouch) {
			const third = runs[COUNTED_FROM_CRASH - 1];
			const counted = third === undefined ? [] : runs.filter(({atMs, requestId}) => atMs > third.atMs + BOUNDS.ContactMs && wasInTouch(entriesByRequest.get(requestId), atMs));
			fleet.record('runs of the request', {
				all: runs.length, countedAfterThird: counted.length, allowed: ALLOWED_RETRIES, counted,
			});
			return counted.length > ALLOWED_RETRIES;
		},
	};
}
