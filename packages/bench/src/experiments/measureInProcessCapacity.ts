/** Measures the drivers that need thousands of peers, on the reducer of an entry in this process. */
import process from 'node:process';
import {
	createConfigurationCopy, createEntryState, createUpdate, type EntryState, planChange, reduceEntry,
} from '@damaskspool/core';
import {
	type ConfigurationDocument, type ConfigurationHead, hashText, type InstanceRecord, type LoadReport,
} from '@damaskspool/shared';
import {fitLine, type FittedLine} from '../measure/fitLine.js';

const TARGET_STEPS = [100, 300, 1000, 3000];
const ENTRY_STEPS = [100, 300, 600, 860];
const CUSTOMER_STEPS = [500, 1500, 3000, 6700];
const KEYS_PER_CUSTOMER_STEPS = [1, 2, 4, 8];
const MODEL_STEPS = [1, 4, 8, 12];
const FAILED_PEER_STEPS = [0, 1, 2, 4];
const ZONE_COUNT = 12;
const KEYS_PER_CUSTOMER = 2;
const REPEAT_COUNT = 30;
const MICROSECONDS_PER_MS = 1000;
const TICK_MS = 100;
const OBSERVATION_MS = 60_000;

/**
 * Varies each driver separately and measures heap, CPU time, message sizes and query rates.
 *
 * @returns one line per driver and quantity
 * @throws {Error} if Node.js runs without `--expose-gc`
 */
export function measureInProcessCapacity(): FittedLine[] {
	return [
		...measureTargets(), ...measureEntries(), ...measureCustomers(), ...measureKeys(), ...measureModels(), ...measureFailedPeers(),
	];
}

function measureTargets(): FittedLine[] {
	const createInstances = (count: number) => Array.from({length: count}, (_, index) => createInstance(index, 'target'));
	const heapPoints = TARGET_STEPS.map(count => [count, measureHeap(() => {
		const state = createState();
		const instances = createInstances(count);
		reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances});
		for (const {instanceId} of instances) {
			reduceEntry(state, {type: 'load.reported', nowMs: 1, load: createLoadReport(instanceId)});
		}

		return state;
	})] as const);
	const cpuPoints = TARGET_STEPS.map(count => {
		const state = createState();
		const instances = createInstances(count);
		return [count, measureMicroseconds(() => reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances}))] as const;
	});
	const bytesPoints = TARGET_STEPS.map(count => [count, JSON.stringify({instances: createInstances(count)}).length] as const);
	return [
		fitLine({
			driver: 'targets', quantity: 'entryHeap', unit: 'bytes', points: heapPoints,
		}),
		fitLine({
			driver: 'targets', quantity: 'listCpu', unit: 'µs per list', points: cpuPoints,
		}),
		fitLine({
			driver: 'targets', quantity: 'listBytes', unit: 'bytes per list', points: bytesPoints,
		}),
	];
}

function measureEntries(): FittedLine[] {
	const createInstances = (count: number) => Array.from({length: count}, (_, index) => createInstance(index, 'entry'));
	const heapPoints = ENTRY_STEPS.map(count => [count, measureHeap(() => {
		const state = createState();
		reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances: createInstances(count)});
		return state;
	})] as const);
	const cpuPoints = ENTRY_STEPS.map(count => {
		const state = createState();
		const instances = createInstances(count);
		return [count, measureMicroseconds(() => reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances}))] as const;
	});
	const queryPoints = ENTRY_STEPS.map(count => [count, simulateQueryRate(count, 0)] as const);
	return [
		fitLine({
			driver: 'entries', quantity: 'entryHeap', unit: 'bytes', points: heapPoints,
		}),
		fitLine({
			driver: 'entries', quantity: 'listCpu', unit: 'µs per list', points: cpuPoints,
		}),
		fitLine({
			driver: 'entries', quantity: 'questions', unit: 'questions/s of one entry', points: queryPoints,
		}),
	];
}

