import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MINUTE_MS, SECOND_MS, type TargetRole} from '@damaskspool/shared';
import fc from 'fast-check';
import {addForecast, advanceDemand, createDemand} from '../demandAverages.js';
import {DEFAULT_PLAN_SETTINGS} from '../planSettings.js';
import {planZone} from '../planZone.js';
import {
	type ServiceDemand, type TargetSnapshot, type ZonePlanInput, type ZoneStep,
} from '../zonePlan.js';

const SEED = 31;
const ROLES: readonly TargetRole[] = ['mixed', 'prefill', 'decode'];
const NOW_MS = 100 * MINUTE_MS;

function createTargetSnapshot(index: number, overrides: Partial<TargetSnapshot> = {}): TargetSnapshot {
	return {
		targetId: `t${index}`,
		serviceId: 's',
		role: 'mixed',
		state: 'serving',
		models: ['m'],
		inRoleSinceMs: 0,
		queuedPrefillTokens: 0,
		running: 0,
		freePieces: 64,
		totalPieces: 64,
		...overrides,
	};
}

function createConstantDemand(prefill: number, generated: number): ServiceDemand {
	return {
		...createDemand('s'),
		shortPrefillTokensRate: prefill,
		longPrefillTokensRate: prefill,
		shortGeneratedTokensRate: generated,
		longGeneratedTokensRate: generated,
	};
}

function createInput(targets: readonly TargetSnapshot[], demand: ServiceDemand, overrides: Partial<ZonePlanInput> = {}): ZonePlanInput {
	return {
		nowMs: NOW_MS, availabilityZone: 'a', targets, demands: [demand], ...overrides,
	};
}

/** Applies a step immediately. */
function applyStep(targets: readonly TargetSnapshot[], step: ZoneStep, index: number): TargetSnapshot[] {
	if (step.kind === 'startTarget') {
		return [...targets, createTargetSnapshot(100 + index)];
	}

	if (step.kind === 'stopTarget') {
		return targets.filter(target => target.targetId !== step.targetId);
	}

	return targets.map(target => step.kind === 'changeRole' && target.targetId === step.targetId ? {...target, role: step.role} : target);
}

const roleArbitrary = fc.constantFrom(...ROLES);
const rolesArbitrary = fc.array(roleArbitrary, {minLength: 1, maxLength: 12});
const rateArbitrary = fc.integer({min: 0, max: 150_000});

describe('planZone', () => {
	it('plans no step while one is in progress', () => {
		fc.assert(fc.property(rolesArbitrary, rateArbitrary, rateArbitrary, fc.constantFrom('changingRole' as const, 'draining' as const), (roles, prefill, generated, state) => {
			const targets = roles.map((role, index) => createTargetSnapshot(index, {role, ...(index === 0 && {state})}));
			assert.equal(planZone(createInput(targets, createConstantDemand(prefill, generated))).step.kind, 'none');
		}), {seed: SEED});
	});

	it('never leaves demand for prefill or decode without a suitable target, not even during the step', () => {
		fc.assert(fc.property(rolesArbitrary, rateArbitrary, rateArbitrary, (roles, prefill, generated) => {
			const targets = roles.map((role, index) => createTargetSnapshot(index, {role}));
			const demand = addForecast(createConstantDemand(prefill, generated), 0);
			const {step} = planZone(createInput(targets, demand));
			if (step.kind !== 'changeRole' && step.kind !== 'stopTarget') {
				return;
			}

			const others = targets.filter(target => target.targetId !== step.targetId).map(target => target.role);
			assert.ok(prefill === 0 || others.some(role => role !== 'decode'));
			assert.ok(generated === 0 || others.some(role => role !== 'prefill'));
		}), {seed: SEED, numRuns: 500});
	});

	it('stops changing roles under a constant workload mix', () => {
		fc.assert(fc.property(rolesArbitrary, rateArbitrary, rateArbitrary, (roles, prefill, generated) => {
			let targets = roles.map((role, index) => createTargetSnapshot(index, {role}));
			const demand = createConstantDemand(prefill, generated / 50);
			let steps = 0;
			for (;;) {
				const {step} = planZone(createInput(targets, demand));
				if (step.kind !== 'changeRole') {
					break;
				}

				targets = applyStep(targets, step, steps);
				steps += 1;
				assert.ok(steps <= 3 * roles.length, 'the roles keep changing');
			}
		}), {seed: SEED, numRuns: 500});
	});

	it('keeps a reserve of mixed targets', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 12}), rateArbitrary, (count, prefill) => {
			let targets = Array.from({length: count}, (_, index) => createTargetSnapshot(index));
			for (let step = 0; step < 40; step += 1) {
				const plan = planZone(createInput(targets, createConstantDemand(prefill, 1)));
				targets = plan.step.kind === 'changeRole' ? applyStep(targets, plan.step, step) : targets;
			}

			const mixed = targets.filter(target => target.role === 'mixed').length;
			assert.ok(mixed >= Math.ceil(count * DEFAULT_PLAN_SETTINGS.mixedReserveShare));
		}), {seed: SEED});
	});

	it('changes a role for a mix of nearly only prefill, but not before the dwell time ends', () => {
		const targets = [0, 1, 2, 3].map(index => createTargetSnapshot(index));
		const demand = createConstantDemand(48_000, 10);
		assert.equal(planZone(createInput(targets, demand)).step.kind, 'changeRole');
		const recentlyChanged = targets.map(target => ({...target, inRoleSinceMs: NOW_MS - SECOND_MS}));
		assert.notEqual(planZone(createInput(recentlyChanged, demand)).step.kind, 'changeRole');
	});

	it('changes no role if refilling the prefix cache would take longer than the dwell time', () => {
		const targets = [0, 1, 2, 3].map(index => createTargetSnapshot(index, {totalPieces: 10_000}));
		assert.notEqual(planZone(createInput(targets, createConstantDemand(48_000, 10))).step.kind, 'changeRole');
	});

	it('keeps the roles while the targets absorb the mix', () => {
		const targets = [0, 1, 2, 3].map(index => createTargetSnapshot(index));
		assert.equal(planZone(createInput(targets, createConstantDemand(20_000, 10))).step.kind, 'none');
	});

	it('changes no role for a burst that the long average contradicts', () => {
		const targets = [0, 1, 2, 3].map(index => createTargetSnapshot(index));
		const demand = {...createConstantDemand(47_000, 10), longPrefillTokensRate: 100, longGeneratedTokensRate: 3000};
		assert.notEqual(planZone(createInput(targets, demand)).step.kind, 'changeRole');
	});
});

