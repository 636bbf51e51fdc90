import {HASH_RANGE, hashIdentifier} from '../routing/rendezvous.js';
import {type RouteRecord, type RouteShare, type ServingConfiguration} from './servingRecords.js';

/** Routes of a configuration by host, longest prefix first. */
const routesByHost = new WeakMap<ServingConfiguration, Map<string, RouteRecord[]>>();

/**
 * Finds the route of a request: that of its host with the longest matching prefix.
 *
 * @param configuration - the configuration in force
 * @param host - value of the Host header, without a port
 * @param path - request target, with any query
 * @returns the route, or undefined where none matches
 */
export function resolveServingRoute(configuration: ServingConfiguration, host: string, path: string): RouteRecord | undefined {
	let index = routesByHost.get(configuration);
	if (index === undefined) {
		index = createRouteIndex(configuration.routes);
		routesByHost.set(configuration, index);
	}

	return index.get(host.toLowerCase())?.find(({pathPrefix}) => path.startsWith(pathPrefix));
}

function createRouteIndex(routes: readonly RouteRecord[]): Map<string, RouteRecord[]> {
	const index = new Map<string, RouteRecord[]>();
	for (const route of routes) {
		const host = route.host.toLowerCase();
		const hostRoutes = index.get(host) ?? [];
		hostRoutes.push(route);
		index.set(host, hostRoutes);
	}

	for (const hostRoutes of index.values()) {
		hostRoutes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
	}

	return index;
}

/**
 * Picks the service of a request among those that share its route. The same
 * request identifier always picks the same service.
 *
 * @param shares - services and weights
 * @param requestId - identifier of the request
 * @returns the service, or undefined where every weight is zero
 */
export function pickService(shares: readonly RouteShare[], requestId: string): string | undefined {
	const total = shares.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = (hashIdentifier(requestId) / HASH_RANGE) * total;
	for (const {serviceId, weight} of shares) {
		remaining -= weight;
		if (remaining < 0) {
			return serviceId;
		}
	}

	return undefined;
}
