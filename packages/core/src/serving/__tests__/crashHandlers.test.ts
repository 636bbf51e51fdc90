import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {OUTCOMES} from '@damaskspool/shared';
import {createTestTarget, TEST_ENGINE} from '../../placement/__tests__/createTestPlacement.js';
import {
	ATTEMPT_RESULTS, type AttemptResult, type PeerReport, type SendServingAttempt, type ServingEffect,
} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {createServingState, type ServingState} from '../servingState.js';
import {createTestReport} from './createTestReport.js';

const TARGET_COUNT = 8;
/** Longer than the time in which peers report what a crashed target was running. */
const SETTLED_MS = 1000;

/** Creates the state of an entry with engines that decode, and a stream route that may not be repeated. */
function createTestState({isResumable = false} = {}): ServingState {
	const state = createServingState({
		instanceId: 'entry', processId: 'p', availabilityZone: 'zoneA', region: 'r', usageWindowMs: 5000, leaseMs: 3000, retryRatio: 0.2, retryAllowance: 1000, budgetWindowMs: 10_000,
	});
	reduceServing(state, {
		type: 'configuration.changed',
		configuration: {
			version: 1,
			routes: [{
				name: 'stream', host: 'host', pathPrefix: '/', kind: 'stream', timeoutMs: 2000, goalMs: 300, attemptLimit: 2, priority: 0, isOpen: true, isResumable, shares: [{serviceId: 'engines', weight: 1}],
			}],
			services: new Map([['engines', {serviceId: 'engines', connectionLimit: 100, engine: TEST_ENGINE}]]),
			limits: {
				headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
			ownersByKey: undefined,
		},
		nowMs: 0,
	});
	reduceServing(state, {
		type: 'targets.changed', targets: Array.from({length: TARGET_COUNT}, (_, index) => createTestTarget(`t${index}`)), removed: [], isComplete: true, nowMs: 0,
	});
	return state;
}

/** Lets a call with these shared parts arrive. Every call has another body and another last part. */
function sendCall(state: ServingState, callId: number, {partIds, nowMs}: {partIds: readonly string[]; nowMs: number}): readonly ServingEffect[] {
	return reduceServing(state, {
		type: 'call.arrived',
		callId,
		request: {
			requestId: `request${callId}`, host: 'host', path: '/x', key: undefined, deadlineMs: 3000, bodyBytes: 0, fingerprint: `f${callId}`,
			prompt: {tokens: 300, maxOutputTokens: 10, parts: [...partIds, `own${callId}`].map(partId => ({partId, tokens: 100}))},
		},
		wallMs: nowMs,
		waitedMs: 0, completeForMs: 0,
		nowMs,
	});
}

const findSend = (effects: readonly ServingEffect[]) => effects.find(effect => effect.type === 'attempt.send');
const findProbe = (effects: readonly ServingEffect[]) => effects.find(effect => effect.type === 'target.probe');
const findRefusal = (effects: readonly ServingEffect[]) => effects.find(effect => effect.type === 'call.refuse');

function endAttempt(state: ServingState, {callId, attemptId}: SendServingAttempt, {result, nowMs}: {result: AttemptResult; nowMs: number}): readonly ServingEffect[] {
	return reduceServing(state, {
		type: 'attempt.ended', callId, attemptId, result, isResponseStarted: false, hasRun: false, wallMs: 0, detail: '', nowMs,
	});
}

/** Lets a call fail on its target, which then does not listen any more. Returns the target that was probed. */
function crashTarget(state: ServingState, callId: number, {partIds, nowMs}: {partIds: readonly string[]; nowMs: number}): string | undefined {
	const send = findSend(sendCall(state, callId, {partIds, nowMs}));
	const probe = send && findProbe(endAttempt(state, send, {result: ATTEMPT_RESULTS.unknown, nowMs}));
	if (probe !== undefined) {
		reduceServing(state, {
			type: 'target.probed', target: probe.target, isListening: false, nowMs,
		});
	}

	return probe?.target.targetId;
}

function createPeerReport(poisonParts: PeerReport['poisonParts']): PeerReport {
	return createTestReport({poisonParts});
}

describe('an entry whose targets crash', () => {
	// Guards against a part that crashes one target after the other because no two requests with it are alike.
	it('refuses new requests with the part that crashed three targets as not run, and serves those that share its other parts', () => {
		const state = createTestState();
		for (let callId = 0; callId < 3; callId += 1) {
			assert.ok(crashTarget(state, callId, {partIds: ['common', 'bad'], nowMs: callId}) !== undefined);
		}

		reduceServing(state, {type: 'tick', wallMs: 0, nowMs: SETTLED_MS});
		const refusal = findRefusal(sendCall(state, 10, {partIds: ['common', 'bad'], nowMs: SETTLED_MS}));
		// It has no retry-after, since coming back is of no use.
		assert.deepEqual([refusal?.code, refusal?.outcome, refusal?.retryAfterMs], ['part_quarantined', OUTCOMES.refusedNotRun, undefined]);
		const sound = findSend(sendCall(state, 11, {partIds: ['common', 'good'], nowMs: SETTLED_MS}));
		assert.ok(sound !== undefined);
		endAttempt(state, sound, {result: ATTEMPT_RESULTS.answered, nowMs: SETTLED_MS + 1});
		assert.equal(findRefusal(sendCall(state, 12, {partIds: ['other', 'bad'], nowMs: SETTLED_MS + 2}))?.code, 'part_quarantined');
	});

	it('blames no part for broken connections of targets that still listen', () => {
		const state = createTestState();
		for (let callId = 0; callId < TARGET_COUNT; callId += 1) {
			const send = findSend(sendCall(state, callId, {partIds: ['part'], nowMs: callId}));
			const probe = findProbe(endAttempt(state, send!, {result: ATTEMPT_RESULTS.unknown, nowMs: callId}));
			reduceServing(state, {
				type: 'target.probed', target: probe!.target, isListening: true, nowMs: callId,
			});
		}

		reduceServing(state, {type: 'tick', wallMs: 0, nowMs: SETTLED_MS});
		assert.equal(findRefusal(sendCall(state, 20, {partIds: ['part'], nowMs: SETTLED_MS})), undefined);
	});

	it('takes a target that does not answer the probe for crashed once its registration is gone', () => {
		const state = createTestState();
		for (let callId = 0; callId < 3; callId += 1) {
			const send = findSend(sendCall(state, callId, {partIds: ['bad'], nowMs: callId}));
			const {target} = findProbe(endAttempt(state, send!, {result: ATTEMPT_RESULTS.unknown, nowMs: callId}))!;
			reduceServing(state, {
				type: 'target.probed', target, isListening: undefined, nowMs: callId,
			});
			reduceServing(state, {
				type: 'targets.changed', targets: [], removed: [target.targetId], isComplete: false, nowMs: callId,
			});
		}

		assert.equal(findRefusal(sendCall(state, 20, {partIds: ['bad'], nowMs: SETTLED_MS}))?.code, 'part_quarantined');
	});

	it('does not suspect a request whose answer had begun long before its target crashed', () => {
		const state = createTestState();
		const send = findSend(sendCall(state, 1, {partIds: ['part'], nowMs: 0}))!;
		reduceServing(state, {
			type: 'attempt.began', callId: 1, attemptId: send.attemptId, wallMs: 0, nowMs: 100,
		});
		assert.equal(findProbe(endAttempt(state, send, {result: ATTEMPT_RESULTS.unknown, nowMs: 700})), undefined);
	});

	it('does not run a call again whose part was quarantined meanwhile, and does not say that it has not run', () => {
		const state = createTestState({isResumable: true});
		const send = findSend(sendCall(state, 1, {partIds: ['bad'], nowMs: 0}))!;
		reduceServing(state, {
			type: 'peer.reported', report: createPeerReport({crashes: [], cleared: [], quarantines: [[['bad'], 0, 60_000]]}), wallMs: 0, nowMs: 1,
		});
		const effects = endAttempt(state, send, {result: ATTEMPT_RESULTS.unknown, nowMs: 2});
		assert.equal(findSend(effects), undefined);
		assert.equal(findRefusal(effects)?.outcome, OUTCOMES.refusedUnknown);
	});
});
