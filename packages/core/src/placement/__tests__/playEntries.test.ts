import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DEFAULT_PLACEMENT_SETTINGS} from '../placementSettings.js';
import {playEntries} from './playEntries.js';

/** The peak of the grown deployment, with reports each `reportMs`. */
const playPeak = (reportMs: number) => playEntries({
	entryCount: 31, readerCount: 8, generatorCount: 23, longPerSecond: 250, shortPerSecond: 160, reportMs, settings: DEFAULT_PLACEMENT_SETTINGS,
});

describe('placement by many entries that know one another from reports', () => {
	it('serves more callers in their goal, and sooner, the fresher the reports are', () => {
		const [fresh, aged, old] = [playPeak(25), playPeak(62), playPeak(200)];
		assert.ok(fresh.inGoal > aged.inGoal && aged.inGoal > old.inGoal, `${fresh.inGoal}, ${aged.inGoal} and ${old.inGoal} of ${fresh.asked}`);
		assert.ok(fresh.meanStartMs < aged.meanStartMs && aged.meanStartMs < old.meanStartMs);
	});
});
