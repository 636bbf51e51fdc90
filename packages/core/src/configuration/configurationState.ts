import {
	type Configuration,
	type CustomerConfiguration,
	type RouteConfiguration,
	type ServiceConfiguration,
} from '@damaskspool/shared';
import {type ConfigurationCopy, createConfigurationCopy, type PartCopy} from './configurationCopy.js';

/** A service and the one of its routes that matches a request. */
export type ResolvedRoute = {
	readonly service: ServiceConfiguration;
	readonly route: RouteConfiguration;
};

/** The configuration in force at this process, indexed for lookups. */
export type ConfigurationState = {
	/** -1 until the first configuration is applied. */
	revision: number;
	/**
	 * When the revision in force was last confirmed to be the latest: by the store, by a peer with a
	 * confirmed revision, or by the relays of all zones during a store outage.
	 */
	confirmedAtMs: number;
	/** The stored parts, which are forwarded to peers. The indexes below are built from them. */
	copy: ConfigurationCopy;
	services: Map<string, ServiceConfiguration>;
	customers: Map<string, CustomerConfiguration>;
	customerIdByKeyHash: Map<string, string>;
	/** Ordered by path length, longest first. */
	routes: ResolvedRoute[];
};

/**
 * Creates the state of a process that has no configuration yet.
 */
export function createConfigurationState(): ConfigurationState {
	return {
		revision: -1,
		confirmedAtMs: Number.NEGATIVE_INFINITY,
		copy: createConfigurationCopy(),
		services: new Map(),
		customers: new Map(),
		customerIdByKeyHash: new Map(),
		routes: [],
	};
}

/**
 * Puts a full configuration in force if its revision is later than the one in
 * force. A delayed or repeated configuration therefore never reverts a change.
 *
 * @param state - state, modified in place
 * @param configuration - revision and document, already checked against the schema
 * @returns whether the configuration was put in force
 */
export function applyConfiguration(state: ConfigurationState, configuration: Configuration): boolean {
	if (configuration.revision <= state.revision) {
		return false;
	}

	const {services, customers} = configuration.document;
	state.revision = configuration.revision;
	state.customers = new Map(customers.map(customer => [customer.customerId, customer]));
	state.customerIdByKeyHash = new Map(customers.flatMap(customer =>
		customer.keyHashes.map(keyHash => [keyHash, customer.customerId] as const)));
	indexServices(state, services);
	return true;
}

/**
 * Puts changed parts in force. Only the customers of these parts are indexed
 * again: with thousands of customers, a full index takes longer than a request
 * may wait.
 *
 * @param state - state, modified in place; its copy already holds the new parts
 * @param previousParts - parts before the change, by name
 * @param partNames - names of the changed parts
 */
export function applyParts(state: ConfigurationState, previousParts: ReadonlyMap<string, PartCopy>, partNames: readonly string[]): void {
	const before = partNames.flatMap(name => previousParts.get(name)?.document ?? []);
	const after = partNames.flatMap(name => state.copy.parts.get(name)?.document ?? []);
	for (const {customerId, keyHashes} of before.flatMap(({customers}) => customers)) {
		state.customers.delete(customerId);
		for (const keyHash of keyHashes) {
			state.customerIdByKeyHash.delete(keyHash);
		}
	}

	for (const customer of after.flatMap(({customers}) => customers)) {
		state.customers.set(customer.customerId, customer);
		for (const keyHash of customer.keyHashes) {
			state.customerIdByKeyHash.set(keyHash, customer.customerId);
		}
	}

	if ([...before, ...after].some(({services}) => services.length > 0)) {
		indexServices(state, [...state.copy.parts.values()].flatMap(({document}) => document.services));
	}

	state.revision = state.copy.revision;
}

function indexServices(state: ConfigurationState, services: readonly ServiceConfiguration[]): void {
	state.services = new Map(services.map(service => [service.serviceId, service]));
	state.routes = services
		.flatMap(service => service.routes.map(route => ({service, route})))
		.toSorted((left, right) => right.route.path.length - left.route.path.length);
}

/**
 * Resolves the service and route of a request. Among services that share a path,
 * the one that offers the model wins; if none does, the first one is returned.
 *
 * @param state - configuration in force
 * @param method - HTTP method in upper case
 * @param path - URL path without the query
 * @param modelId - model named in the request body
 * @returns the service and route, or undefined if no route matches
 */
export function resolveRoute(
	state: ConfigurationState,
	method: string,
	path: string,
	modelId: string | undefined,
): ResolvedRoute | undefined {
	const candidates = state.routes.filter(({route}) =>
		route.method === method && (path === route.path || path.startsWith(`${route.path}/`)));
	return candidates.find(({service}) => modelId !== undefined && service.models.includes(modelId)) ?? candidates[0];
}
