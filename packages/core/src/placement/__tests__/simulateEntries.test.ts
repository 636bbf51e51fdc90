import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DEFAULT_PLACEMENT_SETTINGS} from '../placementSettings.js';
import {simulateEntries} from './simulateEntries.js';

/** Simulates the peak load of the larger deployment. */
const simulatePeak = (reportIntervalMs: number) => simulateEntries({
	entryCount: 31, prefillTargetCount: 8, decodeTargetCount: 23, longPromptsPerSecond: 250, shortPromptsPerSecond: 160, reportIntervalMs, settings: DEFAULT_PLACEMENT_SETTINGS,
});

describe('placement with many entries', () => {
	it('meets the objective for more requests, with earlier first events, the fresher the reports are', () => {
		const [fresh, medium, stale] = [simulatePeak(25), simulatePeak(62), simulatePeak(200)];
		assert.ok(fresh.withinGoal > medium.withinGoal && medium.withinGoal > stale.withinGoal, `${fresh.withinGoal}, ${medium.withinGoal} and ${stale.withinGoal} of ${fresh.requested}`);
		assert.ok(fresh.meanFirstEventMs < medium.meanFirstEventMs && medium.meanFirstEventMs < stale.meanFirstEventMs);
	});
});
