import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type LeaseRecord, toEraRevision, toStoreVersion} from '@damaskspool/shared';
import {findHeldDuty} from '../../lease/leaseState.js';
import {type SealedUsage, type ServingEffect, type ServingEvent} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {CONTROL_DUTY, createServingState, type ServingState} from '../servingState.js';

const LEASE_MS = 3000;
const WINDOW_MS = 5000;
const STEP_MS = 50;

type StoredObject<Value> = {readonly revision: number; readonly value: Value | undefined};
type StoredObjects = {revision: number; lease: StoredObject<LeaseRecord>; sealed: StoredObject<SealedUsage>};

/** A store that can come back from a copy and gives out revisions again, and the platform that accepts reports without a check of their fencing token. */
type SimulatedStore = StoredObjects & {
	era: number;
	copy: StoredObjects;
	isDown: boolean;
	isReplyLost: boolean;
	/** Writes that take effect later if their condition still holds. */
	readonly lateWrites: Array<() => void>;
	readonly reports: Array<{readonly atMs: number; readonly entryId: string; readonly fence: number; readonly windowId: number; readonly figures: string}>;
};

/** An entry with the latest era that its client of the store has seen. */
type SimulatedEntry = {state: ServingState; knownEra: number; isPaused: boolean; suspendedMs: number; readonly name: string};

function createStore(): SimulatedStore {
	const createObjects = (): StoredObjects => ({revision: 10, lease: {revision: 0, value: undefined}, sealed: {revision: 0, value: undefined}});
	return {
		...createObjects(), era: 1, copy: createObjects(), isDown: false, isReplyLost: false, lateWrites: [], reports: [],
	};
}

function createEntry(name: string): SimulatedEntry {
	const state = createServingState({
		instanceId: name, processId: `${name}.1`, availabilityZone: 'a', region: 'r', usageWindowMs: WINDOW_MS, leaseMs: LEASE_MS, retryRatio: 0.2, retryAllowance: 10, budgetWindowMs: 10_000,
	});
	return {
		state, knownEra: 0, isPaused: false, suspendedMs: 0, name,
	};
}

/** Copies the objects without the parts that survive a restore. */
function copyObjects({revision, lease, sealed}: StoredObjects): StoredObjects {
	return {revision, lease, sealed};
}

