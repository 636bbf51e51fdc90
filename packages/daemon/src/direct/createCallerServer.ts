import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type CallerLimits, type CallRequest} from '@damaskspool/core';
import {type DeploymentPorts} from '@damaskspool/runtime';
import {createFailure, ERROR_CODES} from '@damaskspool/shared';
import {type CallHandle} from './callHandle.js';
import {writeRefusal} from './writeRefusal.js';

/** Options of {@link createCallerServer}. */
export type CallerServerOptions = {
	readonly ports: DeploymentPorts;
	readonly findLimits: () => CallerLimits | undefined;
	readonly isStopping: () => boolean;
	/** Called with a whole request; `waitedMs` passed since its head came in. */
	readonly onCall: (handle: CallHandle, call: CallRequest, waitedMs: number) => void;
	readonly onLeft: (callId: number) => void;
};

/** Most bytes of a request's head, above any limit that a configuration sets. */
const HEADER_LIMIT_BYTES = 65_536;
/** Time of one turn of the loop above which work that came in is refused: most of the time in which a short prompt has its full value. */
const OVERLOAD_LAG_MS = 150;
/** Wait told with such a refusal: a freshly started process has caught up by then. */
const OVERLOAD_RETRY_MS = 600;
/** Characters of a fingerprint: 72 bits, so that no two requests of a day share one. */
const FINGERPRINT_LENGTH = 12;
/** Time between looks for connections whose head is late. */
const CHECK_INTERVAL_MS = 1000;
/** Limits until a configuration is known. */
const FIRST_LIMITS = {bodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000} as const;

/** Server of callers, with what has to follow the configuration. */
export type CallerServer = {
	readonly server: Server;
	readonly applyLimits: (limits: CallerLimits) => void;
};

/**
 * Creates the server that reads callers' requests whole and hands them on.
 *
 * @param options - the adapter, limits, and who takes calls
 * @returns the server, not listening yet
 */
export function createCallerServer(options: CallerServerOptions): CallerServer {
	const {ports, findLimits, isStopping, onCall, onLeft} = options;
	let callCount = 0;

	const receive = (incoming: IncomingMessage, response: ServerResponse) => {
		const arrivedAtMs = performance.now();
		const request = ports.parseCallerRequest(incoming);
		const limitBytes = findLimits()?.bodyBytes ?? FIRST_LIMITS.bodyBytes;
		const chunks: Buffer[] = [];
		let bytes = 0;
		incoming.on('data', (chunk: Buffer) => {
			bytes += chunk.length;
			if (bytes > limitBytes) {
				response.shouldKeepAlive = false;
				writeRefusal({response, ports, failure: createFailure(ERROR_CODES.bodyTooLarge)});
				incoming.removeAllListeners('data').resume();
				return;
			}

			chunks.push(chunk);
		});
		incoming.on('end', () => {
			if (response.writableEnded || response.destroyed) {
				return;
			}

			callCount += 1;
			const body = Buffer.concat(chunks);
			const handle: CallHandle = {
				callId: callCount, request, body, response, lastEventId: request.lastEventId, cancelAttempt: undefined, heldAnswer: undefined,
			};
			response.on('close', () => {
				if (!response.writableFinished) {
					onLeft(handle.callId);
				}
			});
			if (isStopping()) {
				response.shouldKeepAlive = false;
			}

			const call = {...request.call, bodyBytes: body.length, fingerprint: computeFingerprint(request.method, request.call, body)};
			waitForDepartures(lagMs => {
				if (response.destroyed || incoming.socket.destroyed || incoming.socket.readableEnded) {
					return;
				}

				if (lagMs > OVERLOAD_LAG_MS) {
					writeRefusal({response, ports, failure: createFailure(ERROR_CODES.overloaded, {retryAfterMs: OVERLOAD_RETRY_MS})});
					return;
				}

				onCall(handle, call, performance.now() - arrivedAtMs);
			});
		});
	};

	const server = createServer({
		maxHeaderSize: HEADER_LIMIT_BYTES,
		connectionsCheckingInterval: CHECK_INTERVAL_MS,
		keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs,
		headersTimeout: FIRST_LIMITS.headerTimeoutMs,
		requestTimeout: 0,
		noDelay: true,
	}, receive);
	return {
		server,
		applyLimits({idleTimeoutMs, headerTimeoutMs}) {
			server.keepAliveTimeout = idleTimeoutMs;
			server.headersTimeout = Math.max(headerTimeoutMs, FIRST_LIMITS.headerTimeoutMs);
		},
	};
}

/**
 * Waits until what came in before now has been read, so that a caller who has
 * left meanwhile is known to have.
 *
 * @param proceed - told how long the loop took for the turn between
 */
function waitForDepartures(proceed: (lagMs: number) => void): void {
	const beganAtMs = performance.now();
	setImmediate(() => {
		setImmediate(() => {
			proceed(performance.now() - beganAtMs);
		});
	});
}

function computeFingerprint(method: string, {path, key}: CallerCall, body: Buffer): string {
	return createHash('sha1').update(`${method}\n${path}\n${key ?? ''}\n`).update(body).digest('base64').slice(0, FINGERPRINT_LENGTH);
}

type CallerCall = Pick<CallRequest, 'path' | 'key'>;
