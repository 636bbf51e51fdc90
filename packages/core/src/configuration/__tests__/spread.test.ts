import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type InstanceRecord} from '@damaskspool/shared';
import fc from 'fast-check';
import {KEYS_FRESH_MS} from '../../keys/keyFreshness.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createEntryState} from '../../reducer/entryState.js';
import {findChildren, isRelay, listSources} from '../relayTree.js';
import {
	CALL_TIMEOUT_MS, Fleet, type Simulated, TICK_MS,
} from './spreadFleet.js';

const SEED = 20_261_204;
/** The promise on withdrawn keys. */
const WITHDRAWN_LIMIT_MS = 5000;

const faults = fc.record({
	entry: fc.nat(5),
	kind: fc.constantFrom('store', 'peers', 'all', 'pause', 'storeDown', 'accept', 'heal'),
	durationMs: fc.integer({min: 1, max: 60}).map(tenths => tenths * TICK_MS),
});
const zoneLists = fc.constantFrom(['a', 'b', 'c'], ['a', 'a', 'b', 'b', 'c', 'c'], ['a', 'a', 'a', 'a', 'b', 'b']);

function applyFault(fleet: Fleet, kind: string, entry: Simulated): void {
	const actions: Record<string, () => void> = {
		store() {
			entry.hasStore = false;
		},
		peers() {
			entry.isReachable = false;
		},
		all() {
			entry.hasStore = false;
			entry.isReachable = false;
		},
		pause() {
			entry.isPaused = !entry.isPaused;
		},
		storeDown() {
			fleet.isStoreUp = false;
		},
		accept() {
			fleet.accept(entry);
		},
		heal() {
			fleet.isStoreUp = true;
			healAll(fleet);
		},
	};
	actions[kind]!();
}

function healAll(fleet: Fleet): void {
	for (const entry of fleet.entries) {
		entry.hasStore = true;
		entry.isReachable = true;
		entry.isPaused = false;
	}
}

/** Tells whether an entry serves with a revision that was replaced longer ago than promised. */
function isServingStale(fleet: Fleet, entry: Simulated): boolean {
	const replacedAtMs = fleet.acceptedAtMs[entry.state.configuration.revision + 1];
	return !entry.isPaused && replacedAtMs !== undefined && fleet.nowMs - replacedAtMs > WITHDRAWN_LIMIT_MS && fleet.isSure(entry);
}

