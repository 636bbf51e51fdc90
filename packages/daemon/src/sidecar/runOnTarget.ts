import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Work} from '@damaskspool/core';
import {
	ERROR_CODES, type ErrorCode, HEADERS, OUTCOMES,
} from '@damaskspool/shared';
import {type Dispatcher} from 'undici';
import {type UsageMeter} from '../usageMeter.js';

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
/** Field by which the events of a stream that carry a token are counted. */
const EVENT_ID_FIELD = Buffer.from('id: ');

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
			body: incoming.method === 'GET' ? null : incoming,
			signal: abort.signal,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	} catch (error) {
		const isNotSent = (error as {code?: string}).code === 'ECONNREFUSED';
		refuseFailed(options, ERROR_CODES.targetFailed, isNotSent);
		return 0;
	}

	const echoed = answer.headers[HEADERS.requestId];
	if (echoed !== undefined && echoed !== work.requestId) {
		answer.body.destroy();
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
	let generatedTokens = 0;
	try {
		for await (const chunk of answer.body as AsyncIterable<Buffer>) {
			meter.add(chunk);
			generatedTokens += countEvents(chunk);
			if (!response.write(chunk)) {
				await Promise.race([once(response, 'drain'), once(response, 'close')]);
			}
		}

		response.end();
	} catch {
		// The entry sees its connection break within the answer, and so that the answer is not whole.
		response.destroy();
	}

	return generatedTokens;
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

function countEvents(chunk: Buffer): number {
	let count = 0;
	for (let at = chunk.indexOf(EVENT_ID_FIELD); at !== -1; at = chunk.indexOf(EVENT_ID_FIELD, at + 1)) {
		count += at === 0 || chunk[at - 1] === 0x0A ? 1 : 0;
	}

	return count;
}
