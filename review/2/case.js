/** A worker crashes in the middle of streams, while another one fails part of its requests. */
import {setTimeout as wait} from 'node:timers/promises';
import {createCaller} from '../caller.js';
import {createConfig} from '../config.js';
import {startEntry} from '../entry.js';
import {HAS_TROUBLE, runCase} from '../run.js';
import {startPlatform} from '../store.js';
import {createHeaders, startWorker} from '../worker.js';

const WORKERS = 7;
const EVENTS = 42;
const EVENT_GAP_MS = 25;
const STREAM_GAP_MS = 12;
const STREAMS = 3500;
/** One worker of seven is grey: it fails this share of its requests, while its status check is good. */
const GREY_RATIO = 0.4;
/** Status of its failures: the worker does not find the resource. */
const GREY_STATUS = 404;
/** Another one crashes again and again, and is back after some seconds. */
const CRASH_EVERY_MS = 6000;
const CRASH_FOR_MS = 3000;

await runCase(import.meta.url, async ({record, onEnd}) => {
	const platform = await startPlatform({record});
	onEnd(() => platform.close());
	platform.put('config', 'main', createConfig());
	const failures = new Map();
	let greyRuns = 0;
	const answerStream = (id, request, response, {requestId}) => {
		const first = Number(request.headers['last-event-id'] ?? 0) + 1;
		record(`${id}: runs ${requestId} from event ${first}`);
		response.writeHead(200, createHeaders(request, id, {'content-type': 'text/event-stream', 'x-weight-versions': '1'}));
		let next = first;
		const timer = setInterval(() => {
			if (next <= EVENTS) {
				response.write(`id: ${next}\ndata: piece ${next} of ${requestId}\n\n`);
				next += 1;
				return;
			}

			clearInterval(timer);
			response.end();
		}, EVENT_GAP_MS);
		response.on('close', () => {
			clearInterval(timer);
		});
	};

	const workers = [];
	const startModelWorker = async (id, {isGrey = false} = {}) => {
		const worker = await startWorker({
			platform, id, service: 'gavel-lm', slots: 96, stage: 'decode', record, handle(request, response, run) {
				greyRuns += isGrey ? 1 : 0;
				if (isGrey && HAS_TROUBLE && Math.floor(greyRuns * GREY_RATIO) > Math.floor((greyRuns - 1) * GREY_RATIO)) {
					record(`${id}: fails ${run.requestId} with ${GREY_STATUS} (last event ${request.headers['last-event-id'] ?? 'none'})`);
					failures.set(run.requestId, id);
					response.writeHead(GREY_STATUS, createHeaders(request, id, {'content-type': 'application/json'})).end('{"error":"no such model"}');
					return;
				}

				answerStream(id, request, response, run);
			},
		});
		workers.push(worker);
		onEnd(() => worker.close());
	};

	await startModelWorker('i-lm-1');
	await startModelWorker('i-lm-2', {isGrey: true});
	for (let index = 3; index <= WORKERS; index += 1) {
		await startModelWorker(`i-lm-${index}`);
	}

	const entry = await startEntry({name: 'front-zone-a-1', platformAddress: platform.address, record});
	onEnd(async () => entry.close());
	const caller = createCaller(entry.port, {maxSockets: 500});
	onEnd(() => caller.close());
	await wait(1500);

	const state = {isOver: false};
	const crash = async () => {
		while (!state.isOver) {
			await wait(CRASH_EVERY_MS - CRASH_FOR_MS);
			await (HAS_TROUBLE && !state.isOver ? workers[0].crash(CRASH_FOR_MS) : wait(CRASH_FOR_MS));
		}
	};

	const crashing = crash();
	const calls = [];
	for (let index = 0; index < STREAMS; index += 1) {
		const requestId = `r${index}`;
		calls.push(caller.call({
			requestId, path: '/layout/x', body: `draft ${index}`, deadlineMs: 10_000,
			headers: {'x-model': 'm', 'x-token-count': '640,42', 'x-prompt-prefix': `5c1e07a2:200,${(index + 4096).toString(16)}:440`},
		}));
		await wait(STREAM_GAP_MS);
	}

	const results = await Promise.all(calls);
	state.isOver = true;
	await crashing;
	const broken = [];
	for (const {requestId, status, isComplete, body, error} of results) {
		const text = body.toString('utf8');
		const ids = [...text.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups.id));
		const isWhole = ids.length === EVENTS && ids.every((id, index) => id === index + 1);
		const isBroken = status === 200 && isComplete && !isWhole;
		record(`consumer: ${requestId} ${status} ${isComplete ? 'complete' : `incomplete (${error})`}, ${ids.length} of ${EVENTS} events${isBroken ? ` ENDS AS COMPLETE with ${JSON.stringify(text.slice(-60))}; ${failures.get(requestId)} had failed it` : ''}`);
		if (isBroken) {
			broken.push(requestId);
		}
	}

	return {isBroken: broken.length > 0, summary: `${broken.length} of ${STREAMS} streams end as complete before their last event (${broken.join(', ')})`};
});
