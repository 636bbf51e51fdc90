import {HEADERS} from '@damaskspool/shared';
import {sendJson, serveJson, type StandIn} from '../serveJson.js';

/** Options of {@link createPlainService}. */
export type PlainServiceOptions = {
	readonly port?: number;
	/** Duration of a call. */
	readonly callMs?: number;
	/** Substring that identifies an API key in a header, path or body. */
	readonly keyMarker?: string;
};

/** Counts of a plain service since its start. */
export type PlainServiceStats = {
	/** Executions of POST calls, by the `reference` in the body. */
	readonly runsByReference: ReadonlyMap<string, number>;
	/** Executed calls of any method. */
	readonly calls: number;
	/** Requests that contained an API key. */
	readonly keysSeen: number;
};

/** A running plain service stand-in. */
export type PlainService = StandIn & {readonly readStats: () => PlainServiceStats};

/**
 * Starts a stand-in of a plain service, such as one that issues permits, and
 * counts its executed calls.
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
