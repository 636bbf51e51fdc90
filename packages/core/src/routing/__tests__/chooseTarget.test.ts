import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type TargetState} from '@damaskspool/shared';
import fc from 'fast-check';
import {chooseTarget, recordChoice} from '../chooseTarget.js';
import {ROUTING_POLICY_NAMES} from '../routingPolicyNames.js';
import {createRoutingState} from '../routingState.js';
import {selectSubset, MAX_SUBSET_SIZE} from '../selectSubset.js';
import {
	createChoice, createDemand, createLoad, createTarget, createTargets,
} from './routingFixtures.js';

const SEED = 23;
const STATES: readonly TargetState[] = ['starting', 'serving', 'draining', 'changingRole', 'leaving', 'gone'];

const anyTarget = fc.record({
	isLeaving: fc.boolean(),
	backoffUntilMs: fc.constantFrom(0, 500),
	serviceId: fc.constantFrom('s', 'other'),
	availabilityZone: fc.constantFrom('a', 'b'),
	load: fc.option(fc.record({
		state: fc.constantFrom(...STATES),
		models: fc.constantFrom<string[][]>(['m'], ['other'], ['m', 'other']),
		running: fc.nat(20),
		queuedPrefillTokens: fc.nat(50_000),
		role: fc.constantFrom('mixed' as const, 'prefill' as const, 'decode' as const),
	}), {nil: undefined}),
});

describe('chooseTarget', () => {
	it('chooses an eligible target if there is one, and never one that is leaving, backed off, excluded, not serving or without the model', () => {
		const parameters = [fc.array(anyTarget, {maxLength: 40}), fc.nat(), fc.constantFrom(...ROUTING_POLICY_NAMES)] as const;
		fc.assert(fc.property(...parameters, (rows, randomSeed, policyName) => {
			const targets = rows.map(({load, ...fields}, index) => createTarget(`t${index}`, {
				...fields, load: load === undefined ? undefined : createLoad({targetId: `t${index}`, ...load}),
			}));
			const allowed = targets.filter(target => target.serviceId === 's'
				&& !target.isLeaving && target.backoffUntilMs === 0 && target.targetId !== 't0'
				&& (target.load?.state ?? 'serving') === 'serving' && (target.load?.models ?? ['m']).includes('m'));
			const chosen = chooseTarget(createChoice(targets, {
				routing: createRoutingState(policyName),
				demand: createDemand({randomSeed, excludedTargetIds: new Set(['t0']), prefixHashes: ['h1']}),
			}));
			assert.equal(chosen === undefined, allowed.length === 0);
			assert.ok(chosen === undefined || allowed.includes(chosen));
		}), {seed: SEED, numRuns: 500});
	});

	it('counts its own attempts immediately, so that no target receives an entire burst', () => {
		const choice = createChoice(createTargets(8));
		const counts = new Map<string, number>();
		for (let index = 0; index < 80; index += 1) {
			const demand = createDemand({randomSeed: index * 7_919_993});
			const target = chooseTarget({...choice, demand})!;
			recordChoice({
				...choice, demand, target, requestId: `${index}`, attemptId: `${index}.1`,
			});
			counts.set(target.targetId, (counts.get(target.targetId) ?? 0) + 1);
		}

		assert.equal(counts.size, 8);
		assert.ok(Math.max(...counts.values()) <= 15, JSON.stringify([...counts]));
	});

	it('distributes entries over the targets when they decide at the same time on the same reports', () => {
		const targets = createTargets(16);
		targets[3] = createTarget('t3');
		const counts = new Map<string, number>();
		for (let index = 0; index < 64; index += 1) {
			// Only t3 is idle. Without a random sample, all 64 entries would choose it.
			for (const target of targets) {
				target.load = createLoad({targetId: target.targetId, queuedPrefillTokens: target.targetId === 't3' ? 0 : 300});
			}

			const target = chooseTarget(createChoice(targets, {entryId: `e${index}`, demand: createDemand({randomSeed: index * 67_108_859})}))!;
			counts.set(target.targetId, (counts.get(target.targetId) ?? 0) + 1);
		}

		assert.ok(Math.max(...counts.values()) <= 32, JSON.stringify([...counts]));
	});

	it('prefers the target that received the same prefix before, unless that target is too busy', () => {
		const choice = createChoice(createTargets(8), {demand: createDemand({promptTokens: 4000, prefixHashes: ['p1', 'p2', 'p3', 'p4']})});
		const first = chooseTarget(choice)!;
		recordChoice({
			...choice, target: first, requestId: '1', attemptId: '1.1',
		});
		choice.routing.sentAttempts.clear();
		choice.routing.localLoads.clear();
		assert.equal(chooseTarget({...choice, demand: {...choice.demand, randomSeed: 99}})?.targetId, first.targetId);
		first.load = createLoad({targetId: first.targetId, queuedPrefillTokens: 40_000});
		assert.notEqual(chooseTarget({...choice, demand: {...choice.demand, randomSeed: 99}})?.targetId, first.targetId);
	});

	it('gives an old load report less weight than a new one', () => {
		const targets = createTargets(2);
		targets[0]!.load = createLoad({targetId: 't0', running: 12, queuedPrefillTokens: 20_000});
		targets[1]!.load = createLoad({targetId: 't1', running: 1, queuedPrefillTokens: 1000});
		targets[1]!.loadAtMs = 30_000;
		assert.equal(chooseTarget(createChoice(targets, {nowMs: 0}))?.targetId, 't1');
		assert.equal(chooseTarget(createChoice(targets, {nowMs: 30_000}))?.targetId, 't0');
	});
});

describe('selectSubset', () => {
	it('returns a bounded subset with two thirds in the same zone and one third in other zones', () => {
		const targets = Array.from({length: 300}, (_, index) => createTarget(`t${index}`, {availabilityZone: index % 3 === 0 ? 'a' : 'b'}));
		const choice = createChoice(targets);
		const subset = selectSubset({...choice, serviceId: 's', modelId: 'm'});
		const sameZone = subset.filter(targetId => choice.membership.targets.get(targetId)?.availabilityZone === 'a');
		assert.equal(subset.length, MAX_SUBSET_SIZE);
		assert.equal(sameZone.length, MAX_SUBSET_SIZE * 2 / 3);
	});

	it('includes the targets of a model that only few targets serve', () => {
		const targets = Array.from({length: 300}, (_, index) =>
			createTarget(`t${index}`, {load: createLoad({targetId: `t${index}`, models: [index < 2 ? 'scarce' : 'm']})}));
		const chosen = chooseTarget(createChoice(targets, {demand: createDemand({modelId: 'scarce'})}));
		assert.ok(['t0', 't1'].includes(chosen!.targetId));
	});
});
