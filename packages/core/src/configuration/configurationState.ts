import {
	type Configuration,
	type CustomerConfiguration,
	type RouteConfiguration,
	type ServiceConfiguration,
} from '@damaskspool/shared';
import {type ConfigurationCopy, createConfigurationCopy, type PartCopy} from './configurationCopy.js';

/** A service together with the route of it that a request took. */
export type ResolvedRoute = {
	readonly service: ServiceConfiguration;
	readonly route: RouteConfiguration;
};

/** The configuration in force at this process, indexed for look-ups. */
export type ConfigurationState = {
	/** Minus one until the first configuration was read. */
	revision: number;
	/** When the store, a peer with a current view, or all peers of an outage last confirmed the revision in force. */
	confirmedAtMs: number;
	/** The stored parts, for passing on; the rest is built from them. */
	copy: ConfigurationCopy;
	services: Map<string, ServiceConfiguration>;
	customers: Map<string, CustomerConfiguration>;
	customerIdByKeyHash: Map<string, string>;
	/** Longest path first. */
	routes: ResolvedRoute[];
};

/**
 * Creates the state of a process that has read no configuration.
 *
 * @returns an empty configuration state
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
 * Puts a configuration in force if its revision is above the one in force, so
 * that a late or repeated copy never reverts a change.
 *
 * @param state - state to change
 * @param configuration - revision and document, already checked against its schema
 * @returns whether it was put in force
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
 * Puts changed parts in force. Only what they hold is indexed anew: at thousands
 * of customers a whole index takes longer than a request may wait.
 *
 * @param state - state to change; its copy already holds the new parts
 * @param previousParts - the changed parts as they were
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
 * Finds the service that is offered at a method and path.
 *
 * @param state - configuration in force
 * @param method - HTTP method, upper case
 * @param path - URL path without query
 * @param modelId - model that the body names, by which services that share a path are told apart
 * @returns the service and route, or undefined where none fits
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
