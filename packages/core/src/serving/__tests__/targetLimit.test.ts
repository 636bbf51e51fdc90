import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createTestTarget} from '../../placement/__tests__/createTestPlacement.js';
import {takeReportedLimits} from '../limitUpdates.js';
import {type PeerReport, type ServingEffect} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {type RouteRecord, type ServingConfiguration} from '../servingRecords.js';
import {createServingState, type ServingState} from '../servingState.js';

const STEP_MS = 20;
const REPORT_INTERVAL_MS = 100;
const FULL_REPORT_INTERVAL_MS = 900;
const TICK_INTERVAL_MS = 260;
/** The users' `ContactMs`, and their rule: in each span, one and a half times what the limit allows, and five requests more. */
const CONTACT_MS = 3000;
const SPAN_MS = 4000;
const LIMIT_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;

const ROUTE: RouteRecord = {
	name: 'safe', host: 'host', pathPrefix: '/', kind: 'safe', timeoutMs: 2000, goalMs: 300, attemptLimit: 3, priority: 0, isOpen: true, isResumable: false, shares: [{serviceId: 'plain', weight: 1}],
};

const CONFIGURATION: ServingConfiguration = {
	version: 1,
	routes: [ROUTE],
	services: new Map([['plain', {serviceId: 'plain', connectionLimit: 100, engine: undefined}]]),
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
	ownersByKey: undefined,
};

const createPlainTarget = (targetId: string) => createTestTarget(targetId, {serviceId: 'plain', stage: undefined, slots: 12});

function createEntry(instanceId: string): ServingState {
	const state = createServingState({
		instanceId, processId: `${instanceId}.1`, availabilityZone: 'zoneA', region: 'r', usageWindowMs: 5000, leaseMs: 3000, retryRatio: 0.2, retryAllowance: 1000, budgetWindowMs: 10_000,
	});
	reduceServing(state, {type: 'configuration.changed', configuration: CONFIGURATION, nowMs: 0});
	reduceServing(state, {
		type: 'targets.changed', targets: ['limited', 'other1', 'other2'].map(targetId => createPlainTarget(targetId)), removed: [], isComplete: true, nowMs: 0,
	});
	return state;
}

function createRandom(seed: number): () => number {
	let value = seed + 1;
	return () => {
		value = ((value * 1_103_515_245) + 12_345) % (2 ** 31);
		return value / (2 ** 31);
	};
}

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

