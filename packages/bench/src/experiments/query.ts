/** Experiment `query`: answers over the design's state, and the sealing of a window of all its customers. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	advanceSealer, applySealerReply, type SendUsageCall, createUsageCounts, createUsageLedger, createUsageSealerState, settleAttempts,
	toStoredLedger, type UsageCall, type UsageReply,
} from '@damaskspool/core';
import {createRpcClient, type RpcClient} from '@damaskspool/runtime';
import {
	hashText, type QueryReply, type QueryStatement, toLedgerKey, toLedgerNamePrefix,
} from '@damaskspool/shared';
import {createPlatform, sendJson, serveJson} from '@damaskspool/stand-ins';
import {median} from 'simple-statistics';
import {startDaemonProcess} from '../harness/startDaemonProcess.js';
import {createDemoKey, waitFor} from '../harness/startDeployment.js';
import {writeFirstConfiguration} from '../harness/writeFirstConfiguration.js';

const TARGETS = 3000;
const CUSTOMERS = 6700;
/** Entries of one of the design's four regions. */
const LEDGERS = 215;
const REPEATS = 15;
/** Answers must come within this, as stated. */
const QUERY_LIMIT_MS = 1000;
/** The object API's limit of one object. */
const OBJECT_LIMIT_BYTES = 1_000_000;
const REGION = 'r';
const WINDOW_MS = 900_000;
const ANY_PORT = '127.0.0.1:0';

const QUERIES: Readonly<Record<string, QueryStatement>> = {
	// The baseline: a call that answers with a few rows.
	duties: {source: 'duties', groupBy: [], orderBy: []},
	targets: {source: 'targets', groupBy: [], orderBy: []},
	targetsGrouped: {
		source: 'targets',
		where: {
			type: 'compare', column: 'service', comparison: '=', value: 's-1',
		},
		groupBy: ['availabilityZone'],
		orderBy: [{column: 'count', isDescending: true}],
	},
	customers: {source: 'customers', groupBy: [], orderBy: [{column: 'customer', isDescending: true}]},
	keys: {
		source: 'keys', groupBy: [], orderBy: [], limit: 10,
	},
};

/**
 * Runs the experiment.
 *
 * @returns zero where the stated limits hold
 */
export async function runQueryExperiment(): Promise<number> {
	const queries = await measureQueries();
	const seal = measureSeal();
	for (const [name, {medianMs, rows}] of Object.entries(queries)) {
		console.log(`${name}: ${rows} rows in ${medianMs.toFixed(1)} ms (median of ${REPEATS})`);
	}

	console.log(`seal of ${CUSTOMERS} customers from ${LEDGERS} ledgers: ${JSON.stringify(seal)}`);
	const isFast = Object.values(queries).every(({worstMs}) => worstMs < QUERY_LIMIT_MS);
	const isSmall = seal.largestObjectBytes < OBJECT_LIMIT_BYTES;
	console.log(JSON.stringify({
		experiment: 'query', targets: TARGETS, customers: CUSTOMERS, ledgers: LEDGERS, repeats: REPEATS, queries, seal, isFast, isSmall,
	}));
	return isFast && isSmall ? 0 : 1;
}

async function measureQueries() {
	const platform = await createPlatform();
	// Answers every call of a sidecar with an error: the targets are there, but report nothing.
	const sidecars = await serveJson((_request, response) => {
		sendJson(response, 200, {jsonrpc: '2.0', id: 1, error: {code: 0, message: 'no report'}});
	});
	const key = createDemoKey('operator');
	writeFirstConfiguration(platform, {
		services: [],
		customers: Array.from({length: CUSTOMERS}, (_, index) => ({
			customerId: index === 0 ? 'operator' : `customer-${index}`,
			keyHashes: [hashText(index === 0 ? key : `key-${index}`)],
			weight: 1,
			operator: index === 0,
		})),
	});
	for (let index = 0; index < TARGETS; index += 1) {
		platform.setInstance({
			instanceId: `target-${index}`,
			kind: 'target',
			availabilityZone: `z-${index % 12}`,
			region: REGION,
			address: sidecars.address,
			state: 'live',
			serviceId: `s-${index % 12}`,
			incarnation: 1,
		});
	}

	const entry = await startDaemonProcess({
		role: 'entry', instanceId: 'e', region: REGION, availabilityZone: 'z-0', listen: ANY_PORT, control: ANY_PORT, platform: platform.address,
	});
	const rpc = createRpcClient({timeoutMs: 30_000});
	const ask = createAsk(rpc, entry.addresses.control!, key);
	try {
		await waitFor(async () => {
			const replies = [await ask(QUERIES.customers!), await ask(QUERIES.targets!)];
			return replies[0]?.rows.length === CUSTOMERS && replies[1]?.rows.length === TARGETS;
		});
		const measured: Record<string, {medianMs: number; worstMs: number; rows: number}> = {};
		for (const [name, query] of Object.entries(QUERIES)) {
			measured[name] = await measureQuery(ask, query);
		}

		return measured;
	} finally {
		entry.signal('SIGKILL');
		await rpc.close();
		await sidecars.close();
		await platform.close();
	}
}

