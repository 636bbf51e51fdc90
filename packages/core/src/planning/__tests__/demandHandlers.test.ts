import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SECOND_MS} from '@damaskspool/shared';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createEntryState, type EntryState} from '../../reducer/entryState.js';
import {createLoad, createTarget} from '../../routing/__tests__/routingFixtures.js';

function createStateWithTargets(): EntryState {
	const state = createEntryState({instanceId: 'e', availabilityZone: 'a'});
	for (const target of [createTarget('t0'), createTarget('t1'), createTarget('far', {availabilityZone: 'b'})]) {
		state.membership.targets.set(target.targetId, target);
	}

	return state;
}

/** Sets new totals for every target and advances time to the next sample. */
function advanceToSample(state: EntryState, nowMs: number, prefillTokensTotal: number): void {
	for (const [targetId, target] of state.membership.targets) {
		target.load = createLoad({targetId, prefillTokensTotal});
	}

	reduceEntry(state, {type: 'tick', nowMs});
}

describe('demand measurement', () => {
	it('counts work of the local zone only', () => {
		const state = createStateWithTargets();
		for (let index = 0; index <= 200; index += 1) {
			advanceToSample(state, index * 5 * SECOND_MS, index * 5000);
		}

		const [demand] = state.fleet.demands;
		assert.equal(demand?.serviceId, 's');
		// Two targets at 1,000 tokens a second each.
		assert.ok(Math.abs(demand.longPrefillTokensRate - 2000) < 50, String(demand.longPrefillTokensRate));
		assert.notEqual(demand.forecastPrefillTokensRate, undefined);
	});

	it('ignores work from before a target was known, and totals that were reset', () => {
		const state = createStateWithTargets();
		advanceToSample(state, 0, 0);
		advanceToSample(state, 5 * SECOND_MS, 1_000_000);
		advanceToSample(state, 10 * SECOND_MS, 10);
		assert.equal(state.fleet.demands[0]?.shortPrefillTokensRate, 0);
	});
});
