import {HEADERS} from '@damaskspool/shared';
import {sendJson, serveJson, type StandIn} from '../serveJson.js';

/** Options of {@link createPlainService}. */
export type PlainServiceOptions = {
	readonly port?: number;
	/** Time that a call takes. */
	readonly callMs?: number;
	/** Text by which an API key is known wherever it turns up. */
	readonly keyMarker?: string;
};

/** What a plain service counted. */
export type PlainServiceStats = {
	/** Times that a call of method POST ran, by the `reference` in its body. */
	readonly runsByReference: ReadonlyMap<string, number>;
	/** Calls of any method that ran. */
	readonly calls: number;
	readonly keysSeen: number;
};

/** A running plain service. */
export type PlainService = StandIn & {readonly readStats: () => PlainServiceStats};

/**
 * Starts a stand-in of a plain service, such as one that issues permits: it
 * counts each call that ran.
 *
 * @param options - time of a call
 * @returns the running service
 */
export async function createPlainService(options: PlainServiceOptions = {}): Promise<PlainService> {
	const {port, callMs = 5, keyMarker = 'dmsk_'} = options;
	const runsByReference = new Map<string, number>();
	let keysSeen = 0;
	let calls = 0;

	const server = await serveJson((request, response) => {
		if (request.rawContent.includes(keyMarker)) {
			keysSeen += 1;
		}

		if (request.path === '/report') {
			sendJson(response, 200, {role: 'mixed', models: [], isReady: true});
			return;
		}

		calls += 1;
		const requestId = String(request.headers[HEADERS.requestId] ?? '');
		const reference = request.method === 'POST'
			? String((JSON.parse(request.body) as {reference?: string}).reference)
			: request.path.split('/').at(-1) ?? '';
		if (request.method === 'POST') {
			runsByReference.set(reference, (runsByReference.get(reference) ?? 0) + 1);
		}

		setTimeout(() => {
			sendJson(response, 200, {reference, done: true}, {[HEADERS.requestId]: requestId});
		}, callMs);
	}, port);
	return {...server, readStats: () => ({runsByReference, calls, keysSeen})};
}
