import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type LeaseRecord} from '@damaskspool/shared';
import {reduceServing} from '../../serving/servingReducer.js';
import {
	type SealedUsage, type ServingEffect, type ServingEvent, type UsageCountsByCustomer,
} from '../../serving/servingMessages.js';
import {createServingState, type ServingState} from '../../serving/servingState.js';

/** The parts of the store that usage needs, with the platform's intake. */
type World = {
	lease: {version: number; record: LeaseRecord | undefined};
	sealed: {version: number; windows: SealedUsage};
	readonly reports: Map<number, string>;
	readonly conflicts: number[];
	highestFence: number;
};

function createWorld(): World {
	return {
		lease: {version: 0, record: undefined}, sealed: {version: 0, windows: {}}, reports: new Map(), conflicts: [], highestFence: 0,
	};
}

function createHolder(name: string): ServingState {
	return createServingState({
		instanceId: name, processId: name, availabilityZone: 'zoneA', region: 'r', usageWindowMs: 5000, leaseMs: 3000, repeatShare: 0.2, repeatAllowance: 10, budgetWindowMs: 10_000,
	});
}

type Reply = ServingEvent | undefined;
type CarryOut<Type extends ServingEffect['type']> = (world: World, effect: Extract<ServingEffect, {type: Type}>, isReplyLost: boolean) => Reply;

/** Carries effects out by their type; the reply of a write is unknown where it is lost. */
const carryOutByType: {readonly [Type in 'lease.read' | 'lease.write' | 'usage.read' | 'usage.report' | 'usage.seal']: CarryOut<Type>} = {
	'lease.read': (world, {dutyName, callId}) => ({
		type: 'lease.readEnded', dutyName, callId, result: {kind: 'read', ...world.lease}, nowMs: 0,
	}),
	'lease.write'(world, {dutyName, callId, record, expectedVersion}, isReplyLost) {
		const isTaken = expectedVersion === world.lease.version;
		if (isTaken) {
			world.lease = {version: world.lease.version + 1, record};
		}

		const reply = {
			type: 'lease.writeEnded', dutyName, callId, nowMs: 0,
		} as const;
		if (isReplyLost) {
			return {...reply, result: {kind: 'unknown'}};
		}

		return {...reply, result: isTaken ? {kind: 'written', version: world.lease.version} : {kind: 'conflict'}};
	},
	'usage.read': world => ({type: 'usage.sealEnded', result: {kind: 'read', version: world.sealed.version, sealed: world.sealed.windows}, nowMs: 0}),
	'usage.seal'(world, {sealed, expectedVersion}, isReplyLost) {
		const isTaken = expectedVersion === world.sealed.version;
		if (isTaken) {
			world.sealed = {version: world.sealed.version + 1, windows: sealed};
		}

		return {type: 'usage.sealEnded', result: isTaken && !isReplyLost ? {kind: 'written', version: world.sealed.version, sealed} : {kind: 'failed'}, nowMs: 0};
	},
	'usage.report': (world, effect) => ({
		type: 'usage.reportEnded', windowId: effect.windowId, status: recordReport(world, effect), nowMs: 0,
	}),
};

function carryOut(world: World, effect: ServingEffect, isReplyLost: boolean): Reply {
	const carry = (carryOutByType as Readonly<Record<string, CarryOut<ServingEffect['type']> | undefined>>)[effect.type];
	return carry?.(world, effect, isReplyLost);
}

function recordReport(world: World, {windowId, counts, fence}: {windowId: number; counts: UsageCountsByCustomer; fence: number}): number {
	if (fence < world.highestFence) {
		return 409;
	}

	world.highestFence = fence;
	const figures = JSON.stringify(counts);
	const known = world.reports.get(windowId);
	if (known !== undefined && known !== figures) {
		world.conflicts.push(windowId);
	}

	world.reports.set(windowId, figures);
	return 200;
}

/** Ticks a holder through a span, all its effects carried out and answered at once. */
function runTicks(world: World, state: ServingState, fromMs: number, toMs: number): void {
	for (let nowMs = fromMs; nowMs < toMs; nowMs += 250) {
		tickOnce(world, state, {nowMs, isReplyLost: false});
	}
}

function tickOnce(world: World, state: ServingState, {nowMs, isReplyLost}: {nowMs: number; isReplyLost: boolean}): void {
	const pending = [...reduceServing(state, {type: 'tick', nowMs, wallMs: nowMs})];
	for (let effect = pending.shift(); effect !== undefined; effect = pending.shift()) {
		const reply = carryOut(world, effect, isReplyLost);
		if (reply !== undefined) {
			pending.push(...reduceServing(state, {...reply, nowMs}));
		}
	}
}

describe('usage of windows', () => {
	it('is reported with one figure a window, whoever is killed, paused or loses replies', () => {
		const step = fc.record({
			holder: fc.integer({min: 0, max: 2}), afterMs: fc.integer({min: 50, max: 1500}), isReplyLost: fc.boolean(), isCounted: fc.boolean(),
		});
		fc.assert(fc.property(fc.array(step, {minLength: 20, maxLength: 250}), steps => {
			const world = createWorld();
			const holders = ['a', 'b', 'c'].map(name => createHolder(name));
			let nowMs = 0;
			for (const {holder, afterMs, isReplyLost, isCounted} of steps) {
				nowMs += afterMs;
				const state = holders[holder]!;
				if (isCounted) {
					state.usage.record('customer', nowMs);
				}

				tickOnce(world, state, {nowMs, isReplyLost});
			}

			assert.deepEqual(world.conflicts, []);
		}), {numRuns: 200});
	});

	it('is reported again by a successor with the figures of its predecessor', () => {
		const world = createWorld();
		const [first, second] = [createHolder('a'), createHolder('b')];
		first.usage.record('customer', 6000);
		second.usage.record('customer', 6000);
		second.usage.record('customer', 6001);
		runTicks(world, first, 0, 15_000);
		runTicks(world, second, 15_000, 25_000);
		assert.equal(world.lease.record?.holder, 'b');
		assert.equal(world.highestFence, 2);
		assert.deepEqual([...world.reports], [[1, JSON.stringify({customer: 1})]]);
		assert.deepEqual(world.conflicts, []);
	});

	it('adds up what entries told, and keeps the highest count of each process', () => {
		const {usage} = createHolder('a');
		usage.record('customer', 6000);
		const told = {
			entryId: 'b', processId: 'pb', availabilityZone: 'zoneA', sequence: 1, wallMs: 0, work: [], prefixUses: [], crashes: [],
		};
		usage.merge({...told, usage: [[1, {customer: 5}]]});
		usage.merge({...told, usage: [[1, {customer: 3}]]});
		usage.merge({...told, processId: 'pb2', usage: [[1, {customer: 2}]]});
		assert.deepEqual(usage.sum(1), {customer: 8});
	});

	it('tells each change once and everything on demand, so that a lost message is made up for', () => {
		const {usage} = createHolder('a');
		usage.record('first', 6000);
		usage.record('second', 6000);
		assert.deepEqual(usage.takeOwn(6100, false), [[1, {first: 1, second: 1}]]);
		usage.record('second', 6200);
		assert.deepEqual(usage.takeOwn(6300, false), [[1, {second: 2}]]);
		assert.deepEqual(usage.takeOwn(6400, false), []);
		assert.deepEqual(usage.takeOwn(11_000, true), [[1, {first: 1, second: 2}]]);
	});
});
