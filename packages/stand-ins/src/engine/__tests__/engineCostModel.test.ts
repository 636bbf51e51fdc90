import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLaggedLog} from '../createLaggedLog.js';
import {planStep} from '../engineCostModel.js';
import {resolveEngineSettings} from '../engineOptions.js';

const SETTINGS = resolveEngineSettings({models: []});

function createSequences(decoding: number, prefilling: number): Array<{remainingPrefillTokens: number}> {
	return [
		...Array.from({length: decoding}, () => ({remainingPrefillTokens: 0})),
		...Array.from({length: prefilling}, () => ({remainingPrefillTokens: 5000})),
	];
}

describe('the cost model of the engine', () => {
	it('plans a longer step for a larger batch and for prefill in the same step', () => {
		const durations = [[1, 0], [8, 0], [8, 1]].map(([decoding, prefilling]) =>
			planStep(createSequences(decoding!, prefilling!), 'mixed', SETTINGS).durationMs);
		assert.ok(durations[0]! < durations[1]! && durations[1]! < durations[2]!);
	});

	it('gives prefill more tokens of a step in the role mixed than in decode, and most in prefill', () => {
		const tokens = (['decode', 'mixed', 'prefill'] as const).map(role =>
			planStep(createSequences(1, 1), role, SETTINGS).prefills[0]!.tokens);
		assert.deepEqual(tokens, tokens.toSorted((left, right) => left - right));
		assert.equal(new Set(tokens).size, 3);
	});

	it('publishes cache events after a delay and with gaps', () => {
		let nowMs = 0;
		const log = createLaggedLog({lagMs: 100, gapEvery: 3, readClock: () => nowMs});
		for (const hash of ['a', 'b', 'c', 'd']) {
			log.append('stored', hash);
		}

		assert.deepEqual(log.list(0), []);
		nowMs = 100;
		assert.deepEqual(log.list(0).map(event => event.sequence), [1, 2, 4]);
		assert.deepEqual(log.list(2).map(event => event.hash), ['d']);
	});
});
