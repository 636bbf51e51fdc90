import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type AuthoritySimulation, createAuthoritySimulation} from './authoritySimulation.js';

const SEED = 20_261_204;

/** Faults, recoveries and delays that may occur at any time. The index selects the affected process or varies the action. */
const ACTIONS: Readonly<Record<string, (simulation: AuthoritySimulation, index: number) => void>> = {
	pauseEntry({entries}, index) {
		entries[index]!.isPaused = true;
	},
	pauseHolder({findHolder}) {
		Object.assign(findHolder() ?? {}, {isPaused: true});
	},
	stallBeforePlatformCall({environment, entries, advanceTime}, index) {
		for (const entry of entries) {
			entry.pauseBeforeEffect = 'platform.call';
		}

		advanceTime(2500 + (index * 1500));
		environment.isNetworkSlow = true;
		for (const entry of entries.filter(({isPaused}) => isPaused)) {
			entry.isPaused = false;
			entry.isStoreUnreachable = true;
		}

		advanceTime(2000);
	},
	pauseBeforeOffer({entries}) {
		for (const entry of entries) {
			entry.pauseBeforeEffect = 'order.offer';
		}
	},
	pauseBeforeChange({sidecars}) {
		for (const sidecar of sidecars) {
			sidecar.pauseBeforeEffect = 'target.change';
		}
	},
	sendOldOffers({sendOldOffers}, index) {
		sendOldOffers(index);
	},
	pauseSidecar({sidecars}, index) {
		sidecars[index % 2]!.isPaused = true;
	},
	resumeAll({entries, sidecars}) {
		for (const process of [...entries, ...sidecars]) {
			process.isPaused = false;
		}
	},
	killEntry({restartEntry}, index) {
		restartEntry(index);
	},
	killSidecar({restartSidecar}, index) {
		restartSidecar(index % 2);
	},
	crashEngine({crashEngine}, index) {
		crashEngine(index % 2);
	},
	loseEntryOutbound({entries}, index) {
		entries[index]!.isOutboundLost = true;
	},
	loseEntryInbound({entries}, index) {
		entries[index]!.isInboundLost = true;
	},
	disconnectEntryFromStore({entries}, index) {
		entries[index]!.isStoreUnreachable = true;
	},
	disconnectSidecarFromStore({sidecars}, index) {
		sidecars[index % 2]!.isStoreUnreachable = true;
	},
	storeDown({environment}) {
		environment.fault = 'down';
	},
	storeSlow({environment}) {
		environment.fault = 'slow';
	},
	storeReplyLost({environment}) {
		environment.fault = 'replyLost';
	},
	networkSlow({environment}) {
		environment.isNetworkSlow = true;
	},
	writeFleetAsOperator({writeFleetAgain}) {
		writeFleetAgain();
	},
	heal({heal}) {
		heal();
	},
	nothing() {
		// Only time advances.
	},
};

const stepArbitrary = fc.record({
	name: fc.oneof(fc.constantFrom(...Object.keys(ACTIONS)), fc.constantFrom('heal', 'nothing', 'resumeAll')),
	index: fc.integer({min: 0, max: 2}),
	waitMs: fc.constantFrom(0, 100, 300, 1000, 3000, 6000),
});

describe('fleet authority', () => {
	it('stays exclusive under any sequence of faults, and recovers by itself once they end', () => {
		let changes = 0;
		let platformCalls = 0;
		fc.assert(fc.property(fc.array(stepArbitrary, {minLength: 5, maxLength: 30}), steps => {
			const simulation = createAuthoritySimulation();
			simulation.advanceTime(4000);
			for (const {name, index, waitMs} of steps) {
				ACTIONS[name]!(simulation, index);
				simulation.advanceTime(waitMs);
			}

			simulation.heal();
			simulation.advanceTime(10_000);
			assert.ok(simulation.findHolder() !== undefined, 'no entry held the fleet duty ten seconds after the faults ended');
			const changesBefore = simulation.counts.changes;
			simulation.advanceTime(20_000);
			assert.ok(simulation.counts.changes > changesBefore, 'no target was changed after the faults ended');
			changes += simulation.counts.changes;
			platformCalls += simulation.counts.platformCalls;
		}), {seed: SEED, numRuns: 300, endOnFailure: true});
		assert.ok(changes > 600 && platformCalls > 300, `the simulation did too little: ${changes} changes, ${platformCalls} calls`);
	});
});