describe('planZone scaling', () => {
	it('starts a target ahead of forecast demand, and only one at a time', () => {
		const targets = [0, 1].map(index => createTargetSnapshot(index));
		const demand = {...createConstantDemand(5000, 100), forecastPrefillTokensRate: 24_000, forecastGeneratedTokensRate: 100};
		assert.deepEqual(planZone(createInput(targets, demand)).step, {kind: 'startTarget', serviceId: 's'});
		const starting = [...targets, createTargetSnapshot(2, {state: 'starting'})];
		assert.equal(planZone(createInput(starting, demand)).step.kind, 'none');
	});

	it('starts only at a lower headroom if another zone is cheaper', () => {
		const targets = [0, 1].map(index => createTargetSnapshot(index));
		const input = createInput(targets, createConstantDemand(20_000, 850));
		assert.equal(planZone(input).step.kind, 'startTarget');
		assert.equal(planZone({...input, hasCheaperZone: true}).step.kind, 'none');
	});

	it('stops no target that the forecast needs, none without a forecast, and never the last one', () => {
		const targets = [0, 1, 2].map(index => createTargetSnapshot(index));
		const lowDemand = createConstantDemand(1000, 10);
		assert.equal(planZone(createInput(targets, lowDemand)).step.kind, 'none');
		assert.equal(planZone(createInput(targets, addForecast(lowDemand, MINUTE_MS))).step.kind, 'stopTarget');
		const risingDemand = {...lowDemand, forecastPrefillTokensRate: 20_000, forecastGeneratedTokensRate: 10};
		assert.equal(planZone(createInput(targets, risingDemand)).step.kind, 'none');
		assert.equal(planZone(createInput(targets.slice(0, 1), addForecast(lowDemand, MINUTE_MS))).step.kind, 'none');
	});

	it('does not both start and stop targets under constant demand', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 8}), rateArbitrary, fc.integer({min: 0, max: 4000}), (count, prefill, generated) => {
			const demand = addForecast(createConstantDemand(prefill, generated), MINUTE_MS);
			let targets = Array.from({length: count}, (_, index) => createTargetSnapshot(index));
			const kinds = new Set<string>();
			for (let index = 0; index < 60; index += 1) {
				const {step} = planZone(createInput(targets, demand));
				kinds.add(step.kind);
				targets = applyStep(targets, step, index);
			}

			assert.ok(!(kinds.has('startTarget') && kinds.has('stopTarget')));
		}), {seed: SEED});
	});

	it('plans no step for plain services', () => {
		const targets = [0, 1].map(index => createTargetSnapshot(index, {totalPieces: 0}));
		assert.equal(planZone(createInput(targets, addForecast(createConstantDemand(0, 0), MINUTE_MS))).step.kind, 'none');
	});
});

describe('demand averages', () => {
	it('approach the sampled rates, the short average faster than the long one', () => {
		let demand = createDemand('s');
		for (let index = 0; index < 10; index += 1) {
			demand = advanceDemand(demand, {prefillTokens: 1000, generatedTokens: 10, durationMs: SECOND_MS});
		}

		assert.ok(demand.shortPrefillTokensRate > demand.longPrefillTokensRate);
		assert.ok(demand.shortPrefillTokensRate < 1000 && demand.longPrefillTokensRate > 0);
		assert.ok(addForecast(demand, MINUTE_MS).forecastPrefillTokensRate! > demand.shortPrefillTokensRate);
	});
});
