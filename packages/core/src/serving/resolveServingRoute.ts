import {HASH_RANGE, hashIdentifier} from '../routing/rendezvous.js';
import {type RouteRecord, type RouteShare, type ServingConfiguration} from './servingRecords.js';

/** Routes of each configuration by host, longest path prefix first. */
const routesByHost = new WeakMap<ServingConfiguration, Map<string, RouteRecord[]>>();

/**
 * Finds the route of a request: of the routes of its host, the one with the longest matching path prefix.
 *
 * @param host - value of the Host header without the port, in any letter case
 * @param path - request target, including the query
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
 * Picks the service of a request, in proportion to the weights. The same request
 * identifier always yields the same service.
 *
 * @returns the service, or undefined if every weight is zero
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
