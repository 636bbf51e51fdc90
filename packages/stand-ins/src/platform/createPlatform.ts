import {type ServerResponse} from 'node:http';
import {type InstanceRecord, type UsageRow} from '@damaskspool/shared';
import {
	sendJson, serveJson, type StandIn, type StandInRequest,
} from '../serveJson.js';
import {createObjectStore, type ObjectStore} from './createObjectStore.js';

/** Fault of the platform: none, no response, a delayed response, or a call that takes effect while its response is lost. */
export type PlatformFault
	= | {readonly kind: 'none'}
		| {readonly kind: 'down'}
		| {readonly kind: 'slow'; readonly delayMs: number}
		| {readonly kind: 'replyLost'};

/** A call to the API that starts and stops targets. */
export type TargetOrder = {
	readonly action: 'start' | 'stop';
	readonly availabilityZone: string;
	readonly idempotencyKey: string;
	readonly targetId: string;
	/** Sender, as stated in the call. */
	readonly orderedBy: string;
};

/** A usage report that the platform accepted. */
export type UsageReport = {
	/** Identifies the part of a window that the report covers. */
	readonly reportId: string;
	readonly rows: readonly UsageRow[];
	readonly reportedBy: string;
	readonly epoch: number;
	/** Time of receipt by the clock of the platform. */
	readonly receivedAtMs: number;
};

/** Options of {@link createPlatform}. */
export type PlatformOptions = {
	readonly port?: number;
	/** Delay before a change shows in the instance list. */
	readonly listLagMs?: number;
	/** Maximum number of loads from the weight store that may start per second. */
	readonly weightLoadsPerSecond?: number;
	/** Starts or stops an actual target and returns the identifier of a target that is being started. Without it, orders are only recorded. */
	readonly onTargetOrder?: (order: TargetOrder) => string;
};

/** A running platform stand-in. */
export type Platform = StandIn & {
	readonly store: ObjectStore;
	readonly setFault: (fault: PlatformFault) => void;
	/** Sets a fault of the usage intake alone, which takes precedence there unless its kind is `none`. */
	readonly setUsageFault: (fault: PlatformFault) => void;
	/** Adds an instance to the list, or updates it, after the list lag. */
	readonly setInstance: (instance: InstanceRecord) => void;
	/** Removes an instance from the list after the list lag. */
	readonly removeInstance: (instanceId: string) => void;
	/** Orders received, each idempotency key once. */
	readonly orders: readonly TargetOrder[];
	readonly usageReports: readonly UsageReport[];
	/** Number of calls by kind: read, list, write, remove, watch, instances, targets, usage, weights. */
	readonly calls: ReadonlyMap<string, number>;
};

/**
 * Starts a stand-in of the platform: object API, instance list, start and stop
 * of targets by availability zone, usage intake and weight store.
 */
