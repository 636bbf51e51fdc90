import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type ServingEffect} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {
	addPrompt, applyEngineConfiguration, createFleetCall, createFleetState, createFleetTarget, createTestFleet, STEP_MS, type TestFleetEntry,
} from './createTestFleet.js';

/** The users' `ContactMs`, and their rule: in each span, one and a half times what the limit allows, and five requests more. */
const CONTACT_MS = 3000;
const SPAN_MS = 4000;
const LIMIT_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;

const TARGETS = ['limited', 'other1', 'other2'].map(targetId => createFleetTarget(targetId));

type LoadOptions = {
	readonly entryCount: number;
	readonly requestsPerSecond: number;
	/** Over all entries. */
	readonly callsPerSecond: number;
	/** Share of the reports between entries that are lost. */
	readonly reportLoss: number;
	readonly reportDelayMs: number;
	/** Share of the calls that the first entry receives, in addition to its part of the rest. */
	readonly skew: number;
	readonly seed: number;
	readonly lengthMs?: number;
	readonly limitEndsAtMs?: number;
};

/** Simulates a load on entries before three targets, one of which names a limit in each answer. Returns when requests arrived there. */
function simulateLoad(options: LoadOptions) {
	const {requestsPerSecond, callsPerSecond, skew, lengthMs = 12_000, limitEndsAtMs = Number.POSITIVE_INFINITY} = options;
	const arrivals: number[] = [];
	let callId = 0;

	const answer = (entry: TestFleetEntry, {callId: answeredId, attemptId, target}: Extract<ServingEffect, {type: 'attempt.send'}>) => {
		const requestSentAtMs = fleet.getNowMs();
		if (target.targetId === 'limited') {
			arrivals.push(requestSentAtMs);
		}

		fleet.schedule(20 + (fleet.random() * 300), () => {
			const nowMs = fleet.getNowMs();
			const limit = target.targetId === 'limited' && nowMs < limitEndsAtMs ? requestsPerSecond : Number.POSITIVE_INFINITY;
			fleet.dispatch(entry, {
				type: 'target.noticed', target, notice: {isLeaving: false, pauseMs: 0, requestsPerSecond: limit}, requestSentAtMs, nowMs,
			});
			fleet.dispatch(entry, {
				type: 'attempt.ended', callId: answeredId, attemptId, result: 'answered', isResponseStarted: true, hasRun: true, wallMs: nowMs, detail: '', nowMs,
			});
		});
	};

	const fleet = createTestFleet({
		...options,
		onEffect(entry, effect) {
			if (effect.type === 'attempt.send') {
				answer(entry, effect);
			}
		},
	}, () => TARGETS);

	const sendCall = () => {
		callId += 1;
		const index = fleet.random() < skew ? 0 : Math.floor(fleet.random() * fleet.entries.length);
		fleet.dispatch(fleet.entries[index]!, createFleetCall(callId, {kind: 'safe', requestId: `request${callId}`}, fleet.getNowMs()));
	};

	fleet.run(lengthMs, () => {
		for (let expected = callsPerSecond * STEP_MS / 1000; expected > 0; expected -= 1) {
			if (fleet.random() < expected) {
				sendCall();
			}
		}
	});
	return {arrivals};
}

/** Returns the largest number of arrivals in a span, from the time on that a limit binds. */
function countMostArrivals(arrivals: readonly number[]): number {
	const binding = arrivals.filter(atMs => atMs >= CONTACT_MS);
	return Math.max(0, ...binding.map(startMs => binding.filter(atMs => atMs >= startMs && atMs < startMs + SPAN_MS).length));
}

const computeAllowed = (requestsPerSecond: number) => (LIMIT_FACTOR * requestsPerSecond * SPAN_MS / 1000) + EXTRA_REQUESTS;

