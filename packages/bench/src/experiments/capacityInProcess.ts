/** The drivers that need thousands of peers: the real reducer of an entry, driven in this process. */
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
const KEY_STEPS = [1, 2, 4, 8];
const MODEL_STEPS = [1, 4, 8, 12];
const FAILURE_STEPS = [0, 1, 2, 4];
const ZONES = 12;
const KEYS_PER_CUSTOMER = 2;
const REPEATS = 30;
const MICROSECONDS_PER_MS = 1000;
const TICK_MS = 100;
const OBSERVED_MS = 60_000;

/**
 * Steps each driver on its own.
 *
 * @returns a line for each driver and quantity
 */
export function measureInProcess(): FittedLine[] {
	return [
		...measureTargets(), ...measureEntries(), ...measureCustomers(), ...measureKeys(), ...measureModels(), ...measureFailures(),
	];
}

function measureTargets(): FittedLine[] {
	const list = (count: number) => Array.from({length: count}, (_, index) => createRow(index, 'target'));
	const heap = TARGET_STEPS.map(count => [count, measureHeap(() => {
		const state = createState();
		const instances = list(count);
		reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances});
		for (const {instanceId} of instances) {
			reduceEntry(state, {type: 'load.reported', nowMs: 1, load: createLoad(instanceId)});
		}

		return state;
	})] as const);
	const listing = TARGET_STEPS.map(count => {
		const state = createState();
		const instances = list(count);
		return [count, measureMicroseconds(() => reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances}))] as const;
	});
	const bytes = TARGET_STEPS.map(count => [count, JSON.stringify({instances: list(count)}).length] as const);
	return [
		fitLine({
			driver: 'targets', quantity: 'entryHeap', unit: 'bytes', points: heap,
		}),
		fitLine({
			driver: 'targets', quantity: 'listCpu', unit: 'µs per list', points: listing,
		}),
		fitLine({
			driver: 'targets', quantity: 'listBytes', unit: 'bytes per list', points: bytes,
		}),
	];
}

function measureEntries(): FittedLine[] {
	const list = (count: number) => Array.from({length: count}, (_, index) => createRow(index, 'entry'));
	const heap = ENTRY_STEPS.map(count => [count, measureHeap(() => {
		const state = createState();
		reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances: list(count)});
		return state;
	})] as const);
	const listing = ENTRY_STEPS.map(count => {
		const state = createState();
		const instances = list(count);
		return [count, measureMicroseconds(() => reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances}))] as const;
	});
	const questions = ENTRY_STEPS.map(count => [count, countQuestions(count, 0)] as const);
	return [
		fitLine({
			driver: 'entries', quantity: 'entryHeap', unit: 'bytes', points: heap,
		}),
		fitLine({
			driver: 'entries', quantity: 'listCpu', unit: 'µs per list', points: listing,
		}),
		fitLine({
			driver: 'entries', quantity: 'questions', unit: 'questions/s of one entry', points: questions,
		}),
	];
}

function measureCustomers(): FittedLine[] {
	const rows = CUSTOMER_STEPS.map(count => {
		const state = createState();
		const stored = storeDocument(createDocument(count, KEYS_PER_CUSTOMER));
		reduceEntry(state, {
			type: 'configuration.updated', nowMs: 0, source: 'peer', update: createUpdate(stored.copy, 0)!,
		});
		const heap = measureHeap(() => {
			const fresh = createState();
			const update = structuredClone(createUpdate(stored.copy, 0)!);
			reduceEntry(fresh, {
				type: 'configuration.updated', nowMs: 0, source: 'peer', update,
			});
			return fresh;
		});
		let {head} = stored;
		let changeBytes = 0;
		let planMs = 0;
		let applyMs = 0;
		for (let index = 0; index < REPEATS; index += 1) {
			const startedAtMs = performance.now();
			const planned = planChange({
				head, copy: state.configuration.copy,
				baseRevision: head.revision, documentId: `d${index}`,
				proposal: {changeId: `change-${index}`, edits: [{type: 'issueKey', customerId: `customer-${index}`, keyHash: hashText(`new ${index}`)}]},
			});
			if (planned.err || planned.val.kind !== 'write') {
				throw new Error('the change was not planned');
			}

			const plannedAtMs = performance.now();
			head = planned.val.head;
			changeBytes = JSON.stringify(planned.val.update).length;
			const beforeMs = performance.now();
			reduceEntry(state, {
				type: 'configuration.updated', nowMs: 0, source: 'peer', update: planned.val.update,
			});
			planMs += plannedAtMs - startedAtMs;
			applyMs += performance.now() - beforeMs;
		}

		return {
			count, heap, changeBytes, headBytes: JSON.stringify(head).length, wholeBytes: JSON.stringify(createUpdate(state.configuration.copy, 0)).length,
			planUs: planMs / REPEATS * MICROSECONDS_PER_MS, applyUs: applyMs / REPEATS * MICROSECONDS_PER_MS,
		};
	});
	const fit = (quantity: string, unit: string, read: (row: typeof rows[number]) => number) => fitLine({
		driver: 'customers', quantity, unit, points: rows.map(row => [row.count, read(row)] as const),
	});
	return [
		fit('entryHeap', 'bytes', row => row.heap),
		fit('applyCpu', 'µs per change', row => row.applyUs),
		fit('proposeCpu', 'µs per change', row => row.planUs),
		fit('changeBytes', 'bytes per change passed', row => row.changeBytes),
		fit('headBytes', 'bytes per head', row => row.headBytes),
		fit('wholeBytes', 'bytes of the whole', row => row.wholeBytes),
	];
}