/** Runs entries against one store. The monotonic clock of an entry leaves out the time for which it was suspended. */
function createSimulation() {
	const store = createStore();
	const entries = ['a', 'b', 'c'].map(name => createEntry(name));
	let nowMs = 0;

	const readClock = ({suspendedMs}: SimulatedEntry) => nowMs - suspendedMs;

	/** Compares revisions only, as the platform does. */
	const write = <Name extends 'lease' | 'sealed'>(name: Name, value: StoredObjects[Name]['value'], expectedVersion: number) => {
		if (store[name].revision !== toEraRevision(expectedVersion).revision) {
			return false;
		}

		store.revision += 1;
		Object.assign(store, {[name]: {revision: store.revision, value}});
		return true;
	};

	const toVersion = ({revision}: StoredObject<unknown>) => revision === 0 ? 0 : toStoreVersion({era: store.era, revision})!;

	const dispatch = (entry: SimulatedEntry, event: ServingEvent) => {
		const pending = [...reduceServing(entry.state, {...event, nowMs: readClock(entry)})];
		for (let effect = pending.shift(); effect !== undefined; effect = pending.shift()) {
			const reply = runEffect(entry, effect);
			if (reply !== undefined) {
				pending.push(...reduceServing(entry.state, {...reply, nowMs: readClock(entry)}));
			}
		}
	};

	const learnEra = (entry: SimulatedEntry) => {
		if (store.era > entry.knownEra) {
			entry.knownEra = store.era;
			dispatch(entry, {
				type: 'store.eraChanged', era: store.era, wallMs: nowMs, nowMs: 0,
			});
		}
	};

	/** Writes as the client of the store does: the reply of a write that reached a later era than its version proves nothing. */
	const callWrite = (entry: SimulatedEntry, expectedVersion: number, apply: () => boolean): 'written' | 'conflict' | 'unknown' => {
		if (store.isDown) {
			store.lateWrites.push(() => {
				apply();
			});
			return 'unknown';
		}

		const isOlder = expectedVersion > 0 && toEraRevision(expectedVersion).era !== store.era;
		const isWritten = apply();
		if (store.isReplyLost) {
			return 'unknown';
		}

		learnEra(entry);
		return isOlder ? 'unknown' : (isWritten ? 'written' : 'conflict');
	};

	type Reply = ServingEvent | undefined;
	type RunEffect<Type extends ServingEffect['type']> = (entry: SimulatedEntry, effect: Extract<ServingEffect, {type: Type}>) => Reply;

	const runEffectByType: {readonly [Type in 'lease.read' | 'lease.write' | 'usage.read' | 'usage.report' | 'usage.seal']: RunEffect<Type>} = {
		'lease.read'(entry, effect) {
			if (store.isDown) {
				return {
					...effect, type: 'lease.readEnded', result: {kind: 'failed'}, nowMs: 0,
				};
			}

			learnEra(entry);
			return {
				...effect, type: 'lease.readEnded', result: {kind: 'read', version: toVersion(store.lease), record: store.lease.value}, nowMs: 0,
			};
		},
		'lease.write'(entry, {dutyName, callId, record, expectedVersion}) {
			const kind = callWrite(entry, expectedVersion, () => write('lease', record, expectedVersion));
			return {
				type: 'lease.writeEnded', dutyName, callId, result: kind === 'written' ? {kind, version: toVersion(store.lease)} : {kind}, nowMs: 0,
			};
		},
		'usage.read'(entry) {
			if (store.isDown) {
				return {type: 'usage.sealEnded', result: {kind: 'failed'}, nowMs: 0};
			}

			learnEra(entry);
			return {type: 'usage.sealEnded', result: {kind: 'read', version: toVersion(store.sealed), sealed: store.sealed.value ?? {}}, nowMs: 0};
		},
		'usage.seal'(entry, {sealed, expectedVersion}) {
			const kind = callWrite(entry, expectedVersion, () => write('sealed', sealed, expectedVersion));
			return {type: 'usage.sealEnded', result: kind === 'written' ? {kind, version: toVersion(store.sealed), sealed} : {kind: 'failed'}, nowMs: 0};
		},
		'usage.report'({name}, {fence, windowId, counts}) {
			const figures = JSON.stringify(Object.entries(counts).map(([customerId, count]) => `${customerId}=${count}`).toSorted((left, right) => left < right ? -1 : 1));
			store.reports.push({
				atMs: nowMs, entryId: name, fence, windowId, figures,
			});
			return {
				type: 'usage.reportEnded', windowId, status: 200, nowMs: 0,
			};
		},
	};

	const runEffect = (entry: SimulatedEntry, effect: ServingEffect): Reply =>
		(runEffectByType as Readonly<Record<string, RunEffect<ServingEffect['type']> | undefined>>)[effect.type]?.(entry, effect);

	const listHolders = () => entries.filter(entry => !entry.isPaused && findHeldDuty(entry.state.lease, CONTROL_DUTY, readClock(entry)) !== undefined);

	const checkHolders = () => {
		const holders = listHolders();
		assert.ok(holders.length <= 1, `held by ${holders.map(({name}) => name).join(' and ')} at ${nowMs}`);
	};

	const advanceTime = (durationMs: number) => {
		for (const endMs = nowMs + durationMs; nowMs < endMs;) {
			nowMs += STEP_MS;
			for (const entry of entries) {
				if (entry.isPaused) {
					entry.suspendedMs += STEP_MS;
					continue;
				}

				if (nowMs % 250 === 0) {
					dispatch(entry, {type: 'tick', wallMs: nowMs, nowMs: 0});
				}
			}

			checkHolders();
		}
	};

	/** Delivers what an entry has sealed to its peers. */
	const exchangeReports = () => {
		for (const sender of entries.filter(({isPaused}) => !isPaused)) {
			const sealed = sender.state.usage.takeSealedForPeers();
			for (const receiver of entries.filter(entry => entry !== sender && !entry.isPaused)) {
				receiver.state.usage.recordSealed(Object.fromEntries(sealed));
			}
		}
	};

	const steps: Readonly<Record<string, (entry: SimulatedEntry) => void>> = {
		count(entry) {
			entry.state.usage.record('customer', nowMs);
		},
		copy() {
			store.copy = copyObjects(store);
		},
		restore() {
			Object.assign(store, copyObjects(store.copy));
			store.era += 1;
			store.isDown = false;
		},
		storeDown() {
			store.isDown = true;
		},
		storeUp() {
			store.isDown = false;
			store.isReplyLost = false;
		},
		replyLost() {
			store.isReplyLost = true;
		},
		landLate() {
			store.lateWrites.shift()?.();
		},
		suspend(entry) {
			entry.isPaused = true;
		},
		wake(entry) {
			if (entry.isPaused) {
				entry.isPaused = false;
				dispatch(entry, {type: 'process.suspended', suspendedMs: entry.suspendedMs, nowMs: 0});
			}
		},
		restart(entry) {
			Object.assign(entry, {...createEntry(entry.name), suspendedMs: entry.suspendedMs});
			Object.assign(entry.state.lease, {processId: `${entry.name}.${nowMs}`});
		},
		exchange: exchangeReports,
	};

	return {
		store, entries, steps, advanceTime, listHolders,
		runStep(kind: string, index: number) {
			steps[kind]?.(entries[index]!);
		},
	};
}