function measureCustomers(): FittedLine[] {
	const rows = CUSTOMER_STEPS.map(count => {
		const state = createState();
		const initial = createInitialConfiguration(createDocument(count, KEYS_PER_CUSTOMER));
		reduceEntry(state, {
			type: 'configuration.updated', nowMs: 0, source: 'peer', update: createUpdate(initial.copy, 0)!,
		});
		const heapBytes = measureHeap(() => {
			const emptyState = createState();
			const update = structuredClone(createUpdate(initial.copy, 0)!);
			reduceEntry(emptyState, {
				type: 'configuration.updated', nowMs: 0, source: 'peer', update,
			});
			return emptyState;
		});
		let {head} = initial;
		let changeBytes = 0;
		let planMs = 0;
		let applyMs = 0;
		for (let index = 0; index < REPEAT_COUNT; index += 1) {
			const startedAtMs = performance.now();
			const planned = planChange({
				head, copy: state.configuration.copy,
				baseRevision: head.revision, documentId: `d${index}`,
				proposal: {changeId: `change-${index}`, edits: [{type: 'issueKey', customerId: `customer-${index}`, keyHash: hashText(`new ${index}`)}]},
			});
			if (planned.err || planned.val.kind !== 'write') {
				throw new Error('issuing a key did not yield a configuration write');
			}

			const plannedAtMs = performance.now();
			head = planned.val.head;
			changeBytes = JSON.stringify(planned.val.update).length;
			const applyStartedAtMs = performance.now();
			reduceEntry(state, {
				type: 'configuration.updated', nowMs: 0, source: 'peer', update: planned.val.update,
			});
			planMs += plannedAtMs - startedAtMs;
			applyMs += performance.now() - applyStartedAtMs;
		}

		return {
			count, heapBytes, changeBytes, headBytes: JSON.stringify(head).length, fullBytes: JSON.stringify(createUpdate(state.configuration.copy, 0)).length,
			planUs: planMs / REPEAT_COUNT * MICROSECONDS_PER_MS, applyUs: applyMs / REPEAT_COUNT * MICROSECONDS_PER_MS,
		};
	});
	const fit = (quantity: string, unit: string, getValue: (row: typeof rows[number]) => number) => fitLine({
		driver: 'customers', quantity, unit, points: rows.map(row => [row.count, getValue(row)] as const),
	});
	return [
		fit('entryHeap', 'bytes', row => row.heapBytes),
		fit('applyCpu', 'µs per change', row => row.applyUs),
		fit('proposeCpu', 'µs per change', row => row.planUs),
		fit('changeBytes', 'bytes per change passed', row => row.changeBytes),
		fit('headBytes', 'bytes per head', row => row.headBytes),
		fit('wholeBytes', 'bytes of the whole', row => row.fullBytes),
	];
}

function measureKeys(): FittedLine[] {
	const points = KEYS_PER_CUSTOMER_STEPS.map(keysPerCustomer => [keysPerCustomer * 1000, measureHeap(() => {
		const state = createState();
		reduceEntry(state, {type: 'configuration.read', nowMs: 0, configuration: {revision: 1, document: createDocument(1000, keysPerCustomer)}});
		return state;
	})] as const);
	return [fitLine({
		driver: 'keys', quantity: 'entryHeap', unit: 'bytes', points,
	})];
}

function measureModels(): FittedLine[] {
	const points = MODEL_STEPS.map(modelCount => {
		const state = createState();
		const document = {...createDocument(10, 1), services: Array.from({length: modelCount}, (_, index) => createService(index))};
		reduceEntry(state, {type: 'configuration.read', nowMs: 0, configuration: {revision: 1, document}});
		let sequence = 0;
		return [modelCount, measureMicroseconds(() => {
			sequence += 1;
			reduceEntry(state, {
				type: 'request.received', nowMs: 1, attributes: {
					requestId: `r${sequence}`, method: 'POST', path: '/v1/chat/completions', keyHash: hashText('customer-0/0'),
					modelId: `model-${modelCount - 1}`, bodyBytes: 10, promptTokens: 10, maxTokens: 10,
					isStream: true, priority: 'interactive', bodyDigest: 'd', idempotencyKey: undefined,
				},
			});
		}, 300)] as const;
	});
	return [fitLine({
		driver: 'models', quantity: 'admitCpu', unit: 'µs per request without a target', points,
	})];
}

/** Measures how many configuration queries one entry sends while some of its peers do not respond. */
function measureFailedPeers(): FittedLine[] {
	const points = FAILED_PEER_STEPS.map(failedPeerCount => [failedPeerCount, simulateQueryRate(860, failedPeerCount)] as const);
	return [fitLine({
		driver: 'failures', quantity: 'questions', unit: 'questions/s of one entry', points,
	})];
}

/**
 * Simulates one entry for {@link OBSERVATION_MS}. The first `failedPeerCount` peers that it queries never respond.
 *
 * @returns configuration queries per second
 */
