import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	computeNextBudget, chooseDropped, chooseStalled, computeConnectionLimit, computeMemoryBudget, type HeldConnection, mayAdmitBody, mayGrowBody,
} from '../memoryBudget.js';

const MB = 1_000_000;
const NOW_MS = 60_000;
const STALLED_MS = 1000;

const connections = fc.uniqueArray(fc.record<HeldConnection>({
	callId: fc.nat(500), heldBytes: fc.nat(MB), progressedAtMs: fc.oneof(fc.integer({min: NOW_MS - 2000, max: NOW_MS}), fc.integer({min: NOW_MS - 10_000, max: NOW_MS})),
}), {selector: ({callId}) => callId, maxLength: 60});
/** Budget as a share of what is held. */
const budgetShares = fc.double({min: 0.05, max: 1.5, noNaN: true});

describe('the choice of connections to drop', () => {
	it('drops none within the budget, and otherwise no more than it takes, whatever the order of the connections', () => {
		fc.assert(fc.property(connections, budgetShares, (held, budgetShare) => {
			const heldBytes = held.reduce((sum, connection) => sum + connection.heldBytes, 0);
			const budgetBytes = heldBytes * budgetShare;
			const dropped = chooseDropped(held, {heldBytes, budgetBytes}, NOW_MS);
			assert.deepEqual(chooseDropped(held.toReversed(), {heldBytes, budgetBytes}, NOW_MS), dropped);
			const findHeld = (callId: number) => held.find(connection => connection.callId === callId)!.heldBytes;
			const freed = dropped.reduce((sum, callId) => sum + findHeld(callId), 0);
			assert.equal(dropped.length > 0, heldBytes > budgetBytes);
			assert.ok(heldBytes - freed <= budgetBytes);
			assert.ok(dropped.length === 0 || heldBytes - freed + findHeld(dropped.at(-1)!) > budgetBytes * 0.9);
		}));
	});

	it('drops no caller that makes progress before one that does not', () => {
		fc.assert(fc.property(connections, budgetShares, (held, budgetShare) => {
			const heldBytes = held.reduce((sum, connection) => sum + connection.heldBytes, 0);
			const budgetBytes = heldBytes * budgetShare;
			const dropped = new Set(chooseDropped(held, {heldBytes, budgetBytes}, NOW_MS));
			const isStalled = ({progressedAtMs}: HeldConnection) => NOW_MS - progressedAtMs >= STALLED_MS;
			const droppedProgress = held.some(connection => dropped.has(connection.callId) && !isStalled(connection));
			const keptStalled = held.some(connection => !dropped.has(connection.callId) && isStalled(connection) && connection.heldBytes > 0);
			assert.ok(!(droppedProgress && keptStalled));
		}));
	});

	it('drops first what is held most and longest', () => {
		const held = [
			{callId: 1, heldBytes: 50_000, progressedAtMs: NOW_MS - 2000},
			{callId: 2, heldBytes: 60_000, progressedAtMs: NOW_MS - 9000},
			{callId: 3, heldBytes: 200_000, progressedAtMs: NOW_MS - 2000},
			{callId: 4, heldBytes: 900_000, progressedAtMs: NOW_MS - 10},
		];
		assert.deepEqual(chooseDropped(held, {heldBytes: 1_210_000, budgetBytes: 1}, NOW_MS), [2, 3, 1, 4]);
	});
});

describe('the room for long bodies', () => {
	it('is made by dropping what stalls above the share of admitted bodies, and nothing that moves', () => {
		const held = [
			{callId: 1, heldBytes: 60, progressedAtMs: NOW_MS - 10},
			{callId: 2, heldBytes: 10, progressedAtMs: NOW_MS - 2000},
			{callId: 3, heldBytes: 20, progressedAtMs: NOW_MS - 2000},
		];
		assert.deepEqual(chooseStalled(held, {heldBytes: 90, budgetBytes: 100}, NOW_MS), [3, 2]);
		assert.deepEqual(chooseStalled(held, {heldBytes: 70, budgetBytes: 100}, NOW_MS), []);
	});

	it('is asked for once by a body of unknown length', () => {
		const use = {heldBytes: 90, budgetBytes: 100};
		assert.ok(mayGrowBody(use, 16_384, 1));
		assert.ok(!mayGrowBody(use, 16_385, 1));
		assert.ok(mayGrowBody(use, 16_386, 1));
	});
});

describe('the memory budget', () => {
	it('changes nothing where the platform states no memory', () => {
		const budgetBytes = computeMemoryBudget(undefined);
		assert.equal(computeNextBudget({heldBytes: MB, budgetBytes}, {residentBytes: 900 * MB, previousBytes: 0}, undefined), budgetBytes);
		assert.ok(mayAdmitBody({heldBytes: 900 * MB, budgetBytes}, 4 * MB));
		assert.deepEqual(chooseDropped([{callId: 1, heldBytes: 900 * MB, progressedAtMs: 0}], {heldBytes: 900 * MB, budgetBytes}, NOW_MS), []);
	});

	it('lets a target wait for its caller later while memory is ample, and admits short bodies always', () => {
		const budgetBytes = computeMemoryBudget(602 * MB);
		assert.ok(computeConnectionLimit({heldBytes: 0, budgetBytes}) > computeConnectionLimit({heldBytes: budgetBytes, budgetBytes}));
		assert.ok(mayAdmitBody({heldBytes: 2 * budgetBytes, budgetBytes}, 1000));
		assert.ok(!mayAdmitBody({heldBytes: budgetBytes, budgetBytes}, MB));
	});

	it('falls while the heap grows near its own limit', () => {
		const memoryBytes = 350 * MB;
		const budgetBytes = computeMemoryBudget(memoryBytes);
		const adjust = (usedBytes: number) => computeNextBudget({heldBytes: MB, budgetBytes}, {
			residentBytes: 200 * MB, previousBytes: 200 * MB, heap: {usedBytes, previousBytes: 100 * MB, limitBytes: 160 * MB},
		}, memoryBytes);
		assert.ok(adjust(130 * MB) < budgetBytes);
		assert.equal(adjust(100 * MB), budgetBytes);
	});

	it('refuses short bodies too once complete requests hold far more than it', () => {
		const budgetBytes = computeMemoryBudget(210 * MB);
		assert.ok(!mayAdmitBody({heldBytes: 3 * budgetBytes, budgetBytes}, 1000));
		assert.equal(mayAdmitBody({heldBytes: 900 * MB, budgetBytes: computeMemoryBudget(undefined)}, 1000), true);
	});

	it('falls while the process grows near its limit, stays while it does not, and rises again below', () => {
		const memoryBytes = 210 * MB;
		const full = computeMemoryBudget(memoryBytes);
		const adjust = (budgetBytes: number, residentBytes: number, previousBytes: number) =>
			computeNextBudget({heldBytes: full, budgetBytes}, {residentBytes, previousBytes}, memoryBytes);
		const lowered = adjust(full, 165 * MB, 160 * MB);
		assert.ok(lowered < full);
		assert.equal(adjust(lowered, 165 * MB, 165 * MB), lowered);
		let budgetBytes = lowered;
		for (let step = 0; step < 40; step += 1) {
			budgetBytes = adjust(budgetBytes, 120 * MB, 120 * MB);
		}

		assert.equal(budgetBytes, full);
	});
});
