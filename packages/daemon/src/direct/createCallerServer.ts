import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {
	type CallerLimits, type CallRequest, LEAVING_RETRY_AFTER_MS, SENT_FORMS, type WaitedTimes,
} from '@damaskspool/core';
import {createByteCollector, type DeploymentPorts, type ReadGovernor} from '@damaskspool/runtime';
import {
	createFailure, ERROR_CODES, type Failure, OUTCOMES,
} from '@damaskspool/shared';
import {type CallHandle} from './callHandle.js';
import {CLOSE_REASONS, destroyConnection} from './closeReasons.js';
import {type ArrivalMonitor} from './createArrivalMonitor.js';
import {createCallerThrottle} from './createCallerThrottle.js';
import {type ConnectionTracker, REQUEST_STAGES, type RequestStage} from './createConnectionTracker.js';
import {type MemoryLedger} from './createMemoryLedger.js';
import {type HeldRequest} from './createRequestReader.js';
import {trackCallerEnd} from './trackCallerEnd.js';
import {waitForPendingDisconnects} from './waitForPendingDisconnects.js';
import {writeRefusal, writeUnparsedRefusal} from './writeRefusal.js';

/** Options of {@link createCallerServer}. */
export type CallerServerOptions = {
	readonly ports: DeploymentPorts;
	readonly findLimits: () => CallerLimits | undefined;
	readonly isStopping: () => boolean;
	readonly arrivalMonitor: ArrivalMonitor;
	readonly connections: ConnectionTracker;
	readonly readGovernor: ReadGovernor;
	readonly memoryLedger: MemoryLedger;
	/** Called with a complete request. */
	readonly onCall: (handle: CallHandle, call: CallRequest, waited: WaitedTimes) => void;
	/** Called with a request that is refused because the event loop took `lagMs` to reach it. */
	readonly onOverloaded: (requestId: string, lagMs: number) => void;
	/** Called with a request that is refused before its body is read, because memory is short. */
	readonly onBodyRefused: (requestId: string, bodyBytes: number) => void;
	/** Called with a request that gets no answer because its connection is not open any more. */
	readonly onUnanswered: (request: UnansweredRequest) => void;
	/** Called with a request that is refused before it is parsed, because its head waited too long for its turn. */
	readonly onHeadRefused: (held: HeldRequest) => void;
	/** Called if the caller disconnects before the response is complete. */
	readonly onDisconnected: (callId: number) => void;
};

/** A request without an answer, and the state of its connection. */
export type UnansweredRequest = {
	readonly requestId: string;
	readonly stage: RequestStage;
	/** Whether the whole request was read. */
	readonly isWhole: boolean;
	readonly isAnswerDestroyed: boolean;
	readonly isDestroyed: boolean;
	/** Whether the caller has ended its sending side. */
	readonly isEndedByCaller: boolean;
	readonly isWritable: boolean;
};

/** Head that the HTTP parser takes. More than any limit that a configuration sets, which holds before the parser reads a head. */
const MAX_PARSED_HEADER_BYTES = 16_777_216;
/** Event loop lag above which new requests are refused. Such a lag uses up most of the latency objective of a short prompt. */
const MAX_EVENT_LOOP_LAG_MS = 150;
/** Retry delay sent with such a refusal. A freshly started process has caught up by then. */
const OVERLOAD_RETRY_AFTER_MS = 600;
/** Retry delay sent to a caller that ended its sending side before its request was passed on. */
const ABANDONED_RETRY_AFTER_MS = 10;
const REQUEST_ABANDONED = createFailure(ERROR_CODES.requestAbandoned, {retryAfterMs: ABANDONED_RETRY_AFTER_MS});
/** Characters of a fingerprint: 72 bits, so that no two requests of a day collide. */
const FINGERPRINT_LENGTH = 12;
/** Interval between checks for connections that exceed the header timeout. */
const HEADER_TIMEOUT_CHECK_INTERVAL_MS = 1000;
/** Line breaks before a request that are read, beside its head. */
const MAX_LEADING_BYTES = 65_536;
/** Interval between checks for connections that send more. */
const UNPRODUCTIVE_CHECK_INTERVAL_MS = 50;
/** Time for which a whole head may wait for its turn. Longer than one caller alone waits, and short against the timeouts of routes. */
const MAX_HEAD_WAIT_MS = 1000;
/** Interval between checks for heads that wait. */
const HELD_CHECK_INTERVAL_MS = 100;
/** Status lines for what the HTTP server rejects because it is too long or comes too slowly, by code of the error. */
const REJECTION_STATUSES: Readonly<Record<string, string>> = {
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
/** Limits that apply until a configuration is known. */
const INITIAL_LIMITS = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000,
} as const;

