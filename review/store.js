/** Stand-in of the platform: the object store with watches over an event log, and the interface that takes usage reports. */
import {createServer} from 'node:http';
import {readText, listen} from './net.js';

const PAGE_SIZE = 500;
/** Time that the store takes for an answer, as the sheet of the site states. */
const ANSWER_MS = 4;
/** Idle time after which the platform closes a channel, as it tells in `Keep-Alive`. */
const KEEP_ALIVE_MS = 60_000;
const PATH = /^\/damaskspool\/objects\/(?<kind>[^\/?]+)(?:\/(?<name>[^?]+))?(?:\?(?<query>.*))?$/v;

/**
 * Starts the platform.
 *
 * @param {object} options - `record` receives each usage report; `onWrite` receives each write
 */
export async function startPlatform({record, onWrite}) {
	const objects = new Map();
	const events = [];
	const waiting = new Set();
	const reports = [];
	let revision = 10;

	const change = (kind, object, isDeleted) => {
		events.push({kind, revision, event: {Object: object, Deleted: isDeleted}});
		for (const wake of waiting) {
			wake();
		}
	};

	const put = (kind, name, spec, metadata = {}) => {
		revision += 1;
		const object = {
			Metadata: {
				Name: name, Created: revision, Finalizers: [], Deleting: false, ...metadata, Revision: revision,
			}, Spec: spec, Status: {},
		};
		objects.set(`${kind}/${name}`, object);
		change(kind, object, false);
		return object;
	};

	const remove = (kind, name) => {
		const object = objects.get(`${kind}/${name}`);
		if (object !== undefined) {
			revision += 1;
			objects.delete(`${kind}/${name}`);
			change(kind, {...object, Metadata: {...object.Metadata, Revision: revision}}, true);
		}
	};

	const list = (kind, after) => {
		const items = [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
			.filter(({Metadata}) => Metadata.Name > after)
			.toSorted((left, right) => left.Metadata.Name < right.Metadata.Name ? -1 : 1);
		return {items: items.slice(0, PAGE_SIZE), MorePages: items.length > PAGE_SIZE, AsOf: revision};
	};

	const listEvents = (kind, since) => events.filter(entry => entry.kind === kind && entry.revision > since).map(({event}) => event);

	const watch = async (kind, since, waitMs) => {
		if (listEvents(kind, since).length === 0) {
			await new Promise(resolve => {
				const wake = () => {
					if (listEvents(kind, since).length > 0) {
						end();
					}
				};

				const end = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(end, waitMs);
				waiting.add(wake);
			});
		}

		return {events: listEvents(kind, since), AsOf: revision};
	};

	const write = (request, {kind, name}, body) => {
		const {Name: writtenName = name, Revision: expected, Finalizers} = body?.Metadata ?? {};
		const known = objects.get(`${kind}/${writtenName}`);
		if (request.method === 'POST') {
			return known === undefined ? [200, put(kind, writtenName, body.Spec)] : [409, known];
		}

		if (known === undefined) {
			return [404, {}];
		}

		if (expected !== undefined && expected !== known.Metadata.Revision) {
			return [409, known];
		}

		return JSON.stringify(known.Spec) === JSON.stringify(body.Spec) ? [200, known] : [200, put(kind, writtenName, body.Spec, {Created: known.Metadata.Created, Finalizers: Finalizers ?? []})];
	};

	const answer = async request => {
		const text = await readText(request);
		const body = text === '' ? undefined : JSON.parse(text);
		if (request.url === '/usage') {
			const {'x-lease-holder': holder, 'x-fence-token': fence} = request.headers;
			reports.push({
				holder, fence: Number(fence), atMs: performance.now(), ...body,
			});
			record(`platform: usage report of window ${body.WindowId} by ${holder}, fence ${fence}`);
			return [200, {}];
		}

		const {kind, name, query = ''} = PATH.exec(request.url)?.groups ?? {};
		if (kind === undefined) {
			return [404, {}];
		}

		if (request.method === 'POST' || request.method === 'PUT') {
			const written = write(request, {kind, name}, body);
			if (written[0] === 200) {
				onWrite?.({kind, name, body});
			}

			return written;
		}

		const parameters = new URLSearchParams(query);
		if (name !== undefined) {
			const object = objects.get(`${kind}/${decodeURIComponent(name)}`);
			return object === undefined ? [404, {}] : [200, object];
		}

		return parameters.has('Watch')
			? [200, await watch(kind, Number(parameters.get('Watch')), Number(parameters.get('WaitMs') ?? 0))]
			: [200, list(kind, parameters.get('after') ?? '')];
	};

	const server = createServer({keepAliveTimeout: KEEP_ALIVE_MS}, async (request, response) => {
		const [status, value] = await answer(request);
		setTimeout(() => {
			response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(value));
		}, ANSWER_MS);
	});
	const address = await listen(server);
	return {
		address,
		reports,
		put,
		remove,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
