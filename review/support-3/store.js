/** Stand-in for the platform's store and for the interface that takes usage reports. */
import {createServer} from 'node:http';
import {readBody, listen} from './net.js';

const OBJECTS_PATH = /^\/damaskspool\/objects\/(?<kind>[^\/?]+)(?:\/(?<name>[^\/?]+))?(?:\?(?<query>.*))?$/v;
const PAGE_SIZE = 500;
const MAX_WATCH_MS = 30_000;

/**
 * Starts the store on a free loopback port. It does what the pages say of a sound store.
 *
 * @returns the address, functions to change objects, the accepted usage reports, and functions that cut off watches
 */
export async function startStore() {
	const objects = new Map();
	const changes = [];
	const waiting = new Set();
	const reports = [];
	const control = {cutAfterMs: undefined};
	const cuts = new Set();
	let revision = 1;

	const publish = (kind, object, isDeleted) => {
		changes.push({
			kind, revision, object, isDeleted,
		});
		for (const wake of waiting) {
			wake();
		}
	};

	const put = (kind, name, value) => {
		const key = `${kind}/${name}`;
		const previous = objects.get(key);
		if (previous !== undefined && JSON.stringify(previous.Spec) === JSON.stringify(value)) {
			return previous;
		}

		revision += 1;
		const object = {
			Metadata: {
				Name: name, Revision: revision, Created: previous?.Metadata.Created ?? revision, Finalizers: [], Deleting: false,
			}, Spec: value, Status: null,
		};
		objects.set(key, object);
		publish(kind, object, false);
		return object;
	};

	const remove = (kind, name) => {
		const object = objects.get(`${kind}/${name}`);
		if (object !== undefined) {
			revision += 1;
			objects.delete(`${kind}/${name}`);
			publish(kind, object, true);
		}
	};

	/** Waits for a change. Returns whether the watch was cut off before. */
	const waitForChange = async (hasChanged, waitMs) => new Promise(resolve => {
		const finish = isCut => {
			clearTimeout(timer);
			waiting.delete(wake);
			cuts.delete(cut);
			resolve(isCut);
		};

		const wake = () => {
			if (hasChanged()) {
				finish(false);
			}
		};

		const cut = () => {
			finish(true);
		};

		const isCutOff = control.cutAfterMs !== undefined;
		const timer = setTimeout(finish, isCutOff ? control.cutAfterMs : Math.min(MAX_WATCH_MS, waitMs), isCutOff);
		waiting.add(wake);
		cuts.add(cut);
	});

	const handlers = {
		async list({kind, query}) {
			const after = query.get('after') ?? '';
			const names = [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
				.filter(({Metadata}) => Metadata.Name > after)
				.toSorted((left, right) => left.Metadata.Name < right.Metadata.Name ? -1 : 1);
			return [200, {items: names.slice(0, PAGE_SIZE), MorePages: names.length > PAGE_SIZE, AsOf: revision}];
		},
		async watch({kind, query}) {
			const since = Number(query.get('Watch'));
			const findEvents = () => changes.filter(change => change.kind === kind && change.revision > since);
			if (findEvents().length === 0) {
				const isCut = await waitForChange(() => findEvents().length > 0, Number(query.get('WaitMs') ?? 0));
				if (isCut) {
					return undefined;
				}
			}

			return [200, {events: findEvents().map(({object, isDeleted}) => ({Object: object, Deleted: isDeleted})), AsOf: revision}];
		},
		async read({key}) {
			const object = objects.get(key);
			return object === undefined ? [404, {}] : [200, object];
		},
		async create({kind, body}) {
			const name = body.Metadata.Name;
			const existing = objects.get(`${kind}/${name}`);
			return existing === undefined ? [200, put(kind, name, body.Spec)] : [409, existing];
		},
		async replace({kind, name, key, body, query}) {
			const existing = objects.get(key);
			if (existing === undefined) {
				return [404, {}];
			}

			const expected = body.Metadata?.Revision ?? query.get('Revision');
			const isExpected = expected === undefined || expected === null || Number(expected) === existing.Metadata.Revision;
			return isExpected ? [200, put(kind, name, body.Spec)] : [409, existing];
		},
		async remove({kind, name}) {
			remove(kind, name);
			return [200, {}];
		},
	};

	const pickHandler = (method, name, query) => {
		if (method === 'GET') {
			return name === undefined ? (query.has('Watch') ? handlers.watch : handlers.list) : handlers.read;
		}

		return {POST: handlers.create, PUT: handlers.replace, DELETE: handlers.remove}[method];
	};

	const answer = async (request, response) => {
		const text = await readBody(request);
		const body = text === '' ? undefined : JSON.parse(text);
		if (request.url === '/usage') {
			reports.push({holder: request.headers['x-lease-holder'], fence: request.headers['x-fence-token'], body});
			response.writeHead(200, {'content-type': 'application/json'}).end('{}');
			return;
		}

		const {kind, name, query = ''} = OBJECTS_PATH.exec(request.url)?.groups ?? {};
		const parameters = new URLSearchParams(query);
		const reply = await pickHandler(request.method, name, parameters)({
			kind, name, key: `${kind}/${decodeURIComponent(name ?? '')}`, query: parameters, body,
		});
		if (reply === undefined) {
			// A watch that is waiting may be cut off.
			response.destroy();
			return;
		}

		const [status, value] = reply;
		response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(value));
	};

	const server = createServer((request, response) => {
		answer(request, response).catch(() => {
			response.destroy();
		});
	});
	const address = await listen(server);
	return {
		address, put, remove, reports,
		/** Cuts off all waiting watches now, and further ones after a time. */
		startCutting(afterMs) {
			control.cutAfterMs = afterMs;
			for (const cut of cuts) {
				cut();
			}
		},
		stopCutting() {
			control.cutAfterMs = undefined;
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
