/** Checks of services, and of limits that let nothing through. */
import {type EngineRecord} from '../serving/servingRecords.js';
import {type Finder, type FoundPlace} from './finder.js';
import {formatName} from './formatName.js';
import {indexRepeats} from './indexRepeats.js';
import {findRoutes, toMatchKey} from './routeChecks.js';

export const findUnusedServices: Finder = ({draft: {configuration, services}}) => {
	const hidden = new Set(indexRepeats(configuration.routes.map(route => toMatchKey(route))).map(({index}) => index));
	const used = new Set<string>();
	for (const [index, {shares}] of configuration.routes.entries()) {
		for (const {serviceId, weight} of shares) {
			if (!hidden.has(index) && weight > 0) {
				used.add(serviceId);
			}
		}
	}

	return services.flatMap(({serviceId}, index): readonly FoundPlace[] => used.has(serviceId)
		? []
		: [{path: ['services', index], detail: describeService(serviceId)}]);
};

export const findRepeatedServices: Finder = ({draft: {services}}) => {
	const lastIndex = services.length - 1;
	return indexRepeats(services.map(({serviceId}) => serviceId).toReversed()).map(({index}) => ({
		path: ['services', lastIndex - index], detail: describeService(services[lastIndex - index]!.serviceId),
	})).toReversed();
};

const ENGINE_LIMITS = ['kvCapacityTokens', 'kvBytesPerToken', 'linkMbps'] as const satisfies ReadonlyArray<keyof EngineRecord>;
const ROUTE_LIMITS = ['timeoutMs', 'goalMs', 'attemptLimit'] as const;
const CALLER_LIMITS = ['headerBytes', 'bodyBytes', 'headerTimeoutMs', 'idleTimeoutMs'] as const;

export const findLimitsNotPositive: Finder = ({draft: {configuration: {routes, limits}, services}}) => [
	...ROUTE_LIMITS.flatMap(field => findRoutes(routes, field, route => route[field] < 1, route => `route ${formatName(route.name)}: ${route[field]}`)),
	...services.flatMap(({serviceId, connectionLimit, engine}, index) => [
		...findNotPositive(connectionLimit, ['services', index, 'connectionLimit'], describeService(serviceId)),
		...ENGINE_LIMITS.flatMap(field => findNotPositive(engine?.[field], ['services', index, 'engine', field], describeService(serviceId))),
	]),
	...CALLER_LIMITS.flatMap(field => findNotPositive(limits[field], ['limits', field], 'limits on requests of callers')),
];

function findNotPositive(value: number | undefined, path: FoundPlace['path'], owner: string): readonly FoundPlace[] {
	return value === undefined || value >= 1 ? [] : [{path, detail: `${owner}: ${value}`}];
}

function describeService(serviceId: string): string {
	return `service ${formatName(serviceId)}`;
}