/** HTTP server for callers. */
export type CallerServer = {
	readonly server: Server;
	/** Applies the timeouts of a new configuration. */
	readonly applyLimits: (limits: CallerLimits) => void;
	/** Refuses the requests whose bodies are still being read. */
	readonly refuseReading: () => void;
	/** Refuses a request that is not parsed yet, which no target knows, and closes its connection. */
	readonly refuseHeld: (held: Pick<HeldRequest, 'socket'>, failure?: Failure) => void;
};

/**
 * Creates the server that reads complete requests of callers and passes them to `onCall`.
 *
 * @returns the server, not listening yet
 */
export function createCallerServer(options: CallerServerOptions): CallerServer {
	const {ports, findLimits, isStopping, arrivalMonitor, connections, readGovernor, memoryLedger, onCall, onOverloaded, onBodyRefused, onUnanswered, onHeadRefused, onDisconnected} = options;
	const findMaxHeadBytes = () => findLimits()?.headerBytes ?? INITIAL_LIMITS.headerBytes;
	const throttle = createCallerThrottle({
		readGovernor,
		findMaxHeadBytes,
		// The longest time that a request may have waited is mostly more than it did, so a lag that is common at work is not counted.
		measureUnreadMs: socket => Math.max(0, arrivalMonitor.measureUnreadMs(socket) - MAX_EVENT_LOOP_LAG_MS),
		onRejected(socket, code) {
			rejectRequest(socket, code);
		},
	});
	let lastCallId = 0;
	/** Responses to requests whose bodies are being read. */
	const reading = new Set<ServerResponse>();

	const rejectRequest = (socket: Socket, code: string | undefined) => {
		const end = () => {
			if (!socket.writable || connections.countOpen(socket) > 0) {
				destroyConnection(socket, {reason: CLOSE_REASONS.rejected, code});
				return;
			}

			socket.write(`HTTP/1.1 ${REJECTION_STATUSES[code ?? ''] ?? '400 Bad Request'}\r\nconnection: close\r\n\r\n`);
			socket.destroySoon();
		};

		// A caller that comes back at once with the like of this must not take the time of others.
		if (code !== undefined && code in REJECTION_STATUSES) {
			throttle.runInTurn(socket, end);
		} else {
			end();
		}
	};

	/** Refuses a request that is not parsed. It is forgotten first, so that no target gets it. */
	const refuseHeld = ({socket}: Pick<HeldRequest, 'socket'>, failure = createFailure(ERROR_CODES.overloaded, {retryAfterMs: OVERLOAD_RETRY_AFTER_MS})) => {
		throttle.findReader(socket)?.discard();
		writeUnparsedRefusal(socket, {ports, failure});
	};

	const receive = (incoming: IncomingMessage, response: ServerResponse) => {
		const {socket} = incoming;
		const reader = throttle.findReader(socket);
		const request = ports.parseCallerRequest(incoming);
		const reportUnanswered = (stage: RequestStage) => {
			onUnanswered({
				requestId: request.call.requestId,
				stage,
				isWhole: incoming.complete,
				isAnswerDestroyed: response.destroyed,
				isDestroyed: socket.destroyed,
				isEndedByCaller: socket.readableEnded,
				isWritable: socket.writable,
			});
		};

		if (reader === undefined) {
			reportUnanswered(REQUEST_STAGES.reading);
			response.destroy();
			return;
		}

		const declaredBytes = Number(incoming.headers['content-length'] ?? 0);
		const isChunked = incoming.headers['transfer-encoding'] !== undefined;
		connections.recordRequest(response, socket, request.call.requestId);
		reader.recordRequest(incoming, response, {contentLength: declaredBytes, isChunked});
		discardLines(incoming);
		const {arrivedAtMs} = reader.getTimes();
		const maxBodyBytes = findLimits()?.bodyBytes ?? INITIAL_LIMITS.bodyBytes;
		if (declaredBytes <= maxBodyBytes && !memoryLedger.mayAdmit(declaredBytes)) {
			onBodyRefused(request.call.requestId, declaredBytes);
			refuseUnread(response, ports);
			return;
		}

		lastCallId += 1;
		const callId = lastCallId;
		const held = memoryLedger.add({
			callId, requestId: request.call.requestId, response, headBytes: request.headerLines.length,
		});
		const collector = createByteCollector();
		let bytes = 0;
		let handle: CallHandle | undefined;
		trackCallerEnd(response, socket, () => {
			connections.recordAbandoned(response);
			onDisconnected(callId);
			const isSent = handle?.cancelAttempt !== undefined;
			refuseUnread(response, ports, isSent
				? createFailure(ERROR_CODES.answerAbandoned, {outcome: OUTCOMES.refusedUnknown})
				: REQUEST_ABANDONED);
		});
		reading.add(response);
		response.on('close', () => {
			reading.delete(response);
		});
		incoming.on('data', (chunk: Buffer) => {
			bytes += chunk.length;
			held.bodyBytes = bytes;
			memoryLedger.record(chunk.length);
			if (response.writableEnded) {
				return;
			}

			if (isChunked && !memoryLedger.mayGrow(held, chunk.length)) {
				onBodyRefused(request.call.requestId, bytes);
				refuseUnread(response, ports);
				return;
			}

			if (bytes > maxBodyBytes) {
				response.shouldKeepAlive = false;
				writeRefusal({response, ports, failure: createFailure(ERROR_CODES.bodyTooLarge)});
				discardRest(incoming);
				return;
			}

			collector.push(chunk);
		});
		incoming.on('end', () => {
			reading.delete(response);
			if (response.writableEnded || response.destroyed) {
				return;
			}

			// A body whose length its caller did not know may have come later than the connection.
			const sentMs = isChunked ? 0 : arrivalMonitor.measureSentMs(socket);
			const completedAtMs = Math.min(performance.now() - sentMs, reader.getTimes().lastReadAtMs);
			const body = collector.take();
			connections.recordComplete(response);
			held.isReading = false;
			const callHandle: CallHandle = {
				callId, request, body, response, held, sentForm: SENT_FORMS.nothing, lastEventId: request.lastEventId, cancelAttempt: undefined, bufferedResponse: undefined,
			};
			handle = callHandle;
			response.on('close', () => {
				if (!response.writableFinished) {
					onDisconnected(callId);
				}
			});
			if (isStopping()) {
				response.shouldKeepAlive = false;
			}

			const call = {...request.call, bodyBytes: body.length, fingerprint: computeFingerprint(request.method, request.call, body)};
			waitForPendingDisconnects(lagMs => {
				if (response.destroyed || response.writableEnded || socket.destroyed || socket.readableEnded) {
					reportUnanswered(REQUEST_STAGES.waiting);
					return;
				}

				if (lagMs > MAX_EVENT_LOOP_LAG_MS) {
					onOverloaded(call.requestId, lagMs);
					writeRefusal({response, ports, failure: createFailure(ERROR_CODES.overloaded, {retryAfterMs: OVERLOAD_RETRY_AFTER_MS})});
					return;
				}

				arrivalMonitor.schedule(() => {
					if (response.destroyed || response.writableEnded) {
						reportUnanswered(REQUEST_STAGES.waiting);
					} else {
						const nowMs = performance.now();
						connections.recordCall(response);
						onCall(callHandle, call, {waitedMs: nowMs - arrivedAtMs, completeForMs: nowMs - completedAtMs});
					}
				});
			});
		});
	};

	const server = createServer({
		maxHeaderSize: MAX_PARSED_HEADER_BYTES,
		connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_INTERVAL_MS,
		keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs,
		headersTimeout: INITIAL_LIMITS.headerTimeoutMs,
		requestTimeout: 0,
		noDelay: true,
	}, receive);
	// What holds is the limit of bytes. Lines beyond a number would be dropped, and with them a key, a length or a deadline.
	server.maxHeadersCount = 0;
	server.on('connection', socket => {
		connections.recordConnection(socket, throttle.recordConnection(socket));
		arrivalMonitor.recordConnection(socket);
		socket.prependListener('end', () => {
			const held = throttle.findReader(socket)?.findHeld();
			if (held?.isWhole === true && connections.countOpen(socket) === 0) {
				onHeadRefused(held);
				refuseHeld(held, REQUEST_ABANDONED);
			}
		});
	});
	// The HTTP server tells nothing of bytes before the head of a request, such as line breaks.
	const unproductiveTimer = setInterval(() => {
		for (const socket of connections.listUnproductive((2 * findMaxHeadBytes()) + MAX_LEADING_BYTES)) {
			throttle.runInTurn(socket, () => {
				destroyConnection(socket, {reason: CLOSE_REASONS.rejected});
			});
		}
	}, UNPRODUCTIVE_CHECK_INTERVAL_MS);
	unproductiveTimer.unref();
	// The HTTP server knows nothing of heads that are not handed to it.
	const heldTimer = setInterval(() => {
		const nowMs = performance.now();
		for (const held of throttle.listHeld()) {
			if (held.isWhole && nowMs - held.heldSinceMs > MAX_HEAD_WAIT_MS) {
				onHeadRefused(held);
				refuseHeld(held);
			} else if (held.isPartial && nowMs - held.heldSinceMs > server.headersTimeout) {
				rejectRequest(held.socket, 'ERR_HTTP_REQUEST_TIMEOUT');
			}
		}
	}, HELD_CHECK_INTERVAL_MS);
	heldTimer.unref();
	server.on('close', () => {
		clearInterval(unproductiveTimer);
		clearInterval(heldTimer);
	});
	server.on('clientError', ({code}: NodeJS.ErrnoException, socket: Socket) => {
		rejectRequest(socket, code);
	});
	// The HTTP server refuses such a request by itself, but its body has to be read.
	server.on('checkExpectation', (incoming: IncomingMessage, response: ServerResponse) => {
		response.shouldKeepAlive = false;
		response.writeHead(417).end();
	});
	return {
		server,
		refuseHeld,
		refuseReading() {
			const failure = createFailure(ERROR_CODES.leaving, {retryAfterMs: LEAVING_RETRY_AFTER_MS});
			for (const response of reading) {
				refuseUnread(response, ports, failure);
			}

			for (const held of throttle.listHeld()) {
				if (held.isWhole) {
					refuseHeld(held, failure);
				}
			}
		},
		applyLimits({idleTimeoutMs, headerTimeoutMs}) {
			server.keepAliveTimeout = idleTimeoutMs;
			server.headersTimeout = Math.max(headerTimeoutMs, INITIAL_LIMITS.headerTimeoutMs);
		},
	};
}

/** Refuses a request whose body is not kept, and closes its connection. No target knows the request. */
export function refuseUnread(
	response: ServerResponse,
	ports: Pick<DeploymentPorts, 'formatRefusalHeaders'>,
	failure = createFailure(ERROR_CODES.overloaded, {retryAfterMs: OVERLOAD_RETRY_AFTER_MS}),
): void {
	response.shouldKeepAlive = false;
	writeRefusal({response, ports, failure});
	discardRest(response.req);
}

/** Frees the lines of a head that is parsed. They take many times their bytes. */
function discardLines(incoming: IncomingMessage): void {
	incoming.rawHeaders = [];
	incoming.headers = {};
}

/** Keeps nothing of the rest of a body. */
function discardRest(incoming: IncomingMessage): void {
	incoming.removeAllListeners('data').resume();
}

function computeFingerprint(method: string, {path, key}: FingerprintedFields, body: Buffer): string {
	return createHash('sha1').update(`${method}\n${path}\n${key ?? ''}\n`).update(body).digest('base64').slice(0, FINGERPRINT_LENGTH);
}

type FingerprintedFields = Pick<CallRequest, 'path' | 'key'>;
