import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	type CallerConnection, chooseClosed, chooseFreed, computeConnectionsHeld, computeMaxConnections, CONNECTION_STAGES,
} from '../callerConnections.js';

const MB = 1_000_000;
const NOW_MS = 60_000;

const connections = fc.uniqueArray(fc.record<CallerConnection>({
	connectionId: fc.nat(500), stage: fc.constantFrom(...Object.values(CONNECTION_STAGES)), sinceMs: fc.integer({min: NOW_MS - 3000, max: NOW_MS}),
}), {selector: ({connectionId}) => connectionId, maxLength: 60});

/** Builds connections of one stage that have not moved for some times. */
const buildConnections = (stage: CallerConnection['stage'], firstId: number, timesMs: readonly number[]) =>
	timesMs.map((timeMs, index): CallerConnection => ({connectionId: firstId + index, stage, sinceMs: NOW_MS - timeMs}));

describe('the limit of connections', () => {
	it('leaves descriptors for files and targets, and memory for requests', () => {
		assert.equal(computeMaxConnections({maxDescriptors: undefined, memoryBytes: undefined, targetConnections: 0}), Number.POSITIVE_INFINITY);
		assert.equal(computeMaxConnections({maxDescriptors: 4100, memoryBytes: 602 * MB, targetConnections: 0}), 2850);
		assert.equal(computeMaxConnections({maxDescriptors: 4100, memoryBytes: 602 * MB, targetConnections: 2000}), 1800);
		assert.equal(computeMaxConnections({maxDescriptors: 4100, memoryBytes: 210 * MB, targetConnections: 0}), 1708);
		assert.equal(computeMaxConnections({maxDescriptors: 100, memoryBytes: undefined, targetConnections: 0}), 8);
	});
});

describe('the choice of connections to close', () => {
	it('closes none within the limit, and otherwise as many as are too many, but for those with a request under way', () => {
		fc.assert(fc.property(connections, fc.nat(60), (open, maxConnections) => {
			const closed = chooseClosed(open, maxConnections, NOW_MS);
			assert.deepEqual(chooseClosed(open.toReversed(), maxConnections, NOW_MS), closed);
			const closable = open.filter(({stage}) => stage !== 'busy');
			assert.equal(closed.length, Math.min(closable.length, Math.max(0, open.length - maxConnections)));
			const closableIds = new Set(closable.map(({connectionId}) => connectionId));
			assert.deepEqual(closed.filter(connectionId => !closableIds.has(connectionId)), []);
		}));
	});

	it('closes stalled heads, then idle connections, then stalled bodies and unread answers, then what moves, the longest first', () => {
		const open = [
			...buildConnections('head', 1, [3000, 5000, 20]),
			...buildConnections('idle', 11, [10, 9000]),
			...buildConnections('body', 21, [2000, 500]),
			...buildConnections('unread', 31, [2000, 500]),
			...buildConnections('busy', 41, [9000]),
		];
		assert.deepEqual(chooseClosed(open, 0, NOW_MS), [2, 1, 12, 11, 21, 31, 22, 3, 32]);
	});

	it('keeps a new connection beside a crowd, whatever the crowd has sent', () => {
		fc.assert(fc.property(fc.constantFrom('head', 'idle', 'body', 'unread'), stage => {
			const crowd = buildConnections(stage, 1, Array.from({length: 200}, (_, index) => 10 * index));
			assert.ok(!chooseClosed([...crowd, ...buildConnections('head', 900, [0])], 200, NOW_MS).includes(900));
		}));
	});
});

describe('the choice of connections to close when memory is short', () => {
	it('counts no connection of an entry with ordinary callers', () => {
		assert.equal(computeConnectionsHeld(500), 0);
		assert.equal(computeConnectionsHeld(1500), 1000 * 16_384);
	});

	it('closes stalled heads with most bytes first, idle connections and new heads only if all may close, and none with a request', () => {
		const open = [
			...buildConnections('head', 1, [3000, 3000, 20]),
			...buildConnections('idle', 11, [10, 9000]),
			...buildConnections('body', 21, [2000]),
			...buildConnections('unread', 31, [2000]),
			...buildConnections('busy', 41, [9000]),
		].map(connection => ({...connection, heldBytes: connection.connectionId === 2 ? 16_000 : 100}));
		assert.deepEqual(chooseFreed(open, {bytes: MB, mayCloseAll: false}, NOW_MS), [2, 1]);
		assert.deepEqual(chooseFreed(open, {bytes: MB, mayCloseAll: true}, NOW_MS), [2, 1, 12, 11, 3]);
		assert.deepEqual(chooseFreed(open, {bytes: 1000, mayCloseAll: true}, NOW_MS), [2]);
	});
});
