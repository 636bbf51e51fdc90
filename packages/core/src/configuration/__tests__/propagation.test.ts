import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type InstanceRecord} from '@damaskspool/shared';
import fc from 'fast-check';
import {MAX_KEY_SET_AGE_MS} from '../../keys/keyFreshness.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createEntryState} from '../../reducer/entryState.js';
import {findChildren, isRelay, listSources} from '../relayTree.js';
import {
	CALL_TIMEOUT_MS, SimulatedFleet, type SimulatedEntry, TICK_MS,
} from './simulatedFleet.js';

const SEED = 20_261_204;
/** Time within which a withdrawn key must be refused everywhere. */
const MAX_WITHDRAWAL_MS = 5000;

const faults = fc.record({
	entry: fc.nat(5),
	kind: fc.constantFrom('store', 'peers', 'all', 'pause', 'storeDown', 'accept', 'heal'),
	durationMs: fc.integer({min: 1, max: 60}).map(tenths => tenths * TICK_MS),
});
const zoneLists = fc.constantFrom(['a', 'b', 'c'], ['a', 'a', 'b', 'b', 'c', 'c'], ['a', 'a', 'a', 'a', 'b', 'b']);

function applyFault(fleet: SimulatedFleet, kind: string, entry: SimulatedEntry): void {
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
			fleet.acceptChange(entry);
		},
		heal() {
			fleet.isStoreUp = true;
			healAll(fleet);
		},
	};
	actions[kind]!();
}

function healAll(fleet: SimulatedFleet): void {
	for (const entry of fleet.entries) {
		entry.hasStore = true;
		entry.isReachable = true;
		entry.isPaused = false;
	}
}

/** Returns whether an entry accepts keys from a revision that was replaced more than MAX_WITHDRAWAL_MS ago. */
function isServingStale(fleet: SimulatedFleet, entry: SimulatedEntry): boolean {
	const replacedAtMs = fleet.acceptedAtMs[entry.state.configuration.revision + 1];
	return !entry.isPaused && replacedAtMs !== undefined && fleet.nowMs - replacedAtMs > MAX_WITHDRAWAL_MS && fleet.isKeySetFresh(entry);
}

describe('the propagation of a configuration', () => {
	it('never lets an entry use a replaced key set past the limit or revert, despite partitions, pauses, delays and outages', () => {
		fc.assert(fc.property(zoneLists, fc.array(faults, {maxLength: 25}), fc.array(fc.nat(12), {minLength: 1, maxLength: 20}), (zones, steps, delays) => {
			let delayIndex = 0;
			const fleet = new SimulatedFleet(zones, () => {
				delayIndex += 1;
				return delays[delayIndex % delays.length]! * TICK_MS;
			});
			for (const {entry, kind, durationMs} of steps) {
				applyFault(fleet, kind, fleet.entries[entry % zones.length]!);
				for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
					const before = fleet.entries.map(({state}) => state.configuration.revision);
					fleet.advance(TICK_MS);
					for (const [index, simulated] of fleet.entries.entries()) {
						assert.ok(!isServingStale(fleet, simulated), `${simulated.record.instanceId} uses a replaced key set`);
						assert.ok(simulated.state.configuration.revision >= before[index]!, 'the entry went back to an earlier revision');
					}
				}
			}
		}), {seed: SEED, numRuns: 300});
	});

	it('puts every accepted revision in force with a fresh key set at all entries within seconds after faults end', () => {
		fc.assert(fc.property(zoneLists, fc.array(faults, {maxLength: 12}), (zones, steps) => {
			const fleet = new SimulatedFleet(zones, () => TICK_MS);
			for (const {entry, kind, durationMs} of steps) {
				applyFault(fleet, kind, fleet.entries[entry % zones.length]!);
				fleet.advance(durationMs);
			}

			healAll(fleet);
			fleet.isStoreUp = true;
			fleet.acceptChange(fleet.entries[0]!);
			fleet.advance(MAX_WITHDRAWAL_MS);
			for (const entry of fleet.entries) {
				assert.equal(entry.state.configuration.revision, fleet.revision);
				assert.ok(fleet.isKeySetFresh(entry));
			}
		}), {seed: SEED, numRuns: 100});
	});

	it('keeps an entry without access to the store fresh and up to date through its peers', () => {
		const fleet = new SimulatedFleet(['a', 'b', 'c'], () => TICK_MS);
		fleet.advance(3000);
		fleet.entries[2]!.hasStore = false;
		for (let passedMs = 0; passedMs < 20_000; passedMs += TICK_MS) {
			fleet.advance(TICK_MS);
			assert.ok(fleet.entries.every(entry => fleet.isKeySetFresh(entry)));
		}

		fleet.acceptChange(fleet.entries[0]!);
		fleet.advance(3000);
		assert.equal(fleet.entries[2]!.state.configuration.revision, fleet.revision);
	});

	it('keeps key sets fresh while the store is down for all entries, but not while a zone is unreachable', () => {
		const fleet = new SimulatedFleet(['a', 'a', 'b', 'b', 'c', 'c'], () => TICK_MS);
		fleet.advance(3000);
		fleet.isStoreUp = false;
		for (let passedMs = 0; passedMs < 60_000; passedMs += TICK_MS) {
			fleet.advance(TICK_MS);
			assert.ok(fleet.entries.every(entry => fleet.isKeySetFresh(entry)));
		}

		const isolated = fleet.entries.filter(({record}) => record.availabilityZone === 'c');
		for (const entry of isolated) {
			entry.isReachable = false;
		}

		fleet.advance(MAX_KEY_SET_AGE_MS + CALL_TIMEOUT_MS);
		assert.ok(fleet.entries.every(entry => !fleet.isKeySetFresh(entry)));
	});

	it('propagates a change that is held only by an entry that is no relay when the store goes down', () => {
		const fleet = new SimulatedFleet(['a', 'a', 'a', 'a', 'a', 'b', 'b'], () => TICK_MS);
		fleet.advance(3000);
		const proposer = fleet.entries.find(({state}) => state.propagation.tree.localIndex === 4)!;
		proposer.isReachable = false;
		fleet.acceptChange(proposer);
		fleet.isStoreUp = false;
		fleet.advance(TICK_MS);
		proposer.isReachable = true;
		fleet.advance(MAX_WITHDRAWAL_MS);
		assert.ok(fleet.entries.every(({state}) => state.configuration.revision === fleet.revision));
	});

	it('does not take an answer with a different revision as a confirmation', () => {
		const fleet = new SimulatedFleet(['a', 'b'], () => TICK_MS);
		const {state} = fleet.entries[0]!;
		reduceEntry(state, {
			type: 'configuration.peerAnswered', nowMs: 1, elapsedMs: 1, peerId: 'entry-1', answer: {instanceId: 'entry-1', revision: 5, confirmedAgeMs: 0},
		});
		assert.ok(!fleet.isKeySetFresh(fleet.entries[0]!));
	});

	it('has two relays in each of 12 zones and gives each other entry one parent in its zone, which it queries first', () => {
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
