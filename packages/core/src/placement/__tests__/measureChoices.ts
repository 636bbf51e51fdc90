/** Measures the cost of a choice among many targets. Run it alone on a machine: `node packages/core/dist/placement/__tests__/measureChoices.js`. */
import process from 'node:process';
import {STAGES} from '../../serving/servingRecords.js';
import {applyPeerWork} from '../peerContributions.js';
import {placeCall} from '../placeCall.js';
import {placeGeneration} from '../placeGeneration.js';
import {DEFAULT_PLACEMENT_SETTINGS} from '../placementSettings.js';
import {
	applyTargets, changeRunning, createPlacementState, type PlacementState, type TargetWork,
} from '../placementState.js';
import {SPREAD_MODES, type SpreadMode} from '../spreadState.js';
import {createTestDemand, createTestTarget, TEST_ENGINE} from './createTestPlacement.js';

const ZONES = ['zoneA', 'zoneB', 'zoneC'] as const;
const REPORTED_TARGETS = 8;
const WARM_UP_CHOICES = 300;
const MEASURED_CHOICES = 1500;
const SHORT_PROMPT = {tokens: 300, maxOutputTokens: 40, parts: [{partId: 'small', tokens: 60}, {partId: 'own', tokens: 240}]};
const CHOICES = {
	call: ({state, nowMs}: {state: PlacementState; nowMs: number}) => placeCall({
		state, serviceId: 'plain', excludedTargetIds: new Set(), nowMs,
	})?.target,
	long: ({state, nowMs}: {state: PlacementState; nowMs: number}) => placeGeneration({
		state, demand: createTestDemand(), engine: TEST_ENGINE, settings: DEFAULT_PLACEMENT_SETTINGS, nowMs,
	})?.decodeTarget,
	short: ({state, nowMs}: {state: PlacementState; nowMs: number}) => placeGeneration({
		state, demand: createTestDemand({prompt: SHORT_PROMPT, goalRemainingMs: 200}), engine: TEST_ENGINE, settings: DEFAULT_PLACEMENT_SETTINGS, nowMs,
	})?.decodeTarget,
} as const;

/** Creates the state of an entry whose targets all belong to one service, a quarter of them in stage prefill if they are engines. */
function createMeasuredState(serviceId: string, {mode, targetCount, peerCount}: {mode: SpreadMode; targetCount: number; peerCount: number}): PlacementState {
	const state = createPlacementState({entryId: 'entry', availabilityZone: ZONES[0], spreadMode: mode});
	applyTargets(state, Array.from({length: targetCount}, (_, index) => createTestTarget(`target${index}`, {
		serviceId, availabilityZone: ZONES[index % ZONES.length]!, stage: index % 4 === 0 ? STAGES.prefill : STAGES.decode,
	})));
	for (let peer = 0; peer < peerCount; peer += 1) {
		receiveReport(state, peer, 0);
	}

	return state;
}

function receiveReport(state: PlacementState, peer: number, nowMs: number): void {
	const ids = [...state.targets.keys()];
	const workByTarget = new Map<string, TargetWork>(Array.from({length: REPORTED_TARGETS}, (_, index) => [ids[((peer * 7919) + (index * 104_729) + nowMs) % ids.length]!, {
		running: 1 + (index % 3), prefillMs: 20 * index, urgentPrefillMs: 0, copyMs: 0, tokens: 0,
	}]));
	applyPeerWork(state, `peer${peer}`, {
		sequence: nowMs, processId: '', availabilityZone: 'zoneA', receivedAtMs: nowMs, workByTarget,
	});
}

/** Measures choices between which requests begin and end and reports arrive, in microseconds. */
function measureChoices(kind: keyof typeof CHOICES, size: {mode: SpreadMode; targetCount: number; peerCount: number}): {p50: number; p99: number} {
	const state = createMeasuredState(kind === 'call' ? 'plain' : 'engines', size);
	const measuredUs: number[] = [];
	for (let index = 0; index < WARM_UP_CHOICES + MEASURED_CHOICES; index += 1) {
		receiveReport(state, index % size.peerCount, index);
		const startNs = process.hrtime.bigint();
		const target = CHOICES[kind]({state, nowMs: index});
		measuredUs.push(Number(process.hrtime.bigint() - startNs) / 1000);
		if (target !== undefined) {
			changeRunning(state, target, target.localWork.running > 6 ? -5 : 1);
		}
	}

	const sorted = measuredUs.slice(WARM_UP_CHOICES).toSorted((left, right) => left - right);
	return {p50: Math.round(sorted[sorted.length / 2]!), p99: Math.round(sorted[Math.floor(sorted.length * 0.99)]!)};
}

for (const [targetCount, peerCount] of [[30, 30], [3000, 30], [3000, 70]] as const) {
	for (const kind of Object.keys(CHOICES) as Array<keyof typeof CHOICES>) {
		const [off, on] = [SPREAD_MODES.off, SPREAD_MODES.on].map(mode => measureChoices(kind, {mode, targetCount, peerCount}));
		console.log(`${targetCount} targets, ${peerCount} peers, ${kind}: ordinary ${off!.p50}, ${off!.p99} us; spread ${on!.p50}, ${on!.p99} us (p50, p99)`);
	}
}
