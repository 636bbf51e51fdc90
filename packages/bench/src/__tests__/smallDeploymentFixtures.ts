import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {type ConfigurationDocument, hashText} from '@damaskspool/shared';

/** Key of the one customer. */
export const TEST_KEY = 'dmsk_0123456789abcdef';
/** Model of the service `assistant`. */
export const TEST_MODEL = 'm';

/**
 * Builds a configuration with a model service, a plain service whose calls may
 * not be repeated, and an open route.
 *
 * @returns the document
 */
export function createSmallDocument(): ConfigurationDocument {
	const keyed = {method: 'POST', access: 'keyed', bodyLimitBytes: 20_000} as const;
	const goals = {firstTokenGoalMs: 720, betweenTokensGoalMs: 41};
	return {
		services: [
			{
				serviceId: 'assistant', kind: 'model', models: [TEST_MODEL], ...goals, routes: [{
					...keyed, path: '/v1/chat/completions', repeatable: true, deadlineMs: 20_000,
				}],
			},
			{
				serviceId: 'booking', kind: 'plain', models: [], ...goals, routes: [
					{
						...keyed, path: '/permits', repeatable: false, deadlineMs: 5000,
					},
					{
						...keyed, method: 'GET', access: 'open', path: '/permits/status', repeatable: true, deadlineMs: 5000,
					},
				],
			},
		],
		customers: [{
			customerId: 'c', keyHashes: [hashText(TEST_KEY)], weight: 1, operator: false,
		}],
	};
}

/** What a caller was answered. */
export type RawAnswer = {
	readonly status: number;
	readonly headers: Headers;
	readonly body: string;
};

/**
 * Sends a request as a caller would.
 *
 * @param address - `ip:port` of an entry
 * @param path - path and query
 * @param options - body, which makes it a POST, further headers, and a key other than the customer's
 * @returns what came back
 */
export async function callEntry(
	address: string,
	path: string,
	options: {body?: unknown; headers?: Record<string, string>; key?: string | undefined; signal?: AbortSignal} = {},
): Promise<RawAnswer> {
	const {body, headers, signal} = options;
	const key = 'key' in options ? options.key : TEST_KEY;
	const response = await fetch(`http://${address}${path}`, {
		method: body === undefined ? 'GET' : 'POST',
		headers: {
			...(key !== undefined && {authorization: `Bearer ${key}`}),
			...headers,
		},
		...(body !== undefined && {body: typeof body === 'string' ? body : JSON.stringify(body)}),
		...(signal !== undefined && {signal}),
	});
	return {status: response.status, headers: response.headers, body: await response.text()};
}

/**
 * Builds the body of a request for a streamed answer.
 *
 * @param content - prompt
 * @param maxTokens - tokens of the answer
 * @returns the body
 */
export function createChat(content: string, maxTokens = 4) {
	return {
		model: TEST_MODEL, messages: [{role: 'user', content}], max_tokens: maxTokens, stream: true,
	};
}

/**
 * Sends bytes as they are and reads until the connection closes.
 *
 * @param address - `ip:port`
 * @param bytes - what is sent
 * @returns everything that came back
 */
export async function sendRaw(address: string, bytes: string): Promise<string> {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	socket.write(bytes);
	return text(socket);
}
