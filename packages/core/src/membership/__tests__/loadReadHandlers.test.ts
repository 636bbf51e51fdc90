import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type InstanceRecord} from '@damaskspool/shared';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createReadyState, createTestLoad, createTestTarget} from '../../request/__tests__/requestFixtures.js';

const INTERVAL_MS = 1000;

/** Builds instance records of targets with distinct addresses. */
function createTargets(count: number): InstanceRecord[] {
	return Array.from({length: count}, (_, index) => ({...createTestTarget(`t-${index}`, 'assistant'), address: `127.0.0.1:${index + 1}`}));
}

/** Runs rounds of load reads over a fleet in which every sidecar replies. Returns the addresses read in each round. */
function runRounds(targetCount: number, rounds: number): string[][] {
	const state = createReadyState();
	const instances = createTargets(targetCount);
	reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances});
	return Array.from({length: rounds}, (_, round) => {
		const nowMs = (round + 1) * INTERVAL_MS;
		const effects = reduceEntry(state, {type: 'load.readDue', nowMs, intervalMs: INTERVAL_MS});
		const addresses = effects.map(effect => effect.type === 'load.read' ? effect.address : '');
		for (const {instanceId} of instances.filter(({address}) => addresses.includes(address))) {
			reduceEntry(state, {type: 'load.reported', nowMs, load: createTestLoad(instanceId)});
		}

		return addresses;
	});
}

describe('load reads', () => {
	it('cost no more in a fleet ten times as large', () => {
		const small = runRounds(300, 50).map(round => round.length);
		const large = runRounds(3000, 50).map(round => round.length);
		assert.deepEqual(large.slice(0, 10), small.slice(0, 10));
		assert.ok(Math.max(...large) <= Math.max(...small));
	});

	it('reach every target within a bounded number of rounds', () => {
		const requested = new Set(runRounds(100, 40).flat());
		assert.equal(requested.size, 100);
	});

	it('skip a target whose load was just reported with a response', () => {
		const rounds = runRounds(3, 2);
		assert.equal(rounds[0]!.length, 3);
		const state = createReadyState();
		const [target] = [...state.membership.targets.values()];
		target!.load = createTestLoad(target!.targetId);
		target!.loadAtMs = 900;
		const effects = reduceEntry(state, {type: 'load.readDue', nowMs: 1000, intervalMs: INTERVAL_MS});
		assert.equal(effects.length, state.membership.targets.size - 1);
	});
});
