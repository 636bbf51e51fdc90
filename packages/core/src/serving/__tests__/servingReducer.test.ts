import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {OUTCOMES} from '@damaskspool/shared';
import {createTestTarget} from '../../placement/__tests__/createTestPlacement.js';
import {
	ATTEMPT_RESULTS, type AttemptResult, type PeerReport, type ServingEffect, type ServingEvent,
} from '../servingMessages.js';
import {reduceServing} from '../servingReducer.js';
import {type RouteKind, type RouteRecord, type ServingConfiguration} from '../servingRecords.js';
import {createServingState, type ServingState} from '../servingState.js';
import {createTestReport} from './createTestReport.js';
import {createTestConfiguration, createTestRoute, createTestState} from './createTestState.js';

function createArrival(callId: number, kind: RouteKind, nowMs: number, fingerprint = `f${callId}`): ServingEvent {
	return {
		type: 'call.arrived',
		callId,
		request: {
			requestId: `request${callId}`, host: 'host', path: `/${kind}/x`, key: undefined, deadlineMs: 3000, bodyBytes: 0, prompt: undefined, fingerprint,
		},
		wallMs: nowMs,
		waitedMs: 0, completeForMs: 0,
		nowMs,
	};
}

const findSend = (effects: readonly ServingEffect[]) => effects.find(effect => effect.type === 'attempt.send');
const findRefusal = (effects: readonly ServingEffect[]) => effects.find(effect => effect.type === 'call.refuse');

