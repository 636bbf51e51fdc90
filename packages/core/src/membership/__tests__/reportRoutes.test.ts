import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {computeReportInterval, planReportRoutes, type ReportPeer} from '../reportRoutes.js';

const ZONES = ['zoneA', 'zoneB', 'zoneC'] as const;

/** Builds peers that are distributed evenly over the zones, by entry identifier. */
function createTestPeers(count: number, isLive: (index: number) => boolean = () => true): Map<string, ReportPeer> {
	return new Map(Array.from({length: count}, (_, index) => [
		`entry${index}`, {availabilityZone: ZONES[index % ZONES.length]!, isLive: isLive(index)},
	]));
}

describe('planReportRoutes', () => {
	it('selects every peer of the same zone and one peer of each other zone', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: 90}), fc.nat(), (count, round) => {
			const peers = createTestPeers(count);
			const {sameZonePeers, otherZonePeers} = planReportRoutes({availabilityZone: 'zoneA', peers, round});
			assert.equal(sameZonePeers.length, Math.ceil(count / ZONES.length));
			assert.equal(otherZonePeers.length, Math.min(2, Math.max(0, count - 1)));
			assert.equal(new Set(otherZonePeers.map(entryId => peers.get(entryId)!.availabilityZone)).size, otherZonePeers.length);
		}));
	});

	it('rotates over all live peers of another zone, so that none of them is a single point of failure', () => {
		const peers = createTestPeers(30);
		const reached = new Set(Array.from({length: 10}, (_, round) => planReportRoutes({availabilityZone: 'zoneA', peers, round}).otherZonePeers).flat());
		assert.equal(reached.size, 20);
	});

	it('skips unreachable peers of another zone', () => {
		const peers = createTestPeers(30, index => index === 1 || index === 2);
		for (let round = 0; round < 10; round += 1) {
			assert.deepEqual(planReportRoutes({availabilityZone: 'zoneA', peers, round}).otherZonePeers, ['entry1', 'entry2']);
		}
	});

	it('rotates over all peers of a zone in which none is live', () => {
		const peers = createTestPeers(9, () => false);
		const reached = new Set(Array.from({length: 3}, (_, round) => planReportRoutes({availabilityZone: 'zoneA', peers, round}).otherZonePeers).flat());
		assert.equal(reached.size, 6);
	});
});

describe('computeReportInterval', () => {
	it('bounds the reports that an entry receives per second, regardless of the number of peers', () => {
		for (const count of [1, 8, 30, 100, 300]) {
			assert.ok(count * 1000 / computeReportInterval(count) <= 500);
		}
	});
});
