import {
	type ConfigurationDocument, hashText, type InstanceRecord, type LoadReport,
} from '@damaskspool/shared';
import {type RequestAttributes} from '../../reducer/entryEvents.js';
import {reduceEntry} from '../../reducer/entryReducer.js';
import {createEntryState, type EntryState} from '../../reducer/entryState.js';

/** API key of the only customer of {@link createReadyState}. */
export const TEST_KEY = 'dmsk_test_customer';

/** Creates a configuration with a model service and with a plain service whose requests are not repeatable. */
export function createTestDocument(): ConfigurationDocument {
	return {
		services: [
			{
				serviceId: 'assistant',
				kind: 'model',
				models: ['m'],
				routes: [{
					method: 'POST', path: '/v1/chat/completions', access: 'keyed', repeatable: true, deadlineMs: 10_000, bodyLimitBytes: 1000,
				}],
				firstTokenGoalMs: 720,
				betweenTokensGoalMs: 41,
			},
			{
				serviceId: 'booking',
				kind: 'plain',
				models: [],
				routes: [{
					method: 'POST', path: '/permits', access: 'keyed', repeatable: false, deadlineMs: 10_000, bodyLimitBytes: 1000,
				}],
				firstTokenGoalMs: 720,
				betweenTokensGoalMs: 41,
			},
		],
		customers: [{
			customerId: 'c', keyHashes: [hashText(TEST_KEY)], weight: 1, operator: false,
		}],
	};
}

/** Creates the instance record of a live target. */
export function createTestTarget(instanceId: string, serviceId: string): InstanceRecord {
	return {
		instanceId, kind: 'target', availabilityZone: 'a', region: 'r', address: '127.0.0.1:1', state: 'live', serviceId, incarnation: 1,
	};
}

/** Creates the state of an entry that has loaded its configuration and knows three targets of each service. */
export function createReadyState(): EntryState {
	const state = createEntryState({instanceId: 'e', availabilityZone: 'a'});
	reduceEntry(state, {type: 'configuration.read', nowMs: 0, configuration: {revision: 1, document: createTestDocument()}});
	const instances = ['assistant', 'booking'].flatMap(serviceId =>
		[1, 2, 3].map(index => createTestTarget(`${serviceId}-${index}`, serviceId)));
	reduceEntry(state, {type: 'instances.listed', nowMs: 0, instances});
	return state;
}

/**
 * Creates the attributes of a request.
 *
 * @param fields - overrides of a request from the test customer to the model service
 */
export function createAttributes(fields: Partial<RequestAttributes> = {}): RequestAttributes {
	return {
		requestId: 'r',
		method: 'POST',
		path: '/v1/chat/completions',
		keyHash: hashText(TEST_KEY),
		modelId: 'm',
		bodyBytes: 10,
		promptTokens: 100,
		maxTokens: 10,
		isStream: true,
		priority: 'interactive',
		bodyDigest: 'd',
		idempotencyKey: undefined,
		...fields,
	};
}

/** Creates the load report of an idle target. */
export function createTestLoad(targetId: string): LoadReport {
	return {
		targetId,
		role: 'mixed',
		state: 'serving',
		models: ['m'],
		running: 0,
		waiting: 0,
		queuedPrefillTokens: 0,
		freePieces: 1,
		totalPieces: 1,
		prefillTokensTotal: 0,
		generatedTokensTotal: 0,
		ageMs: 0,
	};
}
