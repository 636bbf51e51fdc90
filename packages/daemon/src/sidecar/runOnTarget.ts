import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import {type Work} from '@damaskspool/core';
import {discardBody, writeWithBackPressure} from '@damaskspool/runtime';
import {
	ERROR_CODES, type ErrorCode, HEADERS, isFinalStatus, OUTCOMES,
} from '@damaskspool/shared';
import {type Dispatcher} from 'undici';
import {type UsageMeter} from '../createUsageMeter.js';

/** Headers of an attempt that are forwarded to the target; `selectTargetHeaders` skips `transfer-encoding`. */
const FORWARDED_HEADERS = [
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
/** Start of the `id` line of an event. Every event of a stream that carries a token has one. */
const EVENT_ID_FIELD = Buffer.from('\nid:');
/** Errors that prove that no connection was opened, so that the target received nothing. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Options of {@link runOnTarget}. */
export type RunOnTargetOptions = {
	readonly work: Work;
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly abortController: AbortController;
	readonly meter: UsageMeter;
	readonly targetAddress: string;
	readonly dispatcher: Dispatcher;
	/** Returns the load report as the value of a response header. */
	readonly readLoadHeader: () => string;
	/** Called when the target's response headers have arrived, unless they name another request. */
	readonly onAnswered: () => void;
};

/**
 * Sends admitted work to the target and forwards the response to the entry with back-pressure.
 *
 * @returns the number of tokens that the target generated, counted by the events of its stream
 */
export async function runOnTarget(options: RunOnTargetOptions): Promise<number> {
	const {
		work, incoming, response, abortController, meter, targetAddress, dispatcher, readLoadHeader, onAnswered,
	} = options;
	let targetResponse: Dispatcher.ResponseData;
	try {
		targetResponse = await dispatcher.request({
			origin: `http://${targetAddress}`,
			method: (incoming.method ?? 'GET'),
			path: incoming.url ?? '/',
			headers: selectTargetHeaders(incoming),
			body: createTargetBody(incoming),
			signal: abortController.signal,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	} catch (error) {
		const isNotSent = CONNECT_ERROR_CODES.has((error as {code?: string}).code ?? '');
		refuseAttempt(options, ERROR_CODES.targetFailed, isNotSent);
		return 0;
	}

	const echoedRequestId = targetResponse.headers[HEADERS.requestId];
	if (echoedRequestId !== undefined && echoedRequestId !== work.requestId) {
		discardBody(targetResponse.body);
		refuseAttempt(options, ERROR_CODES.answerCrossed, false);
		return 0;
	}

	if (!isFinalStatus(targetResponse.statusCode)) {
		discardBody(targetResponse.body);
		refuseAttempt(options, ERROR_CODES.targetFailed, false);
		return 0;
	}

	meter.begin(String(targetResponse.headers['content-type']).startsWith('text/event-stream'));
	onAnswered();
	const contentLength = targetResponse.headers['content-length'];
	response.writeHead(targetResponse.statusCode, {
		'content-type': String(targetResponse.headers['content-type'] ?? 'application/octet-stream'),
		...(typeof contentLength === 'string' && {'content-length': contentLength}),
		[HEADERS.requestId]: work.requestId,
		[HEADERS.load]: readLoadHeader(),
	});
	const counter = createEventCounter();
	try {
		for await (const chunk of targetResponse.body as AsyncIterable<Buffer>) {
			meter.add(chunk);
			counter.add(chunk);
			if (!await writeWithBackPressure(response, chunk)) {
				break;
			}
		}

		response.end();
	} catch {
		// Resetting the connection before the response completes shows the entry that the response is truncated.
		response.destroy();
	}

	return counter.readCount();
}

/**
 * Pipes the body into a separate stream for the target. If the connection to the target fails, only that stream is
 * closed. The entry's connection stays open and carries the refusal.
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
	// The rest of the body is read and discarded, so that the entry's connection can be reused.
	body.on('error', () => {
		incoming.unpipe(body);
		incoming.resume();
	});
	return body;
}

function selectTargetHeaders(incoming: IncomingMessage): Record<string, string> {
	const selected: Record<string, string> = {};
	for (const name of FORWARDED_HEADERS) {
		const value = incoming.headers[name];
		if (typeof value === 'string' && name !== 'transfer-encoding') {
			selected[name] = value;
		}
	}

	return selected;
}

function refuseAttempt({response, work, readLoadHeader}: RunOnTargetOptions, code: ErrorCode, isNotRun: boolean): void {
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

/** Counts events with an id, also if the field is split across two chunks. */
function createEventCounter() {
	let count = 0;
	// The beginning of a stream is also the beginning of a line.
	let tail: Buffer = Buffer.from('\n');
	return {
		add(chunk: Buffer) {
			const text = Buffer.concat([tail, chunk]);
			for (let position = text.indexOf(EVENT_ID_FIELD); position !== -1; position = text.indexOf(EVENT_ID_FIELD, position + 1)) {
				count += 1;
			}

			tail = Buffer.from(text.subarray(Math.max(0, text.length - EVENT_ID_FIELD.length + 1)));
		},
		readCount: () => count,
	};
}
