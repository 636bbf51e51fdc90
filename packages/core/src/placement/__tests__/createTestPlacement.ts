import {
	type EngineRecord, STAGES, type Stage, type TargetRecord,
} from '../../serving/servingRecords.js';
import {type GenerationDemand} from '../generationPlan.js';
import {applyTargets, createPlacementState, type PlacementState} from '../placementState.js';
import {type SpreadMode} from '../spreadState.js';

/** Engine parameters as given for the deployments. */
export const TEST_ENGINE: EngineRecord = {
	kvCapacityTokens: 610_008, kvBytesPerToken: 18_432, linkMbps: 180_000,
};

/**
 * Creates a target of the service `engines`.
 *
 * @param fields - fields that differ from those of an engine in stage `decode`
 */
export function createTestTarget(targetId: string, fields: Partial<TargetRecord> = {}): TargetRecord {
	return {
		targetId, serviceId: 'engines', address: '10.0.0.1:80', availabilityZone: 'zoneA', softwareVersion: 'v1', slots: 12, isLeaving: false, stage: STAGES.decode, startedAtMs: 1, ...fields,
	};
}

/** Creates a placement state with one engine for each of the given stages, all in one zone. */
export function createTestPlacement(stages: readonly Stage[], spreadMode?: SpreadMode): PlacementState {
	const state = createPlacementState({entryId: 'entry', availabilityZone: 'zoneA', spreadMode});
	applyTargets(state, stages.map((stage, index) => createTestTarget(`target${index}`, {stage})));
	return state;
}

/**
 * Creates the demand of a generation with a long prompt.
 *
 * @param fields - fields that differ
 */
export function createTestDemand(fields: Partial<GenerationDemand> = {}): GenerationDemand {
	return {
		serviceId: 'engines',
		prompt: {tokens: 17_000, maxOutputTokens: 120, parts: [{partId: 'shared', tokens: 13_300}, {partId: 'own', tokens: 3700}]},
		bodyBytes: 17_000,
		goalRemainingMs: 300,
		excludedTargetIds: new Set(),
		...fields,
	};
}
