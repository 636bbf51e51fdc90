import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createFailure, ERROR_CODES, OUTCOMES} from '@damaskspool/shared';
import {type SendAttempt} from '../../reducer/entryEffects.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {type EntryState} from '../../reducer/entryState.js';
import {createAttributes, createReadyState} from '../../request/__tests__/requestFixtures.js';
import {ALL_CUSTOMERS, computeBurnReport, listBurnParts} from '../burnReport.js';

/** Starts a request and returns its first attempt. */
function startRequest(state: EntryState, requestId: string, nowMs: number): SendAttempt {
	const effects = reduceEntry(state, {type: 'request.received', nowMs, attributes: createAttributes({requestId})});
	const attempt = effects.find(effect => effect.type === 'attempt.send');
	assert.ok(attempt);
	return attempt;
}

/** Runs a request whose first token arrives after `firstTokenMs`. */
function answerRequest(state: EntryState, requestId: string, nowMs: number, firstTokenMs: number): void {
	const {attemptId} = startRequest(state, requestId, nowMs);
	reduceEntry(state, {
		type: 'attempt.answered', nowMs: nowMs + firstTokenMs, requestId, attemptId, load: undefined,
	});
	reduceEntry(state, {
		type: 'attempt.finished', nowMs: nowMs + firstTokenMs + 100, requestId, attemptId, generatedTokens: 11,
	});
}

describe('the burn report', () => {
	it('reports how fast each service spends its budget, which customers spend it and why', () => {
		const state = createReadyState();
		for (let request = 0; request < 18; request += 1) {
			answerRequest(state, `quick-${request}`, 1000, 10);
		}

		answerRequest(state, 'late', 1000, 5000);
		for (let attempt = startRequest(state, 'failed', 1000); ;) {
			const effects = reduceEntry(state, {
				type: 'attempt.failed',
				nowMs: 2000,
				requestId: 'failed',
				attemptId: attempt.attemptId,
				failure: createFailure(ERROR_CODES.targetFailed, {outcome: OUTCOMES.refusedUnknown}),
				load: undefined,
				isTargetFault: true,
			});
			const next = effects.find(effect => effect.type === 'attempt.send');
			if (next === undefined) {
				break;
			}

			attempt = next;
		}

		const lines = computeBurnReport(listBurnParts(state.burn, 7000));
		const findLine = (customer: string, level: string) => lines.find(line => line.customer === customer && line.level === level);
		const firstToken = findLine(ALL_CUSTOMERS, 'firstToken');
		assert.equal(firstToken?.requests, 20);
		assert.ok(Math.abs(firstToken.fastBurn - 1) < 1e-9, 'one bad request in twenty spends the budget exactly');
		const success = findLine('c', 'success');
		assert.equal(success?.bad, 1);
		assert.equal(success.share, 1);
		assert.match(success.why, /target_failed 1 times/v);
		assert.equal(findLine(ALL_CUSTOMERS, 'betweenTokens')?.bad, 0);
	});

	it('drops counts from the fast window before the slow one, and sums over entries', () => {
		const state = createReadyState();
		answerRequest(state, 'late', 1000, 5000);
		const later = listBurnParts(state.burn, 600_000);
		assert.equal(later[0]?.fast.requests, 0);
		assert.equal(later[0].slow.requests, 1);
		const [line] = computeBurnReport([...later, ...later]);
		assert.equal(line?.requests, 2);
		assert.equal(line.slowBurn, computeBurnReport(later)[0]?.slowBurn);
	});
});
