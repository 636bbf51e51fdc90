import {
	type EngineRecord, STAGES, type Stage, type TargetRecord,
} from '../../serving/servingRecords.js';
import {type GenerationDemand} from '../placeGeneration.js';
import {applyTargets, createPlacementState, type PlacementState} from '../placementState.js';

/** An engine with the figures of the users' sheets. */
export const TEST_ENGINE: EngineRecord = {
	kvCapacityTokens: 610_008, kvBytesPerToken: 18_432, linkMbps: 180_000,
};

/**
 * Builds a target of the service `engines`.
 *
 * @param targetId - its identifier
 * @param fields - fields that differ from a ready engine that generates
 * @returns the record
 */
export function createTestTarget(targetId: string, fields: Partial<TargetRecord> = {}): TargetRecord {
	return {
		targetId, serviceId: 'engines', address: '10.0.0.1:80', availabilityZone: 'zoneA', slots: 12, isLeaving: false, stage: STAGES.decode, startedAtMs: 1, ...fields,
	};
}

/**
 * Builds a placement state with engines of the given stages, all in one zone.
 *
 * @param stages - stage of each engine
 * @returns the state
 */
export function createTestPlacement(stages: readonly Stage[]): PlacementState {
	const state = createPlacementState({entryId: 'entry', availabilityZone: 'zoneA'});
	applyTargets(state, stages.map((stage, index) => createTestTarget(`target${index}`, {stage})));
	return state;
}

/**
 * Builds a demand for a long prompt.
 *
 * @param fields - fields that differ
 * @returns the demand
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
