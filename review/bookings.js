/** Bookings that come in clumps, while workers of the booking service leave without saying so in the store before. */
import {setTimeout as wait} from 'node:timers/promises';
import {createCaller} from './caller.js';
import {BOUNDS} from './entry.js';
import {createHeaders, startWorker} from './worker.js';

const WORK_MS = 150;
const CLUMP_SIZE = 60;
const SEND_GAP_MS = 1;
const DEADLINE_MS = 2500;
/** Time between two clumps. */
export const CLUMP_GAP_MS = 3000;
/** Time after the begin of a clump at which a worker leaves. Its bookings are answered by then. */
export const LEAVE_AFTER_MS = 500;
/** Time for which a worker goes on serving after its registration is gone: `DrainMs` and a little longer. It ends while the next clump is at work. */
const LINGER_MS = BOUNDS.DrainMs + 600;

/** Starts a worker of the booking service. */
export async function startBookingWorker({platform, id, record, onEnd, coldMs = 0}) {
	const worker = await startWorker({
		platform, id, service: 'gavel-app', record, coldMs, handle(request, response, run) {
			record(`${id}: runs ${run.requestId}`);
			setTimeout(() => {
				response.writeHead(200, createHeaders(request, id, worker.hasLeft() ? {'server-leaving': '1', connection: 'close'} : {})).end(`${id} has booked ${run.requestId}`);
			}, WORK_MS);
		},
	});
	onEnd(() => worker.close());
	return worker;
}

/** Starts to send clumps of bookings. `waitForClump` resolves at the begin of the next one; `stop` resolves with all results. */
export function startBookings({port, onEnd}) {
	const caller = createCaller(port, {maxSockets: CLUMP_SIZE});
	onEnd(() => caller.close());
	const calls = [];
	const state = {isOver: false};
	let startClump;

	let clump = new Promise(resolve => {
		startClump = resolve;
	});
	const send = async () => {
		let startAtMs = performance.now();
		while (!state.isOver) {
			startClump?.();
			clump = new Promise(resolve => {
				startClump = resolve;
			});
			for (let index = 0; index < CLUMP_SIZE; index += 1) {
				calls.push(caller.call({
					requestId: `r${calls.length}`, path: '/book/slot', body: `slot ${calls.length}`, deadlineMs: DEADLINE_MS,
				}));
				await wait(SEND_GAP_MS);
			}

			startAtMs += CLUMP_GAP_MS;
			await wait(Math.max(0, startAtMs - performance.now()));
		}
	};

	const sending = send();
	return {
		waitForClump: async () => clump,
		async stop() {
			state.isOver = true;
			await sending;
			return Promise.all(calls);
		},
	};
}

/** Lets a worker leave: its registration is removed, it goes on serving for a while, and ends. Returns when it was gone from the store. */
export async function leave(worker) {
	const removedAtMs = worker.unregister();
	await wait(LINGER_MS);
	worker.exit();
	return {worker, removedAtMs};
}

/** Judges requests that reached workers which had left. */
export function judge({left, results, record}) {
	const late = left.flatMap(({worker: {id, runs}, removedAtMs}) => runs.filter(({atMs}) => atMs > removedAtMs + BOUNDS.DrainMs).map(run => {
		record(`DRAIN: ${run.requestId} reached ${id} ${Math.round(run.atMs - removedAtMs)} ms after its registration was removed${run.isCut ? ', and was cut off when the worker ended' : ''}`);
		return {...run, id};
	}));
	const lost = results.filter(({status}) => status !== 200);
	for (const {requestId, status, error, body} of lost) {
		record(`consumer: ${requestId} ${status} ${error ?? body.toString('utf8')}`);
	}

	return {
		isBroken: late.length > 0,
		summary: `${late.length} requests reached ${new Set(late.map(({id}) => id)).size} of ${left.length} workers later than DrainMs after they were gone; ${late.filter(({isCut}) => isCut).length} of these were cut off at work; ${lost.length} of ${results.length} bookings were not answered with success`,
	};
}
