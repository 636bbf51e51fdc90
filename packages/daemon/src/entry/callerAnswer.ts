import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {writeWithBackPressure} from '@damaskspool/runtime';
import {
	ERROR_DESCRIPTIONS, type Failure, HEADERS, type Outcome, OUTCOMES, SECOND_MS, type StoredResponse,
} from '@damaskspool/shared';

/** The caller's side of a request: writes either a whole answer or one refusal. */
export type CallerAnswer = {
	/** Whether a part of a stream was already sent. */
	readonly isStarted: () => boolean;
	/** Sends one whole event; resolves when the caller's connection takes more, with false once it takes none. */
	readonly sendEvent: (bytes: Buffer) => Promise<boolean>;
	/** Keeps a whole answer that is no stream until the request is complete. */
	readonly holdWhole: (status: number, contentType: string, body: Buffer) => void;
	/** The whole answer that is kept, if there is one. */
	readonly readHeld: () => StoredResponse | undefined;
	readonly complete: () => void;
	readonly refuse: (failure: Failure) => void;
};

/**
 * Creates the caller's side of a request.
 *
 * @param response - response of node:http
 * @param requestId - identifier that the caller is told
 * @returns the caller's side
 */
export function createCallerAnswer(response: ServerResponse, requestId: string): CallerAnswer {
	// A caller may leave at any write; its request hears of that by 'close'.
	response.on('error', () => undefined);
	let held: {status: number; contentType: string; body: Buffer} | undefined;
	let isStream = false;

	const startStream = () => {
		isStream = true;
		response.writeHead(200, {
			'content-type': 'text/event-stream',
			'cache-control': 'no-store',
			[HEADERS.requestId]: requestId,
			trailer: HEADERS.outcome,
		});
	};

	const writeWhole = (status: number, headers: Record<string, string>, body: Buffer) => {
		response.writeHead(status, {
			...headers,
			'content-length': body.length,
			[HEADERS.requestId]: requestId,
		});
		response.end(body);
	};

	const endStream = (outcome: Outcome) => {
		response.addTrailers({[HEADERS.outcome]: outcome});
		response.end();
	};

	return {
		isStarted: () => isStream,
		async sendEvent(bytes) {
			// An attempt that was given up may still hold an event when the answer is already closed.
			if (response.writableEnded || response.destroyed) {
				return false;
			}

			if (!isStream) {
				startStream();
			}

			return writeWithBackPressure(response, bytes);
		},
		holdWhole(status, contentType, body) {
			held = {status, contentType, body};
		},
		readHeld: () => held === undefined ? undefined : {...held, body: held.body.toString('base64')},
		complete() {
			if (isStream) {
				endStream(OUTCOMES.answered);
			} else if (held !== undefined) {
				const {status, contentType, body} = held;
				writeWhole(status, {'content-type': contentType, [HEADERS.outcome]: OUTCOMES.answered}, body);
			}
		},
		refuse(failure) {
			const text = JSON.stringify(toErrorBody(failure, requestId));
			if (isStream) {
				response.write(`event: error\ndata: ${text}\n\n`);
				endStream(failure.outcome);
				return;
			}

			const retryAfter: Record<string, string> = failure.retryAfterMs === undefined
				? {}
				: {'retry-after': String(Math.ceil(failure.retryAfterMs / SECOND_MS))};
			writeWhole(ERROR_DESCRIPTIONS[failure.code].status, {
				'content-type': 'application/json',
				[HEADERS.outcome]: failure.outcome,
				[HEADERS.errorCode]: failure.code,
				...retryAfter,
			}, Buffer.from(text));
		},
	};
}

/**
 * Builds the JSON body of a refusal, in the shape that clients of such interfaces know.
 *
 * @param failure - the refusal
 * @param requestId - identifier of the request
 * @returns the body
 */
export function toErrorBody(failure: Failure, requestId: string) {
	const {code, message, outcome, retryAfterMs} = failure;
	return {
		error: {
			code, message, outcome, request_id: requestId, ...(retryAfterMs !== undefined && {retry_after_ms: retryAfterMs}),
		},
	};
}

/** Time for which the rest of a refused body is read and dropped, so that the caller sees the refusal and no reset. */
const UNREAD_DRAIN_MS = 1000;

/**
 * Refuses a request whose body was not read whole; its connection cannot be used again.
 *
 * @param incoming - request that is given up
 * @param response - its response
 * @param failure - why it is refused
 */
export function refuseUnread(incoming: IncomingMessage, response: ServerResponse, failure: Failure): void {
	const text = JSON.stringify(toErrorBody(failure, ''));
	const {status} = ERROR_DESCRIPTIONS[failure.code];
	response.on('error', () => undefined);
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
		[HEADERS.outcome]: failure.outcome,
		[HEADERS.errorCode]: failure.code,
		connection: 'close',
	});
	response.end(text);
	incoming.resume();
	const timer = setTimeout(() => {
		incoming.destroy();
	}, UNREAD_DRAIN_MS);
	incoming.on('close', () => {
		clearTimeout(timer);
	});
}
