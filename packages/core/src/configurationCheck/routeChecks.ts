/** Checks of routes: requests that never reach them, and limits that contradict each other. */
import {ROUTE_KINDS, type RouteRecord} from '../serving/servingRecords.js';
import {type Finder, type FoundPlace} from './finder.js';
import {formatName} from './formatName.js';
import {indexRepeats} from './indexRepeats.js';
import {isPresentable} from './isPresentable.js';

/** A host as the Host header states it, without a port. */
const HOST = /^[^\s:\/]+$/v;

/** Returns the host and prefix by which requests are matched. Two routes with the same key match the same requests. */
export function toMatchKey({host, pathPrefix}: Pick<RouteRecord, 'host' | 'pathPrefix'>): string {
	return `${host.toLowerCase()} ${pathPrefix}`;
}

export const findHiddenRoutes: Finder = ({draft: {configuration: {routes}}}) =>
	indexRepeats(routes.map(route => toMatchKey(route))).map(({index, firstIndex}) => ({
		path: ['routes', index],
		detail: `${describeRoute(routes[index]!)} is hidden by route ${formatName(routes[firstIndex]!.name)}`,
	}));

export const findRepeatedRouteNames: Finder = ({draft: {configuration: {routes}}}) =>
	indexRepeats(routes.map(({name}) => name)).map(({index}) => ({path: ['routes', index, 'name'], detail: `route ${formatName(routes[index]!.name)}`}));

export const findUnmatchedHosts: Finder = ({draft}) => findRoutes(draft.configuration.routes, 'host', ({host}) => !HOST.test(host), ({host}) => `host ${formatName(host)}`);

export const findUnmatchedPrefixes: Finder = ({draft}) => findRoutes(
	draft.configuration.routes,
	'pathPrefix',
	({pathPrefix}) => !pathPrefix.startsWith('/') || !pathPrefix.endsWith('/'),
	({pathPrefix}) => `prefix ${formatName(pathPrefix)}`,
);

export const findRoutesWithoutService: Finder = ({draft}) => findRoutes(draft.configuration.routes, 'shares', ({shares}) => !shares.some(({weight}) => weight > 0));

export const findRoutesWithoutKeys: Finder = ({draft: {configuration, customers}}) =>
	customers === undefined || customers.some(({keys}) => keys.some(key => isPresentable(key)))
		? []
		: findRoutes(configuration.routes, undefined, ({isOpen}) => !isOpen);

export const findUnusedRouteServices: Finder = ({draft: {configuration, routesWithUnusedService}}) =>
	routesWithUnusedService.map(index => ({path: ['routes', index, 'serviceId'], detail: describeRoute(configuration.routes[index]!)}));

export const findUnusedShares: Finder = ({draft: {configuration: {routes}}}) => routes.flatMap((route, index) =>
	route.shares.flatMap(({serviceId, weight}, shareIndex): readonly FoundPlace[] => weight > 0
		? []
		: [{path: ['routes', index, 'shares', shareIndex, 'weight'], detail: `service ${formatName(serviceId)} of ${describeRoute(route)}, weight ${weight}`}]));

export const findUnknownServices: Finder = ({draft: {configuration: {routes, services}}}) => routes.flatMap((route, index) =>
	route.shares.flatMap(({serviceId}, shareIndex): readonly FoundPlace[] => services.has(serviceId)
		? []
		: [{path: ['routes', index, 'shares', shareIndex, 'serviceId'], detail: `service ${formatName(serviceId)} of ${describeRoute(route)}`}]));

export const findTimeoutsUnderObjective: Finder = ({draft}) => findRoutes(
	draft.configuration.routes,
	'timeoutMs',
	({timeoutMs, goalMs}) => timeoutMs > 0 && timeoutMs < goalMs,
	route => `${describeRoute(route)}: timeout ${route.timeoutMs} ms, objective ${route.goalMs} ms`,
);

export const findPausesOverTimeout: Finder = ({draft}) => findRoutes(
	draft.configuration.routes,
	'gapMs',
	({kind, gapMs = 0, timeoutMs}) => kind === ROUTE_KINDS.stream && gapMs > 0 && gapMs >= timeoutMs,
	route => `${describeRoute(route)}: pause ${route.gapMs} ms, timeout ${route.timeoutMs} ms`,
);

export const findUnusedPauses: Finder = ({draft}) => findRoutes(draft.configuration.routes, 'gapMs', ({kind, gapMs = 0}) => kind !== ROUTE_KINDS.stream && gapMs > 0);

export const findUnsafeResumptions: Finder = ({draft}) => findRoutes(draft.configuration.routes, 'isResumable', ({kind, isResumable}) => kind === ROUTE_KINDS.unsafe && isResumable);

export const findAttemptsOverTargets: Finder = ({draft, targetCounts}) => {
	if (targetCounts === undefined) {
		return [];
	}

	const countTargets = ({shares}: RouteRecord) => Math.max(0, ...shares.filter(({weight}) => weight > 0).map(({serviceId}) => targetCounts.get(serviceId) ?? 0));
	return findRoutes(
		draft.configuration.routes,
		'attemptLimit',
		// A service without any target is about to be started.
		route => countTargets(route) > 0 && route.attemptLimit > countTargets(route),
		route => `${describeRoute(route)}: ${route.attemptLimit} attempts, ${countTargets(route)} targets are registered`,
	);
};

/** Lists the routes for which a condition holds. The place is a field of the route, or the whole of it. */
export function findRoutes(
	routes: readonly RouteRecord[],
	field: string | undefined,
	isFound: (route: RouteRecord) => boolean,
	describe: (route: RouteRecord) => string = describeRoute,
): readonly FoundPlace[] {
	const places: FoundPlace[] = [];
	for (const [index, route] of routes.entries()) {
		if (isFound(route)) {
			places.push({path: field === undefined ? ['routes', index] : ['routes', index, field], detail: describe(route)});
		}
	}

	return places;
}

function describeRoute({name}: RouteRecord): string {
	return `route ${formatName(name)}`;
}
