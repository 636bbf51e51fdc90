import {Buffer} from 'node:buffer';
import {type ServerResponse, STATUS_CODES} from 'node:http';
import {type Socket} from 'node:net';
import {type DeploymentPorts} from '@damaskspool/runtime';
import {
	ERROR_CODES, ERROR_DESCRIPTIONS, type ErrorCode, type Failure,
} from '@damaskspool/shared';
import {CLOSE_REASONS, type CloseReason, destroyAnswer} from './closeReasons.js';

/** Options of {@link writeRefusal}. */
export type RefusalOptions = {
	readonly response: ServerResponse;
	readonly ports: Pick<DeploymentPorts, 'formatRefusalHeaders'>;
	readonly failure: Failure;
};

/** Reasons of cuts by the code of the refusal that cannot be sent any more; `refused` for all others. */
const CUT_REASONS: Readonly<Partial<Record<ErrorCode, CloseReason>>> = {
	[ERROR_CODES.deadlineExceeded]: CLOSE_REASONS.expired,
	[ERROR_CODES.stopped]: CLOSE_REASONS.graceEnded,
};

/**
 * Ends a call with an error response of the entry. If part of a response was already
 * forwarded, the connection is destroyed, so that the caller does not treat that
 * part as a complete response.
 */
export function writeRefusal({response, ports, failure}: RefusalOptions): void {
	if (response.headersSent || response.destroyed) {
		destroyAnswer(response, {reason: CUT_REASONS[failure.code] ?? CLOSE_REASONS.refused, code: failure.code});
		return;
	}

	const {status, headers, body} = formatRefusal(failure, ports);
	response.writeHead(status, headers);
	response.end(body);
}

/** Refuses a request that is not parsed yet, and closes its connection behind the answer. No other answer may be under way on it. */
export function writeUnparsedRefusal(socket: Socket, {ports, failure}: Omit<RefusalOptions, 'response'>): void {
	const {status, headers, body} = formatRefusal(failure, ports);
	const lines = Object.entries({...headers, connection: 'close'}).map(([name, value]) => `${name}: ${value}\r\n`);
	if (socket.writable) {
		socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${lines.join('')}\r\n${body}`);
	}

	socket.destroySoon();
}

function formatRefusal(failure: Failure, ports: RefusalOptions['ports']) {
	const body = JSON.stringify({error: {code: failure.code, outcome: failure.outcome, message: failure.message}});
	return {
		status: ERROR_DESCRIPTIONS[failure.code].status,
		headers: {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(body),
			...ports.formatRefusalHeaders(failure.retryAfterMs),
		},
		body,
	};
}
