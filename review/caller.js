/** Stand-in of a consumer. */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {HOST} from './net.js';
import {HOST_NAME, KEY} from './config.js';

/** Error of a call that the consumer gave up at its time limit. */
export const TIME_LIMIT_REACHED = 'time limit of the consumer';

/** Creates a consumer that keeps its channels to one entry. Answers `{status, headers, body, isComplete, error}`; `status` is 0 without an answer. */
export function createCaller(port, {maxSockets = 64} = {}) {
	const agent = new Agent({keepAlive: true, maxSockets});
	return {
		close() {
			agent.destroy();
		},
		async call({requestId, method = 'POST', path, body = '', deadlineMs, headers = {}, onResponse}) {
			return new Promise(resolve => {
				const result = {
					requestId, status: 0, headers: {}, body: Buffer.alloc(0), isComplete: false, sentAtMs: performance.now(),
				};
				const finish = changes => {
					clearTimeout(timer);
					resolve(Object.assign(result, {endedAtMs: performance.now()}, changes));
				};

				const outgoing = request({
					host: HOST, port, method, path, agent, headers: {
						host: HOST_NAME, authorization: `Bearer ${KEY}`, 'x-request-id': requestId, 'x-deadline-ms': String(deadlineMs), ...(body !== '' && {'content-length': Buffer.byteLength(body)}), ...headers,
					},
				}, response => {
					const chunks = [];
					result.status = response.statusCode;
					result.headers = response.headers;
					onResponse?.(response);
					response.on('data', chunk => {
						chunks.push(chunk);
					});
					response.on('end', () => {
						finish({body: Buffer.concat(chunks), isComplete: response.complete});
					});
					response.on('error', error => {
						finish({body: Buffer.concat(chunks), error: error.code ?? error.message});
					});
				});
				const timer = setTimeout(() => {
					finish({error: TIME_LIMIT_REACHED});
					outgoing.destroy();
				}, deadlineMs);
				outgoing.on('error', error => {
					finish({error: error.code ?? error.message});
				});
				outgoing.end(body);
			});
		},
	};
}