describe('entries with a target that names a limit', () => {
	it('send it together no more than it takes, whatever their number, the load and the losses between them', () => {
		const options = fc.record({
			entryCount: fc.constantFrom(1, 2, 6, 24, 60),
			requestsPerSecond: fc.oneof(fc.double({min: 0, max: 12, noNaN: true}), fc.constantFrom(0, 0.1, 40)),
			callsPerSecond: fc.constantFrom(20, 100, 250),
			reportLoss: fc.constantFrom(0, 0.05, 0.3),
			reportDelayMs: fc.constantFrom(5, 250),
			skew: fc.constantFrom(0, 0.6),
			seed: fc.nat(100_000),
		});
		fc.assert(fc.property(options, load => {
			const {arrivals} = simulateLoad({...load, lengthMs: 9000});
			const most = countMostArrivals(arrivals);
			assert.ok(most <= computeAllowed(load.requestsPerSecond), `${most} requests in ${SPAN_MS} ms`);
		}), {numRuns: 40, seed: 30, endOnFailure: true});
	});

	it('use most of a limit under a load that needs it', () => {
		for (const [entryCount, requestsPerSecond] of [[1, 4], [6, 4.3], [6, 20], [24, 8]] as const) {
			const {arrivals} = simulateLoad({
				entryCount, requestsPerSecond, callsPerSecond: 250, reportLoss: 0, reportDelayMs: 50, skew: 0, seed: 7,
			});
			const perSecond = arrivals.filter(atMs => atMs >= CONTACT_MS).length / 9;
			assert.ok(perSecond >= 0.7 * requestsPerSecond, `${perSecond.toFixed(1)} of ${requestsPerSecond} requests per second by ${entryCount} entries`);
		}
	});

	it('notice the end of a limit, even of one near zero', () => {
		for (const requestsPerSecond of [0, 4.3]) {
			const {arrivals} = simulateLoad({
				entryCount: 6, requestsPerSecond, callsPerSecond: 200, reportLoss: 0.05, reportDelayMs: 50, skew: 0, seed: 8, lengthMs: 20_000, limitEndsAtMs: 9000,
			});
			const lastSecond = arrivals.filter(atMs => atMs >= 19_000).length;
			assert.ok(lastSecond >= 30, `${lastSecond} requests in the last second`);
		}
	});

	it('end a limit that nobody has heard of for a while only by an answer to a later request', () => {
		const state = createFleetState('entry', 1, TARGETS);
		const target = createFleetTarget('limited');
		const notice = (requestsPerSecond: number, requestSentAtMs: number | undefined, nowMs: number) => {
			reduceServing(state, {
				type: 'target.noticed', target, notice: {isLeaving: false, pauseMs: 0, requestsPerSecond}, ...(requestSentAtMs !== undefined && {requestSentAtMs}), nowMs,
			});
			return state.placement.targets.get('limited')!.limitShare !== undefined;
		};

		assert.equal(notice(4, 0, 100), true);
		assert.equal(notice(Number.POSITIVE_INFINITY, 50, 120), true);
		assert.equal(notice(Number.POSITIVE_INFINITY, undefined, 130), true);
		reduceServing(state, {type: 'tick', wallMs: 0, nowMs: 60_000});
		assert.equal(state.placement.targets.get('limited')!.limitShare !== undefined, true);
		assert.equal(notice(Number.POSITIVE_INFINITY, 60_100, 60_200), false);
	});

	it('forget a limit when the target starts again', () => {
		const state = createFleetState('entry', 1, TARGETS);
		const target = createFleetTarget('limited');
		reduceServing(state, {
			type: 'target.noticed', target, notice: {isLeaving: false, pauseMs: 0, requestsPerSecond: 1}, requestSentAtMs: 0, nowMs: 10,
		});
		reduceServing(state, {
			type: 'targets.changed', targets: [{...target, startedAtMs: 77}], removed: [], isComplete: false, nowMs: 20,
		});
		assert.equal(state.placement.targets.get('limited')!.limitShare, undefined);
		reduceServing(state, {
			type: 'target.noticed', target, notice: {isLeaving: false, pauseMs: 0, requestsPerSecond: 1}, requestSentAtMs: 0, nowMs: 30,
		});
		assert.equal(state.placement.targets.get('limited')!.limitShare, undefined);
	});

	// Guards against prompts that are prefilled at the same time for a target that takes only one of them.
	it('send it only the decodes for which they had room when the prefills began', () => {
		const targets = [createFleetTarget('prefill1', {stage: 'prefill'}), createFleetTarget('limited', {stage: 'decode'}), createFleetTarget('other', {stage: 'decode', slots: 1000})];
		const state = createFleetState('entry', 1, targets);
		applyEngineConfiguration(state);
		reduceServing(state, {
			type: 'target.noticed', target: targets[1]!, notice: {isLeaving: false, pauseMs: 0, requestsPerSecond: 1}, requestSentAtMs: 0, nowMs: 0,
		});
		// Prefills at the targets that decode would take too long.
		for (const targetId of ['limited', 'other']) {
			state.placement.targets.get(targetId)!.localWork.prefillMs = 5000;
		}

		const findSends = (effects: readonly ServingEffect[]) => effects.filter(effect => effect.type === 'attempt.send');
		const nowMs = 5000;
		state.placement.targets.get('other')!.localWork.running = 900;
		const prefills = [1, 2, 3, 4].flatMap(callId => findSends(reduceServing(state, addPrompt(createFleetCall(callId, {kind: 'stream', requestId: `r${callId}`}, nowMs), 3000))));
		assert.deepEqual(prefills.map(({isPrefillOnly}) => isPrefillOnly), [true, true, true, true]);
		const decodes = prefills.flatMap(({callId, attemptId}) => findSends(reduceServing(state, {
			type: 'attempt.prefillEnded', callId, attemptId, handleId: 'h', result: 'answered', nowMs: nowMs + 100,
		})));
		assert.deepEqual(decodes.map(({target}) => target.targetId), ['limited', 'other', 'other', 'other']);
	});
});