type Ask = (query: QueryStatement) => Promise<QueryReply | undefined>;

function createAsk(rpc: RpcClient, address: string, key: string): Ask {
	return async query => {
		const reply = await rpc.call(address, 'operator.query', {query}, `Bearer ${key}`);
		return reply.ok ? reply.val as QueryReply : undefined;
	};
}

async function measureQuery(ask: Ask, query: QueryStatement) {
	const times: number[] = [];
	let rows = 0;
	for (let repeat = 0; repeat < REPEATS; repeat += 1) {
		const startedAt = performance.now();
		const reply = await ask(query);
		times.push(performance.now() - startedAt);
		rows = reply?.rows.length ?? 0;
	}

	return {medianMs: median(times), worstMs: Math.max(...times), rows};
}

/** Seals the worst window: each entry of a region served each customer. */
function measureSeal() {
	const objects = new Map<string, {version: number; value: unknown}>();
	const attempts = Array.from({length: CUSTOMERS}, (_, index) => ({
		...createUsageCounts({
			requests: 7, promptTokens: 123_456, cachedTokens: 45_678, generatedTokens: 23_456, targetMs: 345_678,
		}),
		ledgerId: '',
		sequence: index + 1,
		customerId: `customer-${index}`,
		serviceId: 'assistant',
		servedIn: WINDOW_MS,
	}));
	const value = toStoredLedger(settleAttempts(createUsageLedger('e'), attempts));
	for (let index = 0; index < LEDGERS; index += 1) {
		objects.set(toLedgerKey(REGION, `e-${index}`), {version: 1, value: {...value, ledgerId: `e-${index}`}});
		objects.set(`${toLedgerNamePrefix(REGION)}e-${index}`, {version: 1, value: {}});
	}

	const counts: Record<UsageCall['kind'], number> = {
		read: 0, list: 0, write: 0, remove: 0, settle: 0, report: 0,
	};
	let largestObjectBytes = 0;
	const carryOut = (call: UsageCall): UsageReply => {
		counts[call.kind] += 1;
		if (call.kind === 'read') {
			const object = objects.get(call.key);
			return object === undefined ? {status: 'absent'} : {status: 'ok', ...object};
		}

		if (call.kind === 'list') {
			return {status: 'ok', objects: [...objects].filter(([key]) => key.startsWith(call.prefix)).map(([key, object]) => ({key, ...object}))};
		}

		if (call.kind === 'write') {
			largestObjectBytes = Math.max(largestObjectBytes, JSON.stringify(call.value).length);
			objects.set(call.key, {version: call.version + 1, value: call.value});
			return {status: 'ok', version: call.version + 1};
		}

		return {status: 'ok'};
	};

	const sealer = createUsageSealerState({
		region: REGION, instanceId: 'e', runId: 'e~1', windowMs: WINDOW_MS, graceMs: 0,
	});
	const context = {nowMs: 0, authority: {epoch: 1, remainingMs: 4000}};
	const startedAt = performance.now();
	const cpuBefore = process.cpuUsage();
	let longestStepMs = 0;
	let pending: SendUsageCall[] = advanceSealer(sealer, WINDOW_MS * 2, context);
	for (let [next] = pending; next !== undefined; [next] = pending) {
		const reply = carryOut(next.call);
		const stepAt = performance.now();
		pending = applySealerReply(sealer, next.callId, reply, context);
		longestStepMs = Math.max(longestStepMs, performance.now() - stepAt);
	}

	return {
		calls: counts, largestObjectBytes, longestStepMs: Math.round(longestStepMs), wallMs: Math.round(performance.now() - startedAt), cpuMs: Math.round(process.cpuUsage(cpuBefore).user / 1000),
	};
}
