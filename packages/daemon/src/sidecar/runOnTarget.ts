import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import {type Work} from '@damaskspool/core';
import {discardBody, writeWithBackPressure} from '@damaskspool/runtime';
import {
	ERROR_CODES, type ErrorCode, HEADERS, OUTCOMES,
} from '@damaskspool/shared';
import {type Dispatcher} from 'undici';
import {type UsageMeter} from '../createUsageMeter.js';

/** Headers of an attempt that the target is given. */
const TARGET_HEADERS = [
	'accept',
	'accept-language',
	'content-type',
	'content-length',
	'user-agent',
	'transfer-encoding',
	HEADERS.idempotencyKey,
	HEADERS.lastEventId,
	HEADERS.requestId,
	HEADERS.priority,
] as const;
/** Beginning of the line by which the events of a stream that carry a token are counted. */
const EVENT_ID_FIELD = Buffer.from('\nid:');
/** Errors of a connection that was never made: the target can have seen nothing. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Options of {@link runOnTarget}. */
export type RunOnTargetOptions = {
	readonly work: Work;
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly abort: AbortController;
	readonly meter: UsageMeter;
	readonly targetAddress: string;
	readonly dispatcher: Dispatcher;
	/** Writes the load report as the header of the answer. */
	readonly readLoadHeader: () => string;
	readonly onAnswered: () => void;
};

/**
 * Hands admitted work to the target and passes its answer back with back-pressure.
 *
 * @param options - the work, its connection, and the target
 * @returns tokens that the target generated
 */
export async function runOnTarget(options: RunOnTargetOptions): Promise<number> {
	const {
		work, incoming, response, abort, meter, targetAddress, dispatcher, readLoadHeader, onAnswered,
	} = options;
	let answer: Dispatcher.ResponseData;
	try {
		answer = await dispatcher.request({
			origin: `http://${targetAddress}`,
			method: (incoming.method ?? 'GET'),
			path: incoming.url ?? '/',
			headers: selectTargetHeaders(incoming),
			body: createTargetBody(incoming),
			signal: abort.signal,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	} catch (error) {
		const isNotSent = NOT_SENT_CODES.has((error as {code?: string}).code ?? '');
		refuseFailed(options, ERROR_CODES.targetFailed, isNotSent);
		return 0;
	}

	const echoed = answer.headers[HEADERS.requestId];
	if (echoed !== undefined && echoed !== work.requestId) {
		discardBody(answer.body);
		refuseFailed(options, ERROR_CODES.answerCrossed, false);
		return 0;
	}

	meter.begin(String(answer.headers['content-type']).startsWith('text/event-stream'));
	onAnswered();
	const length = answer.headers['content-length'];
	response.writeHead(answer.statusCode, {
		'content-type': String(answer.headers['content-type'] ?? 'application/octet-stream'),
		...(typeof length === 'string' && {'content-length': length}),
		[HEADERS.requestId]: work.requestId,
		[HEADERS.load]: readLoadHeader(),
	});
	const counter = createEventCounter();
	try {
		for await (const chunk of answer.body as AsyncIterable<Buffer>) {
			meter.add(chunk);
			counter.add(chunk);
			if (!await writeWithBackPressure(response, chunk)) {
				break;
			}
		}

		response.end();
	} catch {
		// The entry sees its connection break within the answer, and so that the answer is not whole.
		response.destroy();
	}

	return counter.readCount();
}

/**
 * Gives the target the body by way of a stream of its own: a connection that
 * fails closes that stream and not the entry's connection, over which the entry
 * is told what happened.
 */
function createTargetBody(incoming: IncomingMessage): PassThrough | null {
	const hasBody = incoming.headers['content-length'] !== undefined || incoming.headers['transfer-encoding'] !== undefined;
	if (incoming.method === 'GET' || !hasBody) {
		return null;
	}

	const body = new PassThrough();
	incoming.on('error', error => {
		body.destroy(error);
	});
	incoming.pipe(body);
	// What the target did not take is read and dropped, so that the entry's connection serves again.
	body.on('error', () => {
		incoming.unpipe(body);
		incoming.resume();
	});
	return body;
}

function selectTargetHeaders(incoming: IncomingMessage): Record<string, string> {
	const selected: Record<string, string> = {};
	for (const name of TARGET_HEADERS) {
		const value = incoming.headers[name];
		if (typeof value === 'string' && name !== 'transfer-encoding') {
			selected[name] = value;
		}
	}

	return selected;
}

function refuseFailed({response, work, readLoadHeader}: RunOnTargetOptions, code: ErrorCode, isNotRun: boolean): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	response.writeHead(502, {
		'content-length': 0,
		[HEADERS.requestId]: work.requestId,
		[HEADERS.outcome]: isNotRun ? OUTCOMES.refusedNotRun : OUTCOMES.refusedUnknown,
		[HEADERS.errorCode]: code,
		[HEADERS.load]: readLoadHeader(),
	});
	response.end();
}

/** Counts events with an id, also where the field stands across the border of two chunks. */
function createEventCounter() {
	let count = 0;
	// As a stream begins, a line begins.
	let tail: Buffer = Buffer.from('\n');
	return {
		add(chunk: Buffer) {
			const text = Buffer.concat([tail, chunk]);
			for (let at = text.indexOf(EVENT_ID_FIELD); at !== -1; at = text.indexOf(EVENT_ID_FIELD, at + 1)) {
				count += 1;
			}

			tail = Buffer.from(text.subarray(Math.max(0, text.length - EVENT_ID_FIELD.length + 1)));
		},
		readCount: () => count,
	};
}
