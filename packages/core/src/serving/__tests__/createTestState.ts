import {createTestTarget} from '../../placement/__tests__/createTestPlacement.js';
import {reduceServing} from '../servingReducer.js';
import {type RouteKind, type RouteRecord, type ServingConfiguration} from '../servingRecords.js';
import {createServingState, type ServingState} from '../servingState.js';

export function createTestRoute(kind: RouteKind, fields: Partial<RouteRecord> = {}): RouteRecord {
	return {
		name: kind,
		host: 'host',
		pathPrefix: `/${kind}/`,
		kind,
		timeoutMs: 2000,
		goalMs: 300,
		attemptLimit: 3,
		priority: 0,
		isOpen: true,
		isResumable: false,
		shares: [{serviceId: 'plain', weight: 1}],
		...fields,
	};
}

export function createTestConfiguration(version = 1): ServingConfiguration {
	return {
		version,
		routes: [createTestRoute('safe'), createTestRoute('unsafe'), createTestRoute('stream')],
		services: new Map([['plain', {serviceId: 'plain', connectionLimit: 100, engine: undefined}]]),
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		ownersByKey: undefined,
	};
}

export function createTestState(): ServingState {
	const state = createServingState({
		instanceId: 'entry', processId: 'p', availabilityZone: 'zoneA', region: 'r', usageWindowMs: 5000, leaseMs: 3000, retryRatio: 0.2, retryAllowance: 1000, budgetWindowMs: 10_000,
	});
	reduceServing(state, {type: 'configuration.changed', configuration: createTestConfiguration(), nowMs: 0});
	reduceServing(state, {
		type: 'targets.changed', targets: ['a', 'b', 'c', 'd'].map(targetId => createTestTarget(targetId, {serviceId: 'plain', stage: undefined})), removed: [], isComplete: true, nowMs: 0,
	});
	return state;
}
