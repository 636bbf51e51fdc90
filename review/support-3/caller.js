/** Stand-in for a consumer. */
import {Buffer} from 'node:buffer';
import {request as sendRequest} from 'node:http';

/**
 * Sends one consumer attempt.
 *
 * @param options - `agent` keeps channels, each attempt has one of its own by default; `patienceMs` is the longest time that the consumer waits
 * @returns status, headers, body, and whether the answer was complete by the rules of HTTP/1.1
 */
export async function call({port, method = 'POST', path, requestId, headers = {}, body = '', patienceMs = 5000, agent = false}) {
	const startedAtMs = Date.now();
	return new Promise(resolve => {
		const finish = (result, text = '') => {
			clearTimeout(timer);
			if (result.isComplete !== true) {
				request.destroy();
			}

			resolve({
				requestId, path, startedAtMs, endedAtMs: Date.now(), isKept: request.reusedSocket, text, ...result,
			});
		};

		const request = sendRequest({
			host: '127.0.0.1', port, method, path, agent, headers: {
				host: 'calls.example',
				'x-request-id': requestId,
				'x-deadline-ms': String(patienceMs),
				authorization: 'Bearer key-of-customer-a',
				...(body !== '' && {'content-length': Buffer.byteLength(body)}),
				...headers,
			},
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			const end = isComplete => {
				finish({status: response.statusCode, headers: response.headers, isComplete}, Buffer.concat(chunks).toString('utf8'));
			};

			response.on('end', () => {
				end(response.complete);
			});
			response.on('error', () => {
				end(false);
			});
		});
		request.on('error', error => {
			finish({status: undefined, isComplete: false, error: error.code ?? error.message});
		});
		const timer = setTimeout(() => {
			finish({status: undefined, isComplete: false, error: 'gave up'});
		}, patienceMs);
		request.end(body);
	});
}

/** Lists the numbers of the events in a stream. */
export function listEventIds(text) {
	return [...text.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups.id));
}

/** Asks an entry whether it is ready. */
export async function isReady(port) {
	const {status} = await call({
		port, method: 'GET', path: '/damaskspool/ready', requestId: 'readiness', patienceMs: 900,
	});
	return status === 200;
}

/** Describes a prompt of a shared part and one of its own. */
export function createPromptHeaders(sequence) {
	return {'x-model': 'm', 'x-token-count': '383,11', 'x-prompt-prefix': `5c1e07a2:92,${(0xE4_40_2B + sequence).toString(16)}:291`};
}