describe('the spread of a configuration', () => {
	it('never lets an entry serve by a replaced key set past the limit, whatever is cut, paused, late or down, and never reverts', () => {
		fc.assert(fc.property(zoneLists, fc.array(faults, {maxLength: 25}), fc.array(fc.nat(12), {minLength: 1, maxLength: 20}), (zones, steps, delays) => {
			let turn = 0;
			const fleet = new Fleet(zones, () => {
				turn += 1;
				return delays[turn % delays.length]! * TICK_MS;
			});
			for (const {entry, kind, durationMs} of steps) {
				applyFault(fleet, kind, fleet.entries[entry % zones.length]!);
				for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
					const before = fleet.entries.map(({state}) => state.configuration.revision);
					fleet.advance(TICK_MS);
					for (const [index, simulated] of fleet.entries.entries()) {
						assert.ok(!isServingStale(fleet, simulated), `${simulated.record.instanceId} serves by a replaced key set`);
						assert.ok(simulated.state.configuration.revision >= before[index]!, 'reverted');
					}
				}
			}
		}), {seed: SEED, numRuns: 300});
	});

	it('puts every accepted revision in force everywhere within seconds of the end of a fault, and all are sure of it', () => {
		fc.assert(fc.property(zoneLists, fc.array(faults, {maxLength: 12}), (zones, steps) => {
			const fleet = new Fleet(zones, () => TICK_MS);
			for (const {entry, kind, durationMs} of steps) {
				applyFault(fleet, kind, fleet.entries[entry % zones.length]!);
				fleet.advance(durationMs);
			}

			healAll(fleet);
			fleet.isStoreUp = true;
			fleet.accept(fleet.entries[0]!);
			fleet.advance(WITHDRAWN_LIMIT_MS);
			for (const entry of fleet.entries) {
				assert.equal(entry.state.configuration.revision, fleet.revision);
				assert.ok(fleet.isSure(entry));
			}
		}), {seed: SEED, numRuns: 100});
	});

	it('goes on through an entry that is cut off from the store, while its peers are not', () => {
		const fleet = new Fleet(['a', 'b', 'c'], () => TICK_MS);
		fleet.advance(3000);
		fleet.entries[2]!.hasStore = false;
		for (let passedMs = 0; passedMs < 20_000; passedMs += TICK_MS) {
			fleet.advance(TICK_MS);
			assert.ok(fleet.entries.every(entry => fleet.isSure(entry)));
		}

		fleet.accept(fleet.entries[0]!);
		fleet.advance(3000);
		assert.equal(fleet.entries[2]!.state.configuration.revision, fleet.revision);
	});

	it('keeps entries sure of their keys while the store is down for everyone, and unsure while it may not be', () => {
		const fleet = new Fleet(['a', 'a', 'b', 'b', 'c', 'c'], () => TICK_MS);
		fleet.advance(3000);
		fleet.isStoreUp = false;
		for (let passedMs = 0; passedMs < 60_000; passedMs += TICK_MS) {
			fleet.advance(TICK_MS);
			assert.ok(fleet.entries.every(entry => fleet.isSure(entry)));
		}

		const cut = fleet.entries.filter(({record}) => record.availabilityZone === 'c');
		for (const entry of cut) {
			entry.isReachable = false;
		}

		fleet.advance(KEYS_FRESH_MS + CALL_TIMEOUT_MS);
		assert.ok(fleet.entries.every(entry => !fleet.isSure(entry)));
	});

	it('spreads a change that only an entry beside the relays holds when the store goes down', () => {
		const fleet = new Fleet(['a', 'a', 'a', 'a', 'a', 'b', 'b'], () => TICK_MS);
		fleet.advance(3000);
		const proposer = fleet.entries.find(({state}) => state.propagation.tree.ownIndex === 4)!;
		proposer.isReachable = false;
		fleet.accept(proposer);
		fleet.isStoreUp = false;
		fleet.advance(TICK_MS);
		proposer.isReachable = true;
		fleet.advance(WITHDRAWN_LIMIT_MS);
		assert.ok(fleet.entries.every(({state}) => state.configuration.revision === fleet.revision));
	});

	it('is not confirmed by a peer whose revision is another', () => {
		const fleet = new Fleet(['a', 'b'], () => TICK_MS);
		const {state} = fleet.entries[0]!;
		reduceEntry(state, {
			type: 'configuration.peerAnswered', nowMs: 1, elapsedMs: 1, peerId: 'entry-1', answer: {instanceId: 'entry-1', revision: 5, confirmedAgeMs: 0},
		});
		assert.ok(!fleet.isSure(fleet.entries[0]!));
	});

	it('has few relays in a zone, and gives each entry one parent and few children at any size', () => {
		const instances = Array.from({length: 860}, (_, index): InstanceRecord => ({
			instanceId: `entry-${index}`, kind: 'entry', availabilityZone: `zone-${index % 12}`, region: 'r', address: `entry-${index}`, state: 'live', serviceId: '', incarnation: 1,
		}));
		const parents = new Map<string, string>();
		let relays = 0;
		for (const record of instances) {
			const {state} = {state: createEntryState({...record, processId: record.instanceId})};
			reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances});
			relays += isRelay(state.propagation.tree) ? 1 : 0;
			for (const child of findChildren(state.propagation.tree)) {
				assert.equal(child.availabilityZone, record.availabilityZone);
				assert.ok(!parents.has(child.instanceId));
				parents.set(child.instanceId, record.instanceId);
			}

			if (!isRelay(state.propagation.tree)) {
				parents.set(`asks ${record.instanceId}`, listSources(state.propagation.tree)[0]!.instanceId);
			}
		}

		assert.equal(relays, 24);
		for (const {instanceId} of instances) {
			assert.equal(parents.get(`asks ${instanceId}`), parents.get(instanceId));
		}
	});
});