/** Plays a load on entries before three targets, one of which names a limit in each answer. Returns when requests arrived there. */
function playLoad(options: LoadOptions) {
	const {entryCount, requestsPerSecond, callsPerSecond, reportLoss, reportDelayMs, skew, seed, lengthMs = 12_000, limitEndsAtMs = Number.POSITIVE_INFINITY} = options;
	const random = createRandom(seed);
	const entries = Array.from({length: entryCount}, (_, index) => createEntry(`entry${index}`));
	const scheduled = new Map<number, Array<() => void>>();
	const arrivals: number[] = [];
	let nowMs = 0;
	let callId = 0;

	const schedule = (afterMs: number, run: () => void) => {
		const slot = Math.ceil((nowMs + Math.max(1, afterMs)) / STEP_MS);
		scheduled.set(slot, [...scheduled.get(slot) ?? [], run]);
	};

	const runEffects = (state: ServingState, effects: readonly ServingEffect[]) => {
		for (const effect of effects) {
			if (effect.type === 'attempt.send') {
				answer(state, effect);
			}
		}
	};

	const answer = (state: ServingState, {callId: answeredId, attemptId, target}: Extract<ServingEffect, {type: 'attempt.send'}>) => {
		const requestSentAtMs = nowMs;
		if (target.targetId === 'limited') {
			arrivals.push(nowMs);
		}

		schedule(20 + (random() * 300), () => {
			const limit = target.targetId === 'limited' && nowMs < limitEndsAtMs ? requestsPerSecond : Number.POSITIVE_INFINITY;
			reduceServing(state, {
				type: 'target.noticed', target, notice: {isLeaving: false, pauseMs: 0, requestsPerSecond: limit}, requestSentAtMs, nowMs,
			});
			runEffects(state, reduceServing(state, {
				type: 'attempt.ended', callId: answeredId, attemptId, result: 'answered', isResponseStarted: true, hasRun: true, wallMs: nowMs, detail: '', nowMs,
			}));
		});
	};

	const report = (state: ServingState, isComplete: boolean, sequence: number) => {
		const message: PeerReport = {
			entryId: state.instanceId, processId: state.processId, availabilityZone: 'zoneA', sequence, wallMs: nowMs, work: [], prefixUses: [], leaving: [], crashes: [],
			limits: takeReportedLimits(state, nowMs, isComplete), poisonParts: {crashes: [], cleared: [], quarantines: []}, storeEra: 0, sealed: [], usage: [],
		};
		for (const peer of entries.filter(other => other !== state)) {
			if (random() >= reportLoss) {
				schedule(random() * reportDelayMs, () => {
					deliver(peer, message);
				});
			}
		}
	};

	const deliver = (peer: ServingState, message: PeerReport) => {
		reduceServing(peer, {
			type: 'peer.reported', report: message, wallMs: nowMs, nowMs,
		});
	};

	const runStep = (step: number) => {
		nowMs = step * STEP_MS;
		for (const run of scheduled.get(step) ?? []) {
			run();
		}

		scheduled.delete(step);
		for (const state of entries) {
			if (nowMs % REPORT_INTERVAL_MS === 0) {
				report(state, nowMs % FULL_REPORT_INTERVAL_MS === 0, step + 1);
			}

			if (nowMs % TICK_INTERVAL_MS === 0) {
				runEffects(state, reduceServing(state, {type: 'tick', wallMs: nowMs, nowMs}));
			}
		}

		for (let expected = callsPerSecond * STEP_MS / 1000; expected > 0; expected -= 1) {
			if (random() >= expected) {
				continue;
			}

			callId += 1;
			const state = random() < skew ? entries[0]! : entries[Math.floor(random() * entryCount)]!;
			runEffects(state, reduceServing(state, {
				type: 'call.arrived', callId, wallMs: nowMs, waitedMs: 0, nowMs, request: {
					requestId: `request${callId}`, host: 'host', path: '/x', key: undefined, deadlineMs: 3000, bodyBytes: 0, prompt: undefined, fingerprint: `f${callId}`,
				},
			}));
		}
	};

	for (let step = 0; step * STEP_MS < lengthMs; step += 1) {
		runStep(step);
	}

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
			const {arrivals} = playLoad({...load, lengthMs: 9000});
			const most = countMostArrivals(arrivals);
			assert.ok(most <= computeAllowed(load.requestsPerSecond), `${most} requests in ${SPAN_MS} ms`);
		}), {numRuns: 40, seed: 30, endOnFailure: true});
	});

	it('use most of a limit under a load that needs it', () => {
		for (const [entryCount, requestsPerSecond] of [[1, 4], [6, 4.3], [6, 20], [24, 8]] as const) {
			const {arrivals} = playLoad({
				entryCount, requestsPerSecond, callsPerSecond: 250, reportLoss: 0, reportDelayMs: 50, skew: 0, seed: 7,
			});
			const perSecond = arrivals.filter(atMs => atMs >= CONTACT_MS).length / 9;
			assert.ok(perSecond >= 0.7 * requestsPerSecond, `${perSecond.toFixed(1)} of ${requestsPerSecond} requests per second by ${entryCount} entries`);
		}
	});

	it('notice the end of a limit, even of one near zero', () => {
		for (const requestsPerSecond of [0, 4.3]) {
			const {arrivals} = playLoad({
				entryCount: 6, requestsPerSecond, callsPerSecond: 200, reportLoss: 0.05, reportDelayMs: 50, skew: 0, seed: 8, lengthMs: 20_000, limitEndsAtMs: 9000,
			});
			const lastSecond = arrivals.filter(atMs => atMs >= 19_000).length;
			assert.ok(lastSecond >= 30, `${lastSecond} requests in the last second`);
		}
	});

	it('end a limit that nobody has heard of for a while only by an answer to a later request', () => {
		const state = createEntry('entry');
		const target = createPlainTarget('limited');
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
		const state = createEntry('entry');
		const target = createPlainTarget('limited');
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
});
