import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {type ConfigurationDocument, hashText} from '@damaskspool/shared';

/** API key of the only customer. */
export const TEST_KEY = 'dmsk_0123456789abcdef';
/** The only model of the service `assistant`. */
export const TEST_MODEL = 'm';

/**
 * Builds a configuration with a model service and a plain service. The plain
 * service has a keyed route that is not repeatable and an open route.
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

/** Response of an entry with its body read to the end. */
export type EntryResponse = {
	readonly status: number;
	readonly headers: Headers;
	readonly body: string;
};

/**
 * Sends a request to an entry and reads the complete response.
 *
 * @param address - `ip:port`
 * @param path - path and query
 * @param options - a body makes the request a POST; strings are sent as they are, other values as JSON. `key` replaces
 * TEST_KEY, and an explicit `undefined` sends no key.
 */
export async function callEntry(
	address: string,
	path: string,
	options: {body?: unknown; headers?: Record<string, string>; key?: string | undefined; signal?: AbortSignal} = {},
): Promise<EntryResponse> {
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

/** Builds the body of a chat request with a streamed response of at most `maxTokens` tokens. */
export function createChatBody(content: string, maxTokens = 4) {
	return {
		model: TEST_MODEL, messages: [{role: 'user', content}], max_tokens: maxTokens, stream: true,
	};
}

/**
 * Sends text unchanged over TCP and returns everything received until the connection closes.
 *
 * @param address - `ip:port`
 */
export async function sendRaw(address: string, bytes: string): Promise<string> {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	socket.write(bytes);
	return text(socket);
}
