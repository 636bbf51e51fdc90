import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type AuthorityWorld, createAuthorityWorld} from './authorityWorld.js';

const SEED = 20_261_204;

/** Everything that may befall the world, each at any moment. */
const EVENTS: Readonly<Record<string, (world: AuthorityWorld, which: number) => void>> = {
	pauseEntry({entries}, which) {
		entries[which]!.isPaused = true;
	},
	pauseHolder({readHolder}) {
		Object.assign(readHolder() ?? {}, {isPaused: true});
	},
	stallBeforePlatformCall({world, entries, pass}, which) {
		for (const entry of entries) {
			entry.pausingBefore = 'platform.call';
		}

		pass(2500 + (which * 1500));
		world.isNetworkSlow = true;
		for (const entry of entries.filter(({isPaused}) => isPaused)) {
			entry.isPaused = false;
			entry.isCutFromStore = true;
		}

		pass(2000);
	},
	pauseBeforeOffer({entries}) {
		for (const entry of entries) {
			entry.pausingBefore = 'order.offer';
		}
	},
	pauseBeforeChange({sidecars}) {
		for (const sidecar of sidecars) {
			sidecar.pausingBefore = 'target.change';
		}
	},
	offersComeAgain({replayOffers}, which) {
		replayOffers(which);
	},
	pauseSidecar({sidecars}, which) {
		sidecars[which % 2]!.isPaused = true;
	},
	resumeAll({entries, sidecars}) {
		for (const process of [...entries, ...sidecars]) {
			process.isPaused = false;
		}
	},
	killEntry({restartEntry}, which) {
		restartEntry(which);
	},
	killSidecar({restartSidecar}, which) {
		restartSidecar(which % 2);
	},
	crashEngine({crashEngine}, which) {
		crashEngine(which % 2);
	},
	loseSentOfEntry({entries}, which) {
		entries[which]!.isSendingLost = true;
	},
	loseReceivedOfEntry({entries}, which) {
		entries[which]!.isReceivingLost = true;
	},
	cutEntryFromStore({entries}, which) {
		entries[which]!.isCutFromStore = true;
	},
	cutSidecarFromStore({sidecars}, which) {
		sidecars[which % 2]!.isCutFromStore = true;
	},
	storeDown({world}) {
		world.fault = 'down';
	},
	storeSlow({world}) {
		world.fault = 'slow';
	},
	storeReplyLost({world}) {
		world.fault = 'replyLost';
	},
	networkSlow({world}) {
		world.isNetworkSlow = true;
	},
	operatorRace({editFleet}) {
		editFleet();
	},
	heal({heal}) {
		heal();
	},
	nothing() {
		// Time passes.
	},
};

const steps = fc.record({
	name: fc.oneof(fc.constantFrom(...Object.keys(EVENTS)), fc.constantFrom('heal', 'nothing', 'resumeAll')),
	which: fc.integer({min: 0, max: 2}),
	waitMs: fc.constantFrom(0, 100, 300, 1000, 3000, 6000),
});

describe('authority over a zone', () => {
	it('holds through any order of faults, and control recovers by itself', () => {
		let changes = 0;
		let platformCalls = 0;
		fc.assert(fc.property(fc.array(steps, {minLength: 5, maxLength: 30}), list => {
			const authority = createAuthorityWorld();
			authority.pass(4000);
			for (const {name, which, waitMs} of list) {
				EVENTS[name]!(authority, which);
				authority.pass(waitMs);
			}

			authority.heal();
			authority.pass(10_000);
			assert.ok(authority.readHolder() !== undefined, 'control did not recover in ten seconds');
			const before = authority.counts.changes;
			authority.pass(20_000);
			assert.ok(authority.counts.changes > before, 'orders are given no more');
			changes += authority.counts.changes;
			platformCalls += authority.counts.platformCalls;
		}), {seed: SEED, numRuns: 300, endOnFailure: true});
		assert.ok(changes > 600 && platformCalls > 300, `the world did little: ${changes} changes, ${platformCalls} calls`);
	});
});
