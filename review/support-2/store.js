/** Stand-in of the platform's store and of its interface for usage reports, as the protocol page describes them. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const PAGE_SIZE = 500;
/** Time after which a watch that waits may be cut off. */
const CUT_AFTER_MS = 1000;
const PATH = /^\/damaskspool\/objects\/(?<kind>[^\/?]+)(?:\/(?<name>[^?]+))?(?:\?(?<query>.*))?$/v;

/** Starts the stand-in on a free port of 127.0.0.1. */
export async function startStore({record = () => undefined} = {}) {
	const objects = new Map();
	let changes = [];
	const watchers = new Set();
	const reports = [];
	let revision = 100;
	let oldestRevision = 0;
	let copy;
	const store = {
		reports,
		/** Era in all answers; 0 states none. */
		era: 0,
		/** Drops every connection as long as it is set. */
		isAway: false,
		/** Decides for each watch that begins to wait whether it is cut off after `CUT_AFTER_MS` if nothing has changed. */
		isWatchCut: () => false,
		get: (kind, name) => objects.get(`${kind}/${name}`),
	};

	const change = (kind, name, spec, isRemoved = false) => {
		revision += 1;
		const object = {Metadata: {Name: name, Revision: revision}, Spec: spec};
		if (isRemoved) {
			objects.delete(`${kind}/${name}`);
		} else {
			objects.set(`${kind}/${name}`, object);
		}

		changes.push({kind, revision, event: {Object: object, Deleted: isRemoved}});
		for (const watcher of watchers) {
			if (watcher.kind === kind) {
				watcher.wake();
			}
		}

		return object;
	};

	const list = (kind, after) => {
		const matching = [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
			.toSorted((left, right) => left.Metadata.Name < right.Metadata.Name ? -1 : 1)
			.filter(({Metadata}) => Metadata.Name > after);
		return {items: matching.slice(0, PAGE_SIZE), MorePages: matching.length > PAGE_SIZE, AsOf: revision};
	};

	const watch = async (kind, since, waitMs) => {
		const find = () => changes.filter(entry => entry.kind === kind && entry.revision > since).map(({event}) => event);
		const isCut = find().length === 0 && waitMs > CUT_AFTER_MS && store.isWatchCut(kind);
		if (find().length === 0) {
			await new Promise(resolve => {
				const watcher = {
					kind,
					wake() {
						clearTimeout(watcher.timer);
						watchers.delete(watcher);
						resolve();
					},
				};
				watcher.timer = setTimeout(watcher.wake, isCut ? CUT_AFTER_MS : waitMs);
				watchers.add(watcher);
			});
		}

		return isCut && find().length === 0 ? undefined : {events: find(), AsOf: revision};
	};

	const write = async (method, kind, body) => {
		const {Metadata: {Name: name, Revision: expected}, Spec: spec} = body;
		const existing = objects.get(`${kind}/${name}`);
		if (method === 'POST' && existing !== undefined) {
			return [409, existing];
		}

		if (method === 'PUT' && existing === undefined) {
			return [404, {}];
		}

		if (method === 'PUT' && expected !== undefined && expected !== existing.Metadata.Revision) {
			return [409, existing];
		}

		return [200, change(kind, name, spec)];
	};

	const handle = async (request, body) => {
		if (request.url === '/usage') {
			const report = {
				holder: request.headers['x-lease-holder'], fence: Number(request.headers['x-fence-token']), windowId: body.WindowId, counts: body.Counts,
			};
			const isStale = reports.some(({fence}) => fence > report.fence);
			record('usage', {...report, status: isStale ? 409 : 200});
			if (!isStale) {
				reports.push(report);
			}

			return [isStale ? 409 : 200, {}];
		}

		const {kind, name, query = ''} = PATH.exec(request.url)?.groups ?? {};
		const parameters = new URLSearchParams(query);
		if (request.method === 'POST' || request.method === 'PUT') {
			return write(request.method, kind, body);
		}

		if (name !== undefined) {
			const object = objects.get(`${kind}/${decodeURIComponent(name)}`);
			return [object === undefined ? 404 : 200, object ?? {}];
		}

		if (!parameters.has('Watch')) {
			return [200, list(kind, parameters.get('after') ?? '')];
		}

		const since = Number(parameters.get('Watch'));
		return since < oldestRevision || since > revision ? [410, {}] : [200, await watch(kind, since, Number(parameters.get('WaitMs') ?? 0))];
	};

	const server = createServer(async (request, response) => {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const [status, answer] = await handle(request, chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString('utf8')));
		// A watch that is cut off has no answer.
		if (store.isAway || answer === undefined) {
			response.destroy();
			return;
		}

		response.writeHead(status, {'content-type': 'application/json', ...(store.era > 0 && {'store-era': String(store.era)})}).end(JSON.stringify(answer));
	});
	const sockets = new Set();
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('close', () => sockets.delete(socket));
		socket.on('error', () => socket.destroy());
		if (store.isAway) {
			socket.resetAndDestroy();
		}
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});

	return Object.assign(store, {
		address: `127.0.0.1:${server.address().port}`,
		put: (kind, name, spec) => change(kind, name, spec),
		remove(kind, name) {
			if (objects.has(`${kind}/${name}`)) {
				change(kind, name, undefined, true);
			}
		},
		takeCopy() {
			copy = {objects: new Map(objects), revision};
		},
		goAway() {
			store.isAway = true;
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
		/** Comes back from the copy. */
		comeBack() {
			objects.clear();
			for (const [key, object] of copy.objects) {
				objects.set(key, object);
			}

			changes = [];
			revision = copy.revision;
			oldestRevision = revision;
			store.era += 1;
			store.isAway = false;
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	});
}