export async function createPlatform(options: PlatformOptions = {}): Promise<Platform> {
	const {port, listLagMs = 0, weightLoadsPerSecond = 2, onTargetOrder} = options;
	const store = createObjectStore();
	const instances = new Map<string, InstanceRecord>();
	const calls = new Map<string, number>();
	const orders: TargetOrder[] = [];
	const usageReports: UsageReport[] = [];
	const targetIdsByIdempotencyKey = new Map<string, string>();
	let fault: PlatformFault = {kind: 'none'};
	let usageFault: PlatformFault = {kind: 'none'};
	let nextLoadAtMs = 0;

	const applyAfterLag = (change: () => void) => {
		if (listLagMs === 0) {
			change();
		} else {
			setTimeout(change, listLagMs).unref();
		}
	};

	const sendVersion = (response: ServerResponse, version: number | undefined) => {
		sendJson(response, version === undefined ? 412 : 200, {version: version ?? 0});
	};

	type Route = {
		readonly kind: string;
		readonly matches: (request: StandInRequest) => boolean;
		readonly handle: (request: StandInRequest, response: ServerResponse) => void | Promise<void>;
	};
	const parseKey = (request: StandInRequest) => decodeURIComponent(request.path.slice('/objects/'.length));
	const isObjectRequest = (request: StandInRequest, method: string) => request.method === method && request.path.startsWith('/objects/');
	const routes: readonly Route[] = [
		{
			kind: 'read',
			matches: request => isObjectRequest(request, 'GET'),
			handle(request, response) {
				const object = store.read(parseKey(request));
				sendJson(response, object === undefined ? 404 : 200, object ?? {});
			},
		},
		{
			kind: 'write',
			matches: request => isObjectRequest(request, 'PUT'),
			handle(request, response) {
				sendVersion(response, store.write(parseKey(request), JSON.parse(request.body), Number(request.headers['if-match'])));
			},
		},
		{
			kind: 'remove',
			matches: request => isObjectRequest(request, 'DELETE'),
			handle(request, response) {
				sendVersion(response, store.remove(parseKey(request), Number(request.headers['if-match'])));
			},
		},
		{
			kind: 'list',
			matches: request => request.method === 'GET' && request.path === '/objects',
			handle(request, response) {
				sendJson(response, 200, {objects: store.list(request.query.get('prefix') ?? '')});
			},
		},
		{
			kind: 'watch',
			matches: request => request.path === '/watch',
			async handle({query}, response) {
				sendJson(response, 200, await store.watch(query.get('prefix') ?? '', Number(query.get('after')), Number(query.get('waitMs'))));
			},
		},
		{
			kind: 'instances',
			matches: request => request.path === '/instances',
			handle(_request, response) {
				sendJson(response, 200, {instances: [...instances.values()]});
			},
		},
		{
			kind: 'targets',
			matches: request => request.method === 'POST' && request.path === '/targets',
			handle(request, response) {
				const order = JSON.parse(request.body) as TargetOrder;
				let targetId = targetIdsByIdempotencyKey.get(order.idempotencyKey);
				if (targetId === undefined) {
					orders.push(order);
					targetId = onTargetOrder?.(order) ?? order.targetId;
					targetIdsByIdempotencyKey.set(order.idempotencyKey, targetId);
				}

				sendJson(response, 200, {targetId});
			},
		},
		{
			kind: 'usage',
			matches: request => request.method === 'POST' && request.path === '/usage',
			handle(request, response) {
				usageReports.push({...JSON.parse(request.body) as Omit<UsageReport, 'receivedAtMs'>, receivedAtMs: performance.now()});
				sendJson(response, 200, {});
			},
		},
		{
			kind: 'weights',
			matches: request => request.method === 'POST' && request.path === '/weights',
			handle(_request, response) {
				const nowMs = performance.now();
				const isAllowed = nowMs >= nextLoadAtMs;
				if (isAllowed) {
					nextLoadAtMs = nowMs + (1000 / weightLoadsPerSecond);
				}

				sendJson(response, isAllowed ? 200 : 429, {retryAfterMs: Math.max(0, nextLoadAtMs - nowMs)});
			},
		},
	];

	const server = await serveJson(async (request, response) => {
		const route = routes.find(candidate => candidate.matches(request));
		if (route === undefined) {
			sendJson(response, 404, {});
			return;
		}

		calls.set(route.kind, (calls.get(route.kind) ?? 0) + 1);
		const activeFault = route.kind === 'usage' && usageFault.kind !== 'none' ? usageFault : fault;
		if (activeFault.kind === 'down') {
			response.destroy();
			return;
		}

		if (activeFault.kind === 'slow') {
			const {delayMs} = activeFault;
			await new Promise(resolve => {
				setTimeout(resolve, delayMs);
			});
		}

		if (activeFault.kind === 'replyLost') {
			response.end = function () {
				response.destroy();
				return response;
			};
		}

		await route.handle(request, response);
	}, port);
	return {
		...server,
		store,
		orders,
		usageReports,
		calls,
		setFault(next) {
			fault = next;
		},
		setUsageFault(next) {
			usageFault = next;
		},
		setInstance(instance) {
			applyAfterLag(() => {
				instances.set(instance.instanceId, instance);
			});
		},
		removeInstance(instanceId) {
			applyAfterLag(() => {
				instances.delete(instanceId);
			});
		},
	};
}
