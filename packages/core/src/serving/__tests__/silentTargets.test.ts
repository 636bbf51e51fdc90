import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestTarget} from '../../placement/__tests__/createTestPlacement.js';
import {type ServingEffect} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {type RouteKind} from '../servingRecords.js';
import {createServingState, type ServingState} from '../servingState.js';
import {createTestConfiguration, createTestRoute} from './createTestState.js';

const CALL_ID = 1;
/** Later than any target without expected work has to answer. */
const SILENT_MS = 900;

/** Reasons for which a call can not go on elsewhere. */
const OBSTACLES = {
	'no other target serves': {targetIds: ['a'], retryAllowance: 1000},
	'the retry budget is used': {targetIds: ['a', 'b'], retryAllowance: 0},
} as const;

function createState({targetIds, retryAllowance}: {readonly targetIds: readonly string[]; readonly retryAllowance: number}): ServingState {
	const state = createServingState({
		instanceId: 'entry', processId: 'p', availabilityZone: 'zoneA', region: 'r', usageWindowMs: 5000, leaseMs: 3000, retryRatio: 0, retryAllowance, budgetWindowMs: 10_000,
	});
	const routes = [createTestRoute('safe'), createTestRoute('stream', {isResumable: true})];
	reduceServing(state, {type: 'configuration.changed', configuration: {...createTestConfiguration(), routes}, nowMs: 0});
	reduceServing(state, {
		type: 'targets.changed', targets: targetIds.map(targetId => createTestTarget(targetId, {serviceId: 'plain', stage: undefined})), removed: [], isComplete: true, nowMs: 0,
	});
	return state;
}

/** Sends a call whose target does not answer, up to the given tick. Returns the effects of the arrival and of all ticks. */
function sendSilentCall(state: ServingState, kind: RouteKind, untilMs: number): readonly ServingEffect[] {
	const effects = [...reduceServing(state, {
		type: 'call.arrived', callId: CALL_ID, wallMs: 0, waitedMs: 0, completeForMs: 0, nowMs: 0, request: {
			requestId: 'request', host: 'host', path: `/${kind}/x`, key: undefined, deadlineMs: 3000, bodyBytes: 0, prompt: undefined, fingerprint: 'f',
		},
	})];
	for (let nowMs = 250; nowMs <= untilMs; nowMs += 250) {
		effects.push(...reduceServing(state, {type: 'tick', wallMs: nowMs, nowMs}));
	}

	return effects;
}

describe('a call whose target is silent', () => {
	for (const kind of ['safe', 'stream'] as const) {
		for (const [obstacle, options] of Object.entries(OBSTACLES)) {
			it(`goes on waiting when ${obstacle}: ${kind}`, () => {
				const state = createState(options);
				const effects = sendSilentCall(state, kind, SILENT_MS + 500);
				assert.ok(effects.some(effect => effect.type === 'decision.record' && effect.name === 'target.silent'));
				assert.deepEqual(effects.filter(({type}) => type === 'call.refuse' || type === 'attempt.cancel'), []);
				const {attemptId} = effects.find(({type}) => type === 'attempt.send') as Extract<ServingEffect, {type: 'attempt.send'}>;
				const began = reduceServing(state, {
					type: 'attempt.began', callId: CALL_ID, attemptId, wallMs: 0, nowMs: SILENT_MS + 600,
				});
				assert.deepEqual(began, [{type: 'work.report'}]);
				const ended = reduceServing(state, {
					type: 'attempt.ended', callId: CALL_ID, attemptId, result: 'answered', isResponseStarted: true, hasRun: true, wallMs: 0, detail: '', framing: 'length', nowMs: SILENT_MS + 700,
				});
				assert.ok(ended.some(effect => effect.type === 'decision.record' && effect.name === 'call.ended' && effect.detail.outcome === 'answered'));
			});
		}

		it(`goes on elsewhere when it can: ${kind}`, () => {
			const effects = sendSilentCall(createState({targetIds: ['a', 'b'], retryAllowance: 1000}), kind, SILENT_MS);
			assert.deepEqual(effects.filter(({type}) => type === 'attempt.send' || type === 'attempt.cancel').map(({type}) => type), ['attempt.send', 'attempt.cancel', 'attempt.send']);
		});
	}
});