function measureKeys(): FittedLine[] {
	const points = KEY_STEPS.map(keys => [keys * 1000, measureHeap(() => {
		const state = createState();
		reduceEntry(state, {type: 'configuration.read', nowMs: 0, configuration: {revision: 1, document: createDocument(1000, keys)}});
		return state;
	})] as const);
	return [fitLine({
		driver: 'keys', quantity: 'entryHeap', unit: 'bytes', points,
	})];
}

function measureModels(): FittedLine[] {
	const points = MODEL_STEPS.map(models => {
		const state = createState();
		const document = {...createDocument(10, 1), services: Array.from({length: models}, (_, index) => createService(index))};
		reduceEntry(state, {type: 'configuration.read', nowMs: 0, configuration: {revision: 1, document}});
		let sequence = 0;
		return [models, measureMicroseconds(() => {
			sequence += 1;
			reduceEntry(state, {
				type: 'request.received', nowMs: 1, facts: {
					requestId: `r${sequence}`, method: 'POST', path: '/v1/chat/completions', keyHash: hashText('customer-0/0'),
					modelId: `model-${models - 1}`, bodyBytes: 10, promptTokens: 10, maxTokens: 10,
					isStream: true, priority: 'interactive', bodyDigest: 'd', idempotencyKey: undefined,
				},
			});
		}, 300)] as const;
	});
	return [fitLine({
		driver: 'models', quantity: 'admitCpu', unit: 'µs per request without a target', points,
	})];
}

/** Questions of one entry while some of the peers that it may ask do not answer. */
function measureFailures(): FittedLine[] {
	const points = FAILURE_STEPS.map(failed => [failed, countQuestions(860, failed)] as const);
	return [fitLine({
		driver: 'failures', quantity: 'questions', unit: 'questions/s of one entry', points,
	})];
}

function countQuestions(entries: number, failed: number): number {
	const state = createState('entry-7');
	reduceEntry(state, {type: 'configuration.read', nowMs: 0, configuration: {revision: 1, document: createDocument(1, 1)}});
	reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances: Array.from({length: entries}, (_, index) => createRow(index, 'entry'))});
	const silent = new Set<string>();
	let asked = 0;
	for (let nowMs = TICK_MS; nowMs <= OBSERVED_MS; nowMs += TICK_MS) {
		for (const effect of reduceEntry(state, {type: 'tick', nowMs})) {
			if (effect.type === 'configuration.watchStore') {
				reduceEntry(state, {
					type: 'configuration.storeConfirmed', nowMs, revision: 1, elapsedMs: 0,
				});
			}

			if (effect.type === 'configuration.askPeer') {
				asked += 1;
				if (silent.size < failed) {
					silent.add(effect.peerId);
				}

				reduceEntry(state, silent.has(effect.peerId)
					? {
						type: 'configuration.peerSilent', nowMs, peerId: effect.peerId, isAbsent: false,
					}
					: {
						type: 'configuration.peerAnswered', nowMs, peerId: effect.peerId, elapsedMs: 1, answer: {instanceId: effect.peerId, revision: 1, confirmedAgeMs: 0},
					});
			}
		}
	}

	return asked / OBSERVED_MS * 1000;
}

function createState(instanceId = 'own'): EntryState {
	return createEntryState({
		instanceId, availabilityZone: 'zone-0', processId: instanceId, region: 'region-0',
	});
}

function createRow(index: number, kind: InstanceRecord['kind']): InstanceRecord {
	return {
		instanceId: `${kind}-${index}`, kind,
		availabilityZone: `zone-${index % ZONES}`, region: `region-${index % 4}`,
		address: `10.0.${index % 256}.${index % 200}:9000`, state: 'live',
		serviceId: kind === 'target' ? 'assistant' : '', incarnation: 1,
	};
}

function createLoad(targetId: string): LoadReport {
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

function createDocument(customers: number, keys: number): ConfigurationDocument {
	return {
		services: [createService(0)],
		customers: Array.from({length: customers}, (_, index) => ({
			customerId: `customer-${index}`,
			keyHashes: Array.from({length: keys}, (_key, key) => hashText(`customer-${index}/${key}`)),
			weight: 1, operator: false,
			requestsPerSecond: 10, tokensPerSecond: 10_000,
		})),
	};
}

function storeDocument(document: ConfigurationDocument): {head: ConfigurationHead; copy: EntryState['configuration']['copy']} {
	const copy = createConfigurationCopy();
	const planned = planChange({
		head: undefined, copy, baseRevision: 0, documentId: 'd', proposal: {changeId: 'first-change', edits: [{type: 'setDocument', document}]},
	});
	if (planned.err || planned.val.kind !== 'write') {
		throw new Error('the first configuration is not valid');
	}

	copy.revision = 1;
	copy.parts = new Map(planned.val.update.parts.map(part => [part.name, part]));
	return {head: planned.val.head, copy};
}

/** Heap that a state holds once garbage is gone; needs `--expose-gc`. */
function measureHeap(build: () => unknown): number {
	const {gc} = globalThis;
	if (gc === undefined) {
		throw new Error('run with --expose-gc');
	}

	build();
	gc();
	const before = process.memoryUsage().heapUsed;
	const held = build();
	gc();
	const bytes = process.memoryUsage().heapUsed - before;
	return held === undefined ? 0 : bytes;
}

function measureMicroseconds(run: () => unknown, repeats = REPEATS): number {
	for (let index = 0; index < repeats; index += 1) {
		run();
	}

	const startedAtMs = performance.now();
	for (let index = 0; index < repeats; index += 1) {
		run();
	}

	return (performance.now() - startedAtMs) / repeats * MICROSECONDS_PER_MS;
}
