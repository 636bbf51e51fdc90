import {ALLOTMENT_UNITS} from '../../allotments/allotmentRecord.js';
import {type RouteRecord, type ServiceRecord} from '../../serving/servingRecords.js';
import {type ConfigurationDraft, type CustomerDraft} from '../configurationDraft.js';

/** Creates a route of the service `plain` at which nothing is found. */
export function createTestRoute(overrides: Partial<RouteRecord> = {}): RouteRecord {
	return {
		name: 'ask', host: 'calls.example', pathPrefix: '/ask/', kind: 'stream', timeoutMs: 2000, goalMs: 300, gapMs: 150, attemptLimit: 2,
		priority: 0, isOpen: false, isResumable: true, shares: [{serviceId: 'plain', weight: 1}], ...overrides,
	};
}

export function createTestService(overrides: Partial<ServiceRecord> = {}): ServiceRecord {
	return {
		serviceId: 'plain', connectionLimit: 100, engine: undefined, ...overrides,
	};
}

export function createTestCustomer(overrides: Partial<CustomerDraft> = {}): CustomerDraft {
	return {
		customerId: 'customerA', keys: ['first-key-of-a'], priority: undefined, allotment: {
			unit: ALLOTMENT_UNITS.tokens, ratePerS: 1000, burst: 1000, plainTokens: 200,
		}, ...overrides,
	};
}

/** Parts of a draft that differ from those of a clean one with one route, service and customer. */
export type TestDraftParts = {
	readonly version?: number;
	readonly routes?: readonly RouteRecord[];
	readonly services?: readonly ServiceRecord[];
	readonly customers?: readonly CustomerDraft[] | undefined;
	readonly headerBytes?: number;
	readonly routesWithUnusedService?: readonly number[];
};

/** Creates a draft as an adapter decodes it. */
export function createTestDraft(parts: TestDraftParts = {}): ConfigurationDraft {
	const {version = 2, routes = [createTestRoute()], services = [createTestService()], headerBytes = 16_384, routesWithUnusedService = []} = parts;
	const customers = 'customers' in parts ? parts.customers : [createTestCustomer()];
	return {
		configuration: {
			version,
			routes,
			services: new Map(services.map(service => [service.serviceId, service])),
			limits: {
				headerBytes, bodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
			ownersByKey: customers && new Map(customers.flatMap(({customerId, keys, priority}) => keys.map(key => [key, {customerId, priority}] as const))),
			allotments: new Map((customers ?? []).filter(({allotment}) => allotment.ratePerS > 0).map(({customerId, allotment}) => [customerId, allotment])),
		},
		services,
		customers,
		routesWithUnusedService,
	};
}