function simulateQueryRate(entryCount: number, failedPeerCount: number): number {
	const state = createState('entry-7');
	reduceEntry(state, {type: 'configuration.read', nowMs: 0, configuration: {revision: 1, document: createDocument(1, 1)}});
	reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances: Array.from({length: entryCount}, (_, index) => createInstance(index, 'entry'))});
	const unresponsivePeerIds = new Set<string>();
	let queryCount = 0;
	for (let nowMs = TICK_MS; nowMs <= OBSERVATION_MS; nowMs += TICK_MS) {
		for (const effect of reduceEntry(state, {type: 'tick', nowMs})) {
			if (effect.type === 'configuration.watchStore') {
				reduceEntry(state, {
					type: 'configuration.storeConfirmed', nowMs, revision: 1, elapsedMs: 0,
				});
			}

			if (effect.type === 'configuration.queryPeer') {
				queryCount += 1;
				if (unresponsivePeerIds.size < failedPeerCount) {
					unresponsivePeerIds.add(effect.peerId);
				}

				reduceEntry(state, unresponsivePeerIds.has(effect.peerId)
					? {
						type: 'configuration.peerUnreachable', nowMs, peerId: effect.peerId, isAbsent: false,
					}
					: {
						type: 'configuration.peerAnswered', nowMs, peerId: effect.peerId, elapsedMs: 1, answer: {instanceId: effect.peerId, revision: 1, confirmedAgeMs: 0},
					});
			}
		}
	}

	return queryCount / OBSERVATION_MS * 1000;
}

function createState(instanceId = 'own'): EntryState {
	return createEntryState({
		instanceId, availabilityZone: 'zone-0', processId: instanceId, region: 'region-0',
	});
}

function createInstance(index: number, kind: InstanceRecord['kind']): InstanceRecord {
	return {
		instanceId: `${kind}-${index}`, kind,
		availabilityZone: `zone-${index % ZONE_COUNT}`, region: `region-${index % 4}`,
		address: `10.0.${index % 256}.${index % 200}:9000`, state: 'live',
		serviceId: kind === 'target' ? 'assistant' : '', incarnation: 1,
	};
}

function createLoadReport(targetId: string): LoadReport {
	return {
		targetId,
		role: 'mixed',
		state: 'serving',
		models: ['m'],
		running: 1,
		waiting: 0,
		queuedPrefillTokens: 10,
		freePieces: 10,
		totalPieces: 64,
		prefillTokensTotal: 1,
		generatedTokensTotal: 1,
		ageMs: 1,
	};
}

function createService(index: number): ConfigurationDocument['services'][number] {
	return {
		serviceId: `service-${index}`, kind: 'model', models: [`model-${index}`], firstTokenGoalMs: 720, betweenTokensGoalMs: 41, routes: [{
			method: 'POST', path: '/v1/chat/completions', access: 'keyed', repeatable: true, deadlineMs: 60_000, bodyLimitBytes: 65_536,
		}],
	};
}

function createDocument(customerCount: number, keysPerCustomer: number): ConfigurationDocument {
	return {
		services: [createService(0)],
		customers: Array.from({length: customerCount}, (_, index) => ({
			customerId: `customer-${index}`,
			keyHashes: Array.from({length: keysPerCustomer}, (_key, keyIndex) => hashText(`customer-${index}/${keyIndex}`)),
			weight: 1, operator: false,
			requestsPerSecond: 10, tokensPerSecond: 10_000,
		})),
	};
}

/** Plans the first configuration change and returns its head with a copy that holds all parts. */
function createInitialConfiguration(document: ConfigurationDocument): {head: ConfigurationHead; copy: EntryState['configuration']['copy']} {
	const copy = createConfigurationCopy();
	const planned = planChange({
		head: undefined, copy, baseRevision: 0, documentId: 'd', proposal: {changeId: 'first-change', edits: [{type: 'setDocument', document}]},
	});
	if (planned.err || planned.val.kind !== 'write') {
		throw new Error('the first configuration change did not yield a write');
	}

	copy.revision = 1;
	copy.parts = new Map(planned.val.update.parts.map(part => [part.name, part]));
	return {head: planned.val.head, copy};
}

/**
 * Returns the heap bytes that the built value retains after garbage collection. Calls `build` once as a
 * warm-up before the measurement.
 *
 * @throws {Error} if Node.js runs without `--expose-gc`
 */
function measureHeap(build: () => unknown): number {
	const {gc} = globalThis;
	if (gc === undefined) {
		throw new Error('heap measurements need node --expose-gc');
	}

	build();
	gc();
	const before = process.memoryUsage().heapUsed;
	const retained = build();
	gc();
	const bytes = process.memoryUsage().heapUsed - before;
	return retained === undefined ? 0 : bytes;
}

/** Returns the mean time of a call in microseconds. As many calls run before the measurement to warm up the code. */
function measureMicroseconds(run: () => unknown, repeats = REPEAT_COUNT): number {
	for (let index = 0; index < repeats; index += 1) {
		run();
	}

	const startedAtMs = performance.now();
	for (let index = 0; index < repeats; index += 1) {
		run();
	}

	return (performance.now() - startedAtMs) / repeats * MICROSECONDS_PER_MS;
}