describe('reduceServing', () => {
	it('runs a request that may not be retried at most once, and refuses as "not run" only if that is proved', () => {
		const result = fc.constantFrom<AttemptResult>(ATTEMPT_RESULTS.notRun, ATTEMPT_RESULTS.unreached, ATTEMPT_RESULTS.unknown, ATTEMPT_RESULTS.failed);
		const kind = fc.constantFrom<RouteKind>('safe', 'unsafe', 'stream');
		fc.assert(fc.property(kind, fc.array(result, {maxLength: 6}), (routeKind, results) => {
			const state = createTestState();
			let effects = reduceServing(state, createArrival(1, routeKind, 0));
			let mayHaveRun = 0;
			for (const [index, ended] of results.entries()) {
				const send = findSend(effects);
				if (send === undefined) {
					break;
				}

				mayHaveRun += ended === ATTEMPT_RESULTS.notRun || ended === ATTEMPT_RESULTS.unreached ? 0 : 1;
				effects = reduceServing(state, {
					type: 'attempt.ended', callId: 1, attemptId: send.attemptId, result: ended,
					isResponseStarted: false, hasRun: ended === ATTEMPT_RESULTS.failed, wallMs: 0, detail: '', nowMs: index + 1,
				});
				const refusal = findRefusal(effects);
				assert.equal(refusal?.outcome === OUTCOMES.refusedNotRun && mayHaveRun > 0, false);
			}

			assert.ok(routeKind === 'safe' || mayHaveRun <= 1);
		}));
	});

	// Guards against requests to a target that has said that it stops, while the store still lists it as ready or lists it anew.
	it('sends nothing to an incarnation that said that it stops, whatever the store lists, and tells peers once', () => {
		const state = createTestState();
		const leaving = createTestTarget('a', {serviceId: 'plain', stage: undefined});
		const effects = reduceServing(state, {
			type: 'target.noticed', target: leaving, notice: {isLeaving: true, pauseMs: 0}, nowMs: 100,
		});
		assert.ok(effects.some(({type}) => type === 'work.report'));
		assert.deepEqual(state.unreportedLeaving, [['a', leaving.startedAtMs]]);
		assert.deepEqual(reduceServing(state, {
			type: 'target.noticed', target: leaving, notice: {isLeaving: true, pauseMs: 0}, nowMs: 101,
		}), []);
		const changes = [
			{targets: [leaving], removed: [], isComplete: false},
			{targets: [], removed: ['a'], isComplete: false},
			{targets: ['a', 'b', 'c', 'd'].map(targetId => createTestTarget(targetId, {serviceId: 'plain', stage: undefined})), removed: [], isComplete: true},
		];
		for (const [index, change] of changes.entries()) {
			reduceServing(state, {type: 'targets.changed', ...change, nowMs: 10_000 * (index + 1)});
			for (let callId = index * 10; callId < (index + 1) * 10; callId += 1) {
				assert.notEqual(findSend(reduceServing(state, createArrival(callId, 'unsafe', 10_000 * (index + 1))))?.target.targetId, 'a');
			}
		}

		reduceServing(state, {
			type: 'targets.changed', targets: [createTestTarget('a', {serviceId: 'plain', stage: undefined, startedAtMs: 9})], removed: [], isComplete: true, nowMs: 90_000,
		});
		assert.equal(findSend(reduceServing(state, createArrival(100, 'unsafe', 90_000)))?.target.targetId, 'a');
	});

	it('sends nothing to a target that a peer reports as leaving', () => {
		const state = createTestState();
		const {startedAtMs} = createTestTarget('a');
		reduceServing(state, {
			type: 'peer.reported', report: {...createTestReport({entryId: 'peer', sequence: 1}), leaving: [['a', startedAtMs]]}, wallMs: 0, nowMs: 1,
		});
		assert.equal(state.placement.targets.get('a')?.record.isLeaving, true);
	});

	// Guards against more arrivals at targets than the retry budget allows: a prefill that a target does not accept is one.
	it('takes each prefill after one that was not accepted from the retry budget', () => {
		const state = createServingState({
			instanceId: 'entry', processId: 'p', availabilityZone: 'zoneA', region: 'r', usageWindowMs: 5000, leaseMs: 3000, retryRatio: 0, retryAllowance: 4, budgetWindowMs: 10_000,
		});
		const engine = {kvCapacityTokens: 600_000, kvBytesPerToken: 18_432, linkMbps: 180_000};
		reduceServing(state, {
			type: 'configuration.changed', configuration: {
				...createTestConfiguration(), routes: [createTestRoute('stream', {shares: [{serviceId: 'engines', weight: 1}]})], services: new Map([['engines', {serviceId: 'engines', connectionLimit: 100, engine}]]),
			}, nowMs: 0,
		});
		reduceServing(state, {
			type: 'targets.changed', targets: [1, 2, 3, 4, 5, 6].map(index => createTestTarget(`t${index}`, {stage: index < 6 ? 'prefill' : 'decode'})), removed: [], isComplete: true, nowMs: 0,
		});
		const prompt = {tokens: 20_000, maxOutputTokens: 10, parts: [{partId: 'own', tokens: 20_000}]};
		const arrival = createArrival(1, 'stream', 0);
		state.placement.targets.get('t6')!.localWork.prefillMs = 5000;
		let effects = reduceServing(state, arrival.type === 'call.arrived' ? {...arrival, request: {...arrival.request, prompt}} : arrival);
		let sent = 0;
		for (let send = findSend(effects); send?.isPrefillOnly === true; send = findSend(effects)) {
			sent += 1;
			effects = reduceServing(state, {
				type: 'attempt.prefillEnded', callId: 1, attemptId: send.attemptId, handleId: undefined, result: 'notRun', nowMs: sent,
			});
		}

		// The first one is free, and an entry uses half of the allowance.
		assert.equal(sent, 3);
		assert.equal(findRefusal(effects)?.outcome, OUTCOMES.refusedNotRun);
	});

	// Guards against a slot that stays reserved for a call that is refused after its next attempt was planned.
	it('reserves no slot for a call whose second retry the budget refuses', () => {
		const state = createServingState({
			instanceId: 'entry', processId: 'p', availabilityZone: 'zoneA', region: 'r', usageWindowMs: 5000, leaseMs: 3000, retryRatio: 0, retryAllowance: 2, budgetWindowMs: 10_000,
		});
		const engine = {kvCapacityTokens: 600_000, kvBytesPerToken: 18_432, linkMbps: 180_000};
		const routes = [createTestRoute('stream', {shares: [{serviceId: 'engines', weight: 1}]})];
		reduceServing(state, {
			type: 'configuration.changed', configuration: {...createTestConfiguration(), routes, services: new Map([['engines', {serviceId: 'engines', connectionLimit: 100, engine}]])}, nowMs: 0,
		});
		reduceServing(state, {
			type: 'targets.changed', targets: [1, 2, 3, 4].map(index => createTestTarget(`t${index}`, {stage: index < 3 ? 'prefill' : 'decode'})), removed: [], isComplete: true, nowMs: 0,
		});
		for (const targetId of ['t3', 't4']) {
			state.placement.targets.get(targetId)!.localWork.prefillMs = 5000;
		}

		const arrival = createArrival(1, 'stream', 0);
		const prompt = {tokens: 20_000, maxOutputTokens: 10, parts: [{partId: 'own', tokens: 20_000}]};
		const prefill = findSend(reduceServing(state, arrival.type === 'call.arrived' ? {...arrival, request: {...arrival.request, prompt}} : arrival))!;
		const decode = findSend(reduceServing(state, {
			type: 'attempt.prefillEnded', callId: 1, attemptId: prefill.attemptId, handleId: 'h', result: 'answered', nowMs: 1,
		}))!;
		assert.deepEqual([prefill.isPrefillOnly, decode.isPrefillOnly], [true, false]);
		const effects = reduceServing(state, {
			type: 'attempt.ended', callId: 1, attemptId: decode.attemptId, result: 'notRun', isResponseStarted: false, hasRun: false, wallMs: 0, detail: '', nowMs: 2,
		});
		assert.equal(findRefusal(effects)?.outcome, OUTCOMES.refusedNotRun);
		assert.deepEqual([...state.placement.targets.values()].map(({localWork}) => localWork.running), [0, 0, 0, 0]);
	});

	// Guards against requests, retries included, to a target that has turned one away with a retry-after header.
	it('sends nothing to a target during the pause that it asked for, and tells callers the true pause when all targets pause', () => {
		const state = createTestState();
		const pauseTarget = (targetId: string, pauseMs: number, nowMs: number) => reduceServing(state, {
			type: 'target.noticed', target: createTestTarget(targetId, {serviceId: 'plain', stage: undefined}), notice: {isLeaving: false, pauseMs}, nowMs,
		});
		for (const [index, targetId] of ['a', 'b', 'c'].entries()) {
			pauseTarget(targetId, 2000 + index, 0);
		}

		for (let callId = 0; callId < 12; callId += 1) {
			assert.equal(findSend(reduceServing(state, createArrival(callId, 'unsafe', 10)))?.target.targetId, 'd');
		}

		pauseTarget('d', 5000, 20);
		// A shorter pause does not replace a longer one.
		pauseTarget('d', 100, 20);
		const refusal = findRefusal(reduceServing(state, createArrival(20, 'unsafe', 500)));
		assert.deepEqual([refusal?.outcome, refusal?.retryAfterMs], [OUTCOMES.refusedNotRun, 1500]);
		assert.equal(findSend(reduceServing(state, createArrival(21, 'unsafe', 2000)))?.target.targetId, 'a');
		assert.equal(state.placement.targets.get('d')?.pausedUntilMs, 5020);
	});

	// Guards against a fourth run of a poison request: a crashed target that is back from its backoff runs it again, which counts as one crash.
	it('sends a request that crashed a target to other targets when it comes again, and refuses it after three', () => {
		const state = createTestState();
		const targetIds = [1, 2, 3].map(callId => {
			const nowMs = callId * 10_000;
			const send = findSend(reduceServing(state, createArrival(callId, 'unsafe', nowMs, 'poison')));
			assert.ok(send !== undefined);
			reduceServing(state, {
				type: 'attempt.ended', callId, attemptId: send.attemptId, result: 'unknown', isResponseStarted: false, hasRun: false, wallMs: 0, detail: '', nowMs,
			});
			return send.target.targetId;
		});
		assert.equal(new Set(targetIds).size, 3);
		const refusal = findRefusal(reduceServing(state, createArrival(4, 'unsafe', 40_000, 'poison')));
		assert.equal(refusal?.code, 'quarantined');
	});

	it('counts no work on any target after all calls have ended', () => {
		const end = fc.constantFrom<'answered' | 'disconnected' | 'expired' | 'unknown' | 'notRun'>('answered', 'disconnected', 'expired', 'unknown', 'notRun');
		fc.assert(fc.property(fc.array(end, {maxLength: 30}), ends => {
			const state = createTestState();
			const sends = ends.map((_, index) => findSend(reduceServing(state, createArrival(index, 'unsafe', 0))));
			for (const [callId, kind] of ends.entries()) {
				const send = sends[callId];
				if (send === undefined) {
					continue;
				}

				if (kind === 'disconnected' || kind === 'expired') {
					reduceServing(state, {type: `call.${kind}`, callId, nowMs: 5});
					continue;
				}

				let effects = reduceServing(state, {
					type: 'attempt.ended', callId, attemptId: send.attemptId, result: kind, isResponseStarted: false, hasRun: false, wallMs: 0, detail: '', nowMs: 5,
				});
				for (let next = findSend(effects); next !== undefined; next = findSend(effects)) {
					effects = reduceServing(state, {
						type: 'attempt.ended', callId, attemptId: next.attemptId, result: 'answered', isResponseStarted: true, hasRun: true, wallMs: 0, detail: '', nowMs: 6,
					});
				}
			}

			assert.equal(state.calls.size, 0);
			for (const {localWork} of state.placement.targets.values()) {
				assert.deepEqual(localWork, {
					running: 0, prefillMs: 0, urgentPrefillMs: 0, copyMs: 0, tokens: 0,
				});
			}
		}));
	});

	it('removes the work of a failed call from its target only once while another call runs there', () => {
		const state = createTestState();
		const sends = Array.from({length: 5}, (_, callId) => findSend(reduceServing(state, createArrival(callId, 'unsafe', 0))));
		const [first] = sends;
		reduceServing(state, {
			type: 'attempt.ended', callId: 0, attemptId: first!.attemptId, result: 'unknown', isResponseStarted: false, hasRun: false, wallMs: 0, detail: '', nowMs: 5,
		});
		const running = [...state.placement.targets.values()].reduce((sum, {localWork}) => sum + localWork.running, 0);
		assert.equal(running, 4);
	});

	it('refuses a call at its timeout with an unknown outcome and cancels its attempt', () => {
		const state = createTestState();
		reduceServing(state, createArrival(1, 'unsafe', 0));
		const effects = reduceServing(state, {type: 'call.expired', callId: 1, nowMs: 2000});
		assert.equal(findRefusal(effects)?.outcome, OUTCOMES.refusedUnknown);
		assert.ok(effects.some(({type}) => type === 'attempt.cancel'));
	});

	// A busy instance stops a process for longer than a response takes. Responses then wait unread, and none of their targets is at fault.
	it('does not count a target as unresponsive for a time in which the process did not run', () => {
		const tick = (state: ServingState, nowMs: number) => reduceServing(state, {type: 'tick', wallMs: nowMs, nowMs});
		const isSilent = (effects: readonly ServingEffect[]) => effects.some(effect => effect.type === 'decision.record' && effect.name === 'target.silent');
		const state = createTestState();
		tick(state, 0);
		reduceServing(state, createArrival(1, 'safe', 100));
		assert.equal(isSilent(tick(state, 1000)), false);
		assert.equal(isSilent(tick(state, 1250)), false);
		assert.equal(isSilent(tick(state, 1500)), false);
		assert.equal(isSilent(tick(state, 1750)), true);
	});

	it('ignores a configuration older than the current one', () => {
		const state = createTestState();
		reduceServing(state, {type: 'configuration.changed', configuration: createTestConfiguration(9), nowMs: 1});
		reduceServing(state, {type: 'configuration.changed', configuration: createTestConfiguration(8), nowMs: 2});
		assert.equal(state.configuration?.version, 9);
	});

	it('refuses calls as not ready until configuration and targets are known', () => {
		const state = createServingState({
			instanceId: 'entry', processId: 'p', availabilityZone: 'zoneA', region: 'r', usageWindowMs: 5000, leaseMs: 3000, retryRatio: 0.2, retryAllowance: 10, budgetWindowMs: 10_000,
		});
		assert.equal(findRefusal(reduceServing(state, createArrival(1, 'safe', 0)))?.code, 'not_ready');
	});

	it('reads the lease of the duty every second only while it ranks among the first live entries', () => {
		const countReads = (livePeers: number) => {
			const state = createTestState();
			let reads = 0;
			for (let nowMs = 0; nowMs <= 20_000; nowMs += 250) {
				for (let peer = 0; peer < livePeers; peer += 1) {
					reduceServing(state, {
						type: 'peer.reported', report: createTestReport({entryId: `peer${peer}`, sequence: nowMs}), wallMs: nowMs, nowMs,
					});
				}

				for (const effect of reduceServing(state, {type: 'tick', wallMs: nowMs, nowMs})) {
					if (effect.type === 'lease.read') {
						reads += 1;
						reduceServing(state, {
							type: 'lease.readEnded', dutyName: effect.dutyName, callId: effect.callId, nowMs, result: {
								kind: 'read', version: 1 + Math.floor(nowMs / 1000), record: {
									holder: 'other', epoch: 1, nonce: String(nowMs), durationMs: 3000,
								},
							},
						});
					}
				}
			}

			return reads;
		};

		assert.ok(countReads(0) >= 19, `alone ${countReads(0)}`);
		assert.ok(countReads(40) <= 2, `among many ${countReads(40)}`);
	});

	it('merges prefix uses and usage counts of a report that arrives out of order, but ignores its work', () => {
		const state = createTestState();
		reduceServing(state, {
			type: 'peer.reported', report: {...createTestReport({entryId: 'peer', sequence: 2}), work: [['target0', 1, 0, 0, 0]]}, wallMs: 0, nowMs: 10,
		});
		const late = {
			...createTestReport({entryId: 'peer', sequence: 1}), work: [['target0', 7, 0, 0, 0]] as const, prefixUses: [['part', 'target0', 2000]] as const, usage: [[0, {customer: 3}]] as const,
		};
		reduceServing(state, {
			type: 'peer.reported', report: late, wallMs: 0, nowMs: 20,
		});
		assert.equal(state.placement.peers.get('peer')?.workByTarget.get('target0')?.running, 1);
		assert.ok(state.placement.prefixLocations.has('part', 'target0'));
		assert.deepEqual(state.usage.sum(0), {customer: 3});
	});

	it('assumes time spent before arrival only if the deadline is shorter than that of any first request of the route', () => {
		const state = createTestState();
		const spentMs = [3000, 2600, 2100].map((deadlineMs, callId) => {
			const arrival = createArrival(callId, 'safe', 0) as Extract<ServingEvent, {type: 'call.arrived'}>;
			reduceServing(state, {...arrival, request: {...arrival.request, deadlineMs}});
			return state.calls.get(callId)?.spentBeforeArrivalMs;
		});
		assert.deepEqual(spentMs, [0, 0, 900]);
	});
});
