import {type ServerResponse} from 'node:http';
import {type TargetRole, TOKENS_PER_KV_BLOCK} from '@damaskspool/shared';
import {
	sendJson, serveJson, type StandIn, type StandInRequest,
} from '../serveJson.js';
import {type Batch, createBatch} from './createBatch.js';
import {createEngineOrders, type EngineOrder} from './createEngineOrders.js';
import {createLaggedLog} from './createLaggedLog.js';
import {type EngineOptions, resolveEngineSettings} from './engineOptions.js';
import {createSequence} from './engineSequence.js';

/** Counts of an engine since its start; the token counts and `cancelled` restart after a crash. */
export type EngineStats = {
	readonly prefilledTokens: number;
	/** Prompt tokens found in the prefix cache. */
	readonly cachedTokens: number;
	readonly generatedTokens: number;
	/** Requests that contained an API key. */
	readonly keysSeen: number;
	/** Running and waiting sequences. */
	readonly running: number;
	readonly cancelled: number;
};

/** A running engine stand-in. */
export type Engine = StandIn & {
	readonly readStats: () => EngineStats;
	readonly readRole: () => TargetRole;
	/** Changes the role; resolves once the engine runs again. */
	readonly changeRole: (role: TargetRole) => Promise<void>;
	/** Orders received from any sender, refused ones included. */
	readonly orders: readonly EngineOrder[];
	/** Counts the accepted orders that arrived while another was being carried out. */
	readonly countOrderOverlaps: () => number;
	/** Destroys every open response and refuses requests for `downMs`; the engine comes back with its initial role and models, an empty batch and an empty prefix cache. */
	readonly crash: (downMs: number) => void;
};

type EngineHandler = (request: StandInRequest, response: ServerResponse) => void | Promise<void>;

/**
 * Starts a stand-in of a model engine: continuous batching in which prefill
 * and decode share each step, a prefix cache in bounded memory, roles, and
 * delayed load reports. See docs/design/0007-engine-model.md.
 */
export async function createEngine(options: EngineOptions): Promise<Engine> {
	const settings = resolveEngineSettings(options);
	const cacheEvents = createLaggedLog({lagMs: settings.cacheEventLagMs, gapEvery: settings.cacheEventGapEvery});
	let batch = createBatch(settings, cacheEvents.append);
	let models = [...settings.models];
	let keysSeen = 0;
	let isDown = false;
	const openResponses = new Set<ServerResponse>();
	const orders = createEngineOrders({
		checksFencing: settings.checksFencing,
		changeRole: async role => batch.changeRole(role),
		async loadModel(modelId) {
			await new Promise(resolve => {
				setTimeout(resolve, settings.loadMs).unref();
			});
			models = [...new Set([...models, modelId])];
		},
	});

	const handlers: Readonly<Record<string, EngineHandler>> = {
		'POST /v1/chat/completions'(request, response) {
			const sequence = createSequence(request, response);
			response.on('close', () => {
				if (!response.writableFinished) {
					batch.cancel(sequence);
				}
			});
			batch.add(sequence);
		},
		'GET /report'(request, response) {
			const report = createReport(batch, models);
			const events = cacheEvents.list(Number(request.query.get('after') ?? 0));
			setTimeout(() => {
				sendJson(response, 200, {...report, cacheEvents: events});
			}, settings.reportLagMs);
		},
		'POST /orders': orders.handle,
		async 'POST /role'(request, response) {
			await batch.changeRole((JSON.parse(request.body) as {role: TargetRole}).role);
			sendJson(response, 200, {role: batch.readRole()});
		},
		async 'POST /kv/export'(request, response) {
			const {hashes} = JSON.parse(request.body) as {hashes: string[]};
			const cachedHashes = hashes.slice(0, batch.cache.countComputedBlocks(hashes));
			await waitForTransfer(cachedHashes.length, settings.transferTokensPerMs);
			sendJson(response, 200, {hashes: cachedHashes});
		},
		async 'POST /kv/import'(request, response) {
			const {hashes} = JSON.parse(request.body) as {hashes: string[]};
			await waitForTransfer(hashes.length, settings.transferTokensPerMs);
			const isAcquired = batch.cache.acquire(hashes, 0);
			if (isAcquired) {
				batch.cache.setComputed(hashes);
				batch.cache.release(hashes, 0);
			}

			sendJson(response, isAcquired ? 200 : 507, {});
		},
	};

	const server = await serveJson(async (request, response) => {
		if (isDown) {
			response.destroy();
			return;
		}

		openResponses.add(response);
		response.on('close', () => {
			openResponses.delete(response);
		});
		if (request.rawContent.includes(settings.keyMarker)) {
			keysSeen += 1;
		}

		const handle = handlers[`${request.method} ${request.path}`];
		if (handle === undefined) {
			sendJson(response, 404, {});
			return;
		}

		await handle(request, response);
	}, options.port);
	return {
		address: server.address,
		readRole: () => batch.readRole(),
		changeRole: async role => batch.changeRole(role),
		orders: orders.log,
		countOrderOverlaps: orders.countOverlaps,
		readStats: () => ({...batch.counts, keysSeen, running: batch.countRunning() + batch.countWaiting()}),
		crash(downMs) {
			isDown = true;
			for (const response of openResponses) {
				response.destroy();
			}

			batch.close();
			batch = createBatch(settings, cacheEvents.append);
			models = [...settings.models];
			setTimeout(() => {
				isDown = false;
			}, downMs).unref();
		},
		async close() {
			batch.close();
			await server.close();
		},
	};
}

function createReport(batch: Batch, models: readonly string[]) {
	return {
		role: batch.readRole(),
		models,
		isReady: !batch.isChangingRole(),
		freePieces: batch.cache.countFreeBlocks(),
		cachedPieces: batch.cache.countCachedBlocks(),
		cachedTokensTotal: batch.counts.cachedTokens,
	};
}

async function waitForTransfer(blocks: number, transferTokensPerMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, blocks * TOKENS_PER_KV_BLOCK / transferTokensPerMs);
	});
}
