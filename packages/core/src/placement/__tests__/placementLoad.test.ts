/** Plays loads through placement alone and checks what callers would get: no network, no clock. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {STAGES} from '../../serving/servingRecords.js';
import {placeCall} from '../placeCall.js';
import {type GenerationPlan, placeGeneration} from '../placeGeneration.js';
import {DEFAULT_PLACEMENT_SETTINGS, type PlacementSettings} from '../placementSettings.js';
import {applyTargets, createPlacementState} from '../placementState.js';
import {
	createTestDemand, createTestPlacement, createTestTarget, TEST_ENGINE,
} from './createTestPlacement.js';

/** Shared parts of the played load, as in the users' sheets. */
const SHARED_PARTS = 182;
const GOAL_MS = 300;
const PLAYED_MS = 10_000;
/** Time for which a generation holds its slot after its first event. */
const GENERATE_MS = 500;

type Played = {readonly inGoal: number; readonly refused: number; readonly asked: number};

/** Plays long prompts at a steady rate, their shared parts spread over the targets or never kept; each keeps its slot and reading for as long as its plan says. */
function playLongPrompts(perSecond: number, settings: PlacementSettings, isKept = true): Played {
	const state = createTestPlacement([STAGES.prefill, STAGES.prefill, ...Array.from({length: 6}, () => STAGES.decode)]);
	for (let part = 0; part < (isKept ? SHARED_PARTS : 0); part += 1) {
		state.homes.recordUse(`shared${part}`, `target${part % 8}`, 13_300);
	}

	const ends: Array<{atMs: number; run: () => void}> = [];
	let inGoal = 0;
	let refused = 0;
	let asked = 0;
	for (let nowMs = 0; nowMs < PLAYED_MS; nowMs += 1000 / perSecond) {
		for (const end of ends.filter(({atMs}) => atMs <= nowMs)) {
			ends.splice(ends.indexOf(end), 1);
			end.run();
		}

		asked += 1;
		const partId = `shared${(asked * 37) % SHARED_PARTS}`;
		const prompt = {tokens: 17_000, outputTokens: 120, parts: [{partId, tokens: 13_300}, {partId: 'own', tokens: 3700}]};
		const plan = placeGeneration({
			state, demand: createTestDemand({prompt}), engine: TEST_ENGINE, settings, nowMs,
		});
		if (plan === undefined || plan.startMs > GOAL_MS * settings.refuseAtGoals) {
			refused += 1;
			continue;
		}

		inGoal += plan.startMs <= GOAL_MS ? 1 : 0;
		holdWork(plan, nowMs, ends);
		if (isKept) {
			state.homes.recordUse(partId, (plan.reader ?? plan.target).record.targetId, 13_300);
		}
	}

	return {inGoal, refused, asked};
}

function holdWork(plan: GenerationPlan, nowMs: number, ends: Array<{atMs: number; run: () => void}>): void {
	const reading = (plan.reader ?? plan.target).own;
	const generating = plan.target.own;
	reading.readMs += plan.readMs;
	generating.running += 1;
	ends.push({
		atMs: nowMs + plan.startMs,
		run() {
			reading.readMs -= plan.readMs;
		},
	}, {
		atMs: nowMs + plan.startMs + GENERATE_MS,
		run() {
			generating.running -= 1;
		},
	});
}

describe('placement through a load of long prompts', () => {
	it('serves the mean rate in its goal once the shared parts are known', () => {
		const {inGoal, asked} = playLongPrompts(28, DEFAULT_PLACEMENT_SETTINGS);
		assert.ok(inGoal >= 0.8 * asked, `${inGoal} of ${asked} in the goal`);
	});

	it('serves far more of a peak than one that forgets which target keeps what', () => {
		const kept = playLongPrompts(60, DEFAULT_PLACEMENT_SETTINGS);
		const forgotten = playLongPrompts(60, DEFAULT_PLACEMENT_SETTINGS, false);
		assert.ok(kept.inGoal > 2 * forgotten.inGoal, `${kept.inGoal} against ${forgotten.inGoal}`);
	});

	it('refuses part of an overload and still serves no fewer in their goal than at the mean rate', () => {
		const mean = playLongPrompts(28, DEFAULT_PLACEMENT_SETTINGS);
		const overload = playLongPrompts(200, DEFAULT_PLACEMENT_SETTINGS);
		assert.ok(overload.refused > 0);
		assert.ok(overload.inGoal >= mean.inGoal, `${overload.inGoal} against ${mean.inGoal}`);
	});
});

describe('placement of calls of a plain service', () => {
	it('fills the own zone first, then others, and refuses when all queues are full', () => {
		const state = createPlacementState({entryId: 'entry', availabilityZone: 'zoneA'});
		applyTargets(state, ['zoneA', 'zoneB', 'zoneC'].map(availabilityZone =>
			createTestTarget(availabilityZone, {
				serviceId: 'plain', slots: 6, availabilityZone, stage: undefined,
			})));
		const counts: Record<string, number> = {};
		for (let index = 0; index < 100; index += 1) {
			const plan = placeCall({
				state, serviceId: 'plain', excluded: new Set(), nowMs: 0,
			});
			if (plan !== undefined) {
				plan.target.own.running += 1;
				counts[plan.target.record.targetId] = (counts[plan.target.record.targetId] ?? 0) + 1;
			}
		}

		assert.deepEqual(counts, {zoneA: 24, zoneB: 24, zoneC: 24});
	});
});
