import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {writeWithBackPressure} from '@damaskspool/runtime';
import {
	ERROR_DESCRIPTIONS, type Failure, HEADERS, type Outcome, OUTCOMES, SECOND_MS, type StoredResponse,
} from '@damaskspool/shared';

/** Writes the response to a caller: either a complete response or one refusal. */
export type CallerResponseWriter = {
	/** Whether the response is a stream whose headers were already sent. */
	readonly isStreamStarted: () => boolean;
	/**
	 * Sends one complete event of a stream. Resolves with true when the caller's connection accepts more data, and with
	 * false once the response is closed.
	 */
	readonly sendEvent: (bytes: Buffer) => Promise<boolean>;
	/** Buffers a complete, non-streamed response until {@link CallerResponseWriter.complete} sends it. */
	readonly setBufferedResponse: (status: number, contentType: string, body: Buffer) => void;
	/** Returns the buffered response with its body in base64; undefined if there is none. */
	readonly readBufferedResponse: () => StoredResponse | undefined;
	/** Ends the stream with the outcome `answered`, or sends the buffered response. */
	readonly complete: () => void;
	/** Sends the failure: as the last event of a stream that was begun, else as a JSON response. */
	readonly refuse: (failure: Failure) => void;
};

/**
 * Creates the writer of the response to one request.
 *
 * @param requestId - sent to the caller in the request id header and in the body of a refusal
 */
export function createCallerResponseWriter(response: ServerResponse, requestId: string): CallerResponseWriter {
	// The caller may disconnect during any write. The 'close' event reports that, so errors are ignored here.
	response.on('error', () => undefined);
	let bufferedResponse: {status: number; contentType: string; body: Buffer} | undefined;
	let isStream = false;

	const beginStream = () => {
		isStream = true;
		response.writeHead(200, {
			'content-type': 'text/event-stream',
			'cache-control': 'no-store',
			[HEADERS.requestId]: requestId,
			trailer: HEADERS.outcome,
		});
	};

	const writeCompleteResponse = (status: number, headers: Record<string, string>, body: Buffer) => {
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
		isStreamStarted: () => isStream,
		async sendEvent(bytes) {
			// A cancelled attempt may still deliver an event after the response was closed.
			if (response.writableEnded || response.destroyed) {
				return false;
			}

			if (!isStream) {
				beginStream();
			}

			return writeWithBackPressure(response, bytes);
		},
		setBufferedResponse(status, contentType, body) {
			bufferedResponse = {status, contentType, body};
		},
		readBufferedResponse: () => bufferedResponse === undefined ? undefined : {...bufferedResponse, body: bufferedResponse.body.toString('base64')},
		complete() {
			if (isStream) {
				endStream(OUTCOMES.answered);
			} else if (bufferedResponse !== undefined) {
				const {status, contentType, body} = bufferedResponse;
				writeCompleteResponse(status, {'content-type': contentType, [HEADERS.outcome]: OUTCOMES.answered}, body);
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
			writeCompleteResponse(ERROR_DESCRIPTIONS[failure.code].status, {
				'content-type': 'application/json',
				[HEADERS.outcome]: failure.outcome,
				[HEADERS.errorCode]: failure.code,
				...retryAfter,
			}, Buffer.from(text));
		},
	};
}

/** Returns the JSON body of a refusal, in the error format that clients of LLM APIs expect. */
export function toErrorBody(failure: Failure, requestId: string) {
	const {code, message, outcome, retryAfterMs} = failure;
	return {
		error: {
			code, message, outcome, request_id: requestId, ...(retryAfterMs !== undefined && {retry_after_ms: retryAfterMs}),
		},
	};
}

/**
 * Maximum time for which the rest of a refused request's body is read and discarded. Closing the connection earlier
 * would reset it, and the caller would not receive the refusal.
 */
const MAX_UNREAD_DRAIN_MS = 1000;

/**
 * Refuses a request whose body was not read completely, and closes its connection, which cannot be reused.
 */
export function refuseUnreadRequest(incoming: IncomingMessage, response: ServerResponse, failure: Failure): void {
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
	}, MAX_UNREAD_DRAIN_MS);
	incoming.on('close', () => {
		clearTimeout(timer);
	});
}
