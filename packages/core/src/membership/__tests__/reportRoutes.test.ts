import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {computeReportInterval, planReportRoutes, type ReportPeer} from '../reportRoutes.js';

const ZONES = ['zoneA', 'zoneB', 'zoneC'] as const;

/**
 * Builds peers of every zone in turn.
 *
 * @param count - number of peers
 * @param isLive - which of them were heard of lately
 * @returns the peers by entry
 */
function createTestPeers(count: number, isLive: (index: number) => boolean = () => true): Map<string, ReportPeer> {
	return new Map(Array.from({length: count}, (_, index) => [
		`entry${index}`, {availabilityZone: ZONES[index % ZONES.length]!, isLive: isLive(index)},
	]));
}

describe('planReportRoutes', () => {
	it('sends to every peer of the own zone and to one peer of each other zone', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: 90}), fc.nat(), (count, round) => {
			const peers = createTestPeers(count);
			const {sameZonePeers: sameZonePeers, otherZonePeers: otherZonePeers} = planReportRoutes({availabilityZone: 'zoneA', peers, round: round});
			assert.equal(sameZonePeers.length, Math.ceil(count / ZONES.length));
			assert.equal(otherZonePeers.length, Math.min(2, Math.max(0, count - 1)));
			assert.equal(new Set(otherZonePeers.map(entryId => peers.get(entryId)!.availabilityZone)).size, otherZonePeers.length);
		}));
	});

	it('reaches every live peer of another zone in turn, so that none of them is a single point of failure', () => {
		const peers = createTestPeers(30);
		const reached = new Set(Array.from({length: 10}, (_, round) => planReportRoutes({availabilityZone: 'zoneA', peers, round: round}).otherZonePeers).flat());
		assert.equal(reached.size, 20);
	});

	it('passes by peers of another zone that have fallen silent', () => {
		const peers = createTestPeers(30, index => index === 1 || index === 2);
		for (let round = 0; round < 10; round += 1) {
			assert.deepEqual(planReportRoutes({availabilityZone: 'zoneA', peers, round: round}).otherZonePeers, ['entry1', 'entry2']);
		}
	});

	it('tries each peer of a zone that is silent as a whole', () => {
		const peers = createTestPeers(9, () => false);
		const reached = new Set(Array.from({length: 3}, (_, round) => planReportRoutes({availabilityZone: 'zoneA', peers, round: round}).otherZonePeers).flat());
		assert.equal(reached.size, 6);
	});
});

describe('computeReportInterval', () => {
	it('keeps the reports that an entry takes in a second bounded, however many peers there are', () => {
		for (const count of [1, 8, 30, 100, 300]) {
			assert.ok(count * 1000 / computeReportInterval(count) <= 500);
		}
	});
});