/** Checks the reports that the platform received, in order. */
function checkReports(reports: SimulatedStore['reports']): void {
	const figuresByWindow = new Map<number, string>();
	const holderByFence = new Map<number, string>();
	let highestFence = 0;
	for (const {entryId, fence, windowId, figures} of reports) {
		assert.ok(fence >= highestFence, `fence ${fence} after ${highestFence}`);
		highestFence = fence;
		assert.equal(holderByFence.get(fence) ?? entryId, entryId, `two holders of fence ${fence}`);
		holderByFence.set(fence, entryId);
		assert.equal(figuresByWindow.get(windowId) ?? figures, figures, `two figures of window ${windowId}`);
		figuresByWindow.set(windowId, figures);
	}

	for (const [index, first] of reports.entries()) {
		const rest = reports.slice(index + 1).filter(({atMs}) => atMs - first.atMs < LEASE_MS);
		const otherIndex = rest.findIndex(({entryId}) => entryId !== first.entryId);
		assert.ok(otherIndex === -1 || !rest.slice(otherIndex).some(({entryId}) => entryId === first.entryId), 'holders took turns within a term');
	}
}

describe('duties on a store that comes back from a copy', () => {
	// Guards against a lease, a fencing token or a sealed window that the store has acknowledged and then forgotten.
	it('have one holder at a time, rising fencing tokens and one figure for each window', () => {
		const step = fc.record({
			kind: fc.constantFrom('count', 'count', 'copy', 'restore', 'storeDown', 'storeUp', 'storeUp', 'replyLost', 'landLate', 'suspend', 'wake', 'wake', 'restart', 'exchange', 'exchange'),
			index: fc.integer({min: 0, max: 2}),
			waitMs: fc.integer({min: 1, max: 40}).map(units => units * STEP_MS),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 120}), script => {
			const simulation = createSimulation();
			simulation.advanceTime(6000);
			for (const {kind, index, waitMs} of script) {
				simulation.runStep(kind, index);
				simulation.advanceTime(waitMs);
			}

			checkReports(simulation.store.reports);
		}), {seed: 20_261_204, numRuns: 250});
	});

	it('are held again within two terms, and forgotten windows are sealed again with the same figures', () => {
		const {
			store, steps, entries, advanceTime, listHolders,
		} = createSimulation();
		advanceTime(5500);
		steps.count!(entries[0]!);
		steps.copy!(entries[0]!);
		advanceTime(8000);
		const [firstReport] = store.reports;
		assert.ok(firstReport !== undefined);
		steps.exchange!(entries[0]!);
		// A peer counted another request for the window, which its holder did not know when it sealed it.
		entries[1]!.state.usage.record('customer', 5600);
		entries[2]!.state.usage.record('customer', 5600);
		const isHolder = ({name}: SimulatedEntry) => name === firstReport.entryId;
		steps.suspend!(entries.find(entry => isHolder(entry))!);
		steps.restore!(entries[0]!);
		advanceTime(2 * (LEASE_MS + 400));
		const [successor] = listHolders();
		assert.ok(successor !== undefined && !isHolder(successor));
		advanceTime(2000);
		const repeated = store.reports.filter(({entryId, windowId}) => entryId === successor.name && windowId === firstReport.windowId);
		assert.deepEqual(repeated.map(({figures}) => figures), [firstReport.figures]);
		assert.ok(repeated[0]!.fence > firstReport.fence);
		checkReports(store.reports);
	});

	it('use no fencing token again when the store and all processes have forgotten it', () => {
		const {store, steps, entries, advanceTime} = createSimulation();
		advanceTime(5500);
		for (const entry of entries) {
			steps.count!(entry);
		}

		advanceTime(7000);
		const fenceBefore = store.reports.at(-1)?.fence;
		assert.ok(fenceBefore !== undefined);
		for (const entry of entries) {
			steps.restart!(entry);
		}

		// The copy is older than the lease.
		steps.restore!(entries[0]!);
		advanceTime(1000);
		for (const entry of entries) {
			steps.count!(entry);
		}

		advanceTime(15_000);
		assert.ok(store.reports.at(-1)!.fence > fenceBefore);
		checkReports(store.reports);
	});

	// Guards against a bid of an earlier era that lands in the next one because its revision was given out again.
	it('are not held by a write that was sent in an earlier era', () => {
		const {state} = createEntry('a');
		const findWrite = (effects: readonly ServingEffect[]) => effects.find(effect => effect.type === 'lease.write');
		const readLease = (record: LeaseRecord | undefined, nowMs: number) => {
			const read = reduceServing(state, {type: 'tick', wallMs: nowMs, nowMs}).find(effect => effect.type === 'lease.read');
			return read === undefined
				? []
				: reduceServing(state, {
					...read, type: 'lease.readEnded', result: {kind: 'read', version: record === undefined ? 0 : 7, record}, nowMs,
				});
		};

		const write = findWrite(readLease(undefined, 0));
		assert.ok(write !== undefined);
		reduceServing(state, {
			...write, type: 'lease.writeEnded', result: {kind: 'unknown'}, nowMs: 100,
		});
		reduceServing(state, {
			type: 'store.eraChanged', era: 2, wallMs: 200, nowMs: 200,
		});
		readLease(write.record, 300);
		assert.equal(findHeldDuty(state.lease, CONTROL_DUTY, 300), undefined);
		assert.equal(findWrite(readLease(write.record, 1400)), undefined);
	});

	it('report no window of which different figures were seen', () => {
		const {store, entries, advanceTime} = createSimulation();
		for (const {state} of entries) {
			state.usage.recordSealed({1: {customer: 99}});
		}

		store.sealed = {revision: 5, value: {1: {customer: 1}, 2: {customer: 1}}};
		advanceTime(20_000);
		assert.deepEqual([...new Set(store.reports.map(({windowId}) => windowId))], [2]);
	});

	it('report no window that an earlier era may have reported with figures that nobody knows', () => {
		const {store, steps, entries, advanceTime} = createSimulation();
		advanceTime(5500);
		steps.count!(entries[0]!);
		steps.copy!(entries[0]!);
		advanceTime(8000);
		const reportedBefore = store.reports.length;
		const [{entryId: holderName, windowId} = {entryId: '', windowId: 0}] = store.reports;
		// The holder is gone with what it had sealed, before it told a peer.
		steps.restart!(entries.find(({name}) => name === holderName)!);
		for (const {state} of entries.filter(({name}) => name !== holderName)) {
			state.usage.record('customer', 5600);
		}

		steps.restore!(entries[0]!);
		advanceTime(12_000);
		assert.ok(reportedBefore > 0);
		assert.equal(store.reports.slice(reportedBefore).some(report => report.windowId === windowId), false);
	});
});
