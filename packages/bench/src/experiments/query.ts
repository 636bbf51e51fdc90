/** Experiment `query`: measures operator queries on an entry with thousands of targets and customers, and the seal of a usage window of all customers. */
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

const TARGET_COUNT = 3000;
const CUSTOMER_COUNT = 6700;
/** One ledger per entry of a region: 860 entries in four regions. */
const LEDGER_COUNT = 215;
const REPEAT_COUNT = 15;
/** Time within which every query must be answered. */
const MAX_QUERY_MS = 1000;
/** Maximum size of an object in the object API. */
const MAX_OBJECT_BYTES = 1_000_000;
const REGION = 'r';
const WINDOW_MS = 900_000;
const ANY_PORT = '127.0.0.1:0';

const QUERIES: Readonly<Record<string, QueryStatement>> = {
	// The baseline: a query whose result has few rows.
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
 * @returns exit code: 0 if queries stay below {@link MAX_QUERY_MS} and objects below {@link MAX_OBJECT_BYTES}
 */
export async function runQueryExperiment(): Promise<number> {
	const queries = await measureQueries();
	const seal = measureSeal();
	for (const [name, {medianMs, rows}] of Object.entries(queries)) {
		console.log(`${name}: ${rows} rows in ${medianMs.toFixed(1)} ms (median of ${REPEAT_COUNT})`);
	}

	console.log(`seal of ${CUSTOMER_COUNT} customers from ${LEDGER_COUNT} ledgers: ${JSON.stringify(seal)}`);
	const isFast = Object.values(queries).every(({worstMs}) => worstMs < MAX_QUERY_MS);
	const isSmall = seal.largestObjectBytes < MAX_OBJECT_BYTES;
	console.log(JSON.stringify({
		experiment: 'query', targets: TARGET_COUNT, customers: CUSTOMER_COUNT, ledgers: LEDGER_COUNT, repeats: REPEAT_COUNT, queries, seal, isFast, isSmall,
	}));
	return isFast && isSmall ? 0 : 1;
}

async function measureQueries() {
	const platform = await createPlatform();
	// Stands in for all sidecars and answers every call with an error. The targets are listed but never report.
	const sidecars = await serveJson((_request, response) => {
		sendJson(response, 200, {jsonrpc: '2.0', id: 1, error: {code: 0, message: 'no report'}});
	});
	const key = createDemoKey('operator');
	writeFirstConfiguration(platform, {
		services: [],
		customers: Array.from({length: CUSTOMER_COUNT}, (_, index) => ({
			customerId: index === 0 ? 'operator' : `customer-${index}`,
			keyHashes: [hashText(index === 0 ? key : `key-${index}`)],
			weight: 1,
			operator: index === 0,
		})),
	});
	for (let index = 0; index < TARGET_COUNT; index += 1) {
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
	const sendQuery = createQuerySender(rpc, entry.addresses.control!, key);
	try {
		await waitFor(async () => {
			const replies = [await sendQuery(QUERIES.customers!), await sendQuery(QUERIES.targets!)];
			return replies[0]?.rows.length === CUSTOMER_COUNT && replies[1]?.rows.length === TARGET_COUNT;
		});
		const measurements: Record<string, {medianMs: number; worstMs: number; rows: number}> = {};
		for (const [name, query] of Object.entries(QUERIES)) {
			measurements[name] = await measureQuery(sendQuery, query);
		}

		return measurements;
	} finally {
		entry.signal('SIGKILL');
		await rpc.close();
		await sidecars.close();
		await platform.close();
	}
}

/** Resolves to undefined if the query fails. */
type SendQuery = (query: QueryStatement) => Promise<QueryReply | undefined>;

function createQuerySender(rpc: RpcClient, address: string, key: string): SendQuery {
	return async query => {
		const reply = await rpc.call(address, 'operator.query', {query}, `Bearer ${key}`);
		return reply.ok ? reply.val as QueryReply : undefined;
	};
}

async function measureQuery(sendQuery: SendQuery, query: QueryStatement) {
	const timesMs: number[] = [];
	let rows = 0;
	for (let repeat = 0; repeat < REPEAT_COUNT; repeat += 1) {
		const startedAtMs = performance.now();
		const reply = await sendQuery(query);
		timesMs.push(performance.now() - startedAtMs);
		rows = reply?.rows.length ?? 0;
	}

	return {medianMs: median(timesMs), worstMs: Math.max(...timesMs), rows};
}

/** Seals the most expensive window, in which every entry of the region has usage of every customer. */
function measureSeal() {
	const objects = new Map<string, {version: number; value: unknown}>();
	const attempts = Array.from({length: CUSTOMER_COUNT}, (_, index) => ({
		...createUsageCounts({
			requests: 7, promptTokens: 123_456, cachedTokens: 45_678, generatedTokens: 23_456, targetMs: 345_678,
		}),
		ledgerId: '',
		sequence: index + 1,
		customerId: `customer-${index}`,
		serviceId: 'assistant',
		servedIn: WINDOW_MS,
	}));
	const ledger = toStoredLedger(settleAttempts(createUsageLedger('e'), attempts));
	for (let index = 0; index < LEDGER_COUNT; index += 1) {
		objects.set(toLedgerKey(REGION, `e-${index}`), {version: 1, value: {...ledger, ledgerId: `e-${index}`}});
		objects.set(`${toLedgerNamePrefix(REGION)}e-${index}`, {version: 1, value: {}});
	}

	const counts: Record<UsageCall['kind'], number> = {
		read: 0, list: 0, write: 0, remove: 0, settle: 0, report: 0,
	};
	let largestObjectBytes = 0;
	const handleCall = (call: UsageCall): UsageReply => {
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
	const startedAtMs = performance.now();
	const cpuBefore = process.cpuUsage();
	let maxStepMs = 0;
	let pending: SendUsageCall[] = advanceSealer(sealer, WINDOW_MS * 2, context);
	for (let [next] = pending; next !== undefined; [next] = pending) {
		const reply = handleCall(next.call);
		const stepStartedAtMs = performance.now();
		pending = applySealerReply(sealer, next.callId, reply, context);
		maxStepMs = Math.max(maxStepMs, performance.now() - stepStartedAtMs);
	}

	return {
		calls: counts, largestObjectBytes, longestStepMs: Math.round(maxStepMs), wallMs: Math.round(performance.now() - startedAtMs), cpuMs: Math.round(process.cpuUsage(cpuBefore).user / 1000),
	};
}
