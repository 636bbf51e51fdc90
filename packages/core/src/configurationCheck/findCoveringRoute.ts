import {type RouteRecord, type ServingConfiguration} from '../serving/servingRecords.js';

/** Finds the route of a configuration to which a request for the host and prefix of another route would go. */
export type FindCoveringRoute = (route: RouteRecord) => RouteRecord | undefined;

/** Creates the lookup. Unlike the routing of requests, it takes the same time however many routes a host has. */
export function createCoverLookup({routes}: ServingConfiguration): FindCoveringRoute {
	const routesByHost = new Map<string, Map<string, RouteRecord>>();
	for (const route of routes) {
		const host = route.host.toLowerCase();
		const hostRoutes = routesByHost.get(host) ?? new Map<string, RouteRecord>();
		routesByHost.set(host, hostRoutes);
		// Of routes with the same host and prefix, the first one gets the requests.
		if (!hostRoutes.has(route.pathPrefix)) {
			hostRoutes.set(route.pathPrefix, route);
		}
	}

	return ({host, pathPrefix}) => {
		const hostRoutes = routesByHost.get(host.toLowerCase());
		if (hostRoutes === undefined) {
			return undefined;
		}

		for (let prefix = pathPrefix; prefix !== ''; prefix = removeLastSegment(prefix)) {
			const covering = hostRoutes.get(prefix);
			if (covering !== undefined) {
				return covering;
			}
		}

		return undefined;
	};
}

function removeLastSegment(prefix: string): string {
	return prefix.length < 2 ? '' : prefix.slice(0, prefix.lastIndexOf('/', prefix.length - 2) + 1);
}
