import {ROUTE_KINDS, type RouteRecord, type ServiceRecord} from '../serving/servingRecords.js';
import {CHANGE_KINDS, CHANGED_PARTS, type ConfigurationChange} from './configurationChange.js';
import {type ConfigurationDraft} from './configurationDraft.js';
import {createCoverLookup} from './findCoveringRoute.js';
import {compareCustomers} from './compareCustomers.js';
import {compareFields, createChange, type FieldValues} from './compareFields.js';
import {joinByName} from './joinByName.js';
import {TOUCHED_REQUESTS} from './touchedRequests.js';

/**
 * Lists what differs between the version in force and a draft: routes, services, limits and customers by their names, then
 * by fields. The time is proportional to the size of both.
 */
export function compareConfigurations(inForce: ConfigurationDraft, draft: ConfigurationDraft): readonly ConfigurationChange[] {
	return [
		...compareRoutes(inForce, draft),
		...compareServices(inForce, draft),
		...compareFields(toLimitFields(inForce), toLimitFields(draft), {part: CHANGED_PARTS.limits, name: '', touched: TOUCHED_REQUESTS.openConnections}),
		...compareCustomers(inForce, draft),
	];
}

function compareRoutes(inForce: ConfigurationDraft, draft: ConfigurationDraft): readonly ConfigurationChange[] {
	const findOld = createCoverLookup(inForce.configuration);
	const findNew = createCoverLookup(draft.configuration);
	return joinByName(inForce.configuration.routes, draft.configuration.routes, ({name}) => name).flatMap(({before, after}) => {
		const route = (before ?? after)!;
		const touched = before?.kind === ROUTE_KINDS.stream && before.isResumable ? TOUCHED_REQUESTS.resumedStreams : TOUCHED_REQUESTS.none;
		const subject = {part: CHANGED_PARTS.route, name: route.name, touched};
		if (before !== undefined && after !== undefined) {
			return compareFields(toRouteFields(before), toRouteFields(after), subject);
		}

		// A route that others hide gets and gives no requests.
		const isMatched = (before === undefined ? findNew(route) : findOld(route)) === route;
		const other = before === undefined ? findOld(route) : findNew(route);
		return [createChange(before === undefined ? CHANGE_KINDS.added : CHANGE_KINDS.removed, {...subject, otherRoute: isMatched ? other?.name : undefined})];
	});
}

function compareServices(inForce: ConfigurationDraft, draft: ConfigurationDraft): readonly ConfigurationChange[] {
	const routesByService = groupRoutesByService(inForce.configuration.routes);
	// Of services of the same name, the last one is in force.
	const oldServices = [...inForce.configuration.services.values()];
	const newServices = [...draft.configuration.services.values()];
	return joinByName(oldServices, newServices, ({serviceId}) => serviceId).flatMap(({before, after}) => {
		const {serviceId} = (before ?? after)!;
		const touchedRoutes = routesByService.get(serviceId);
		const subject = {
			part: CHANGED_PARTS.service, name: serviceId, touchedRoutes, touched: touchedRoutes === undefined ? TOUCHED_REQUESTS.none : TOUCHED_REQUESTS.nextAttempts,
		};
		return before !== undefined && after !== undefined
			? compareFields(toServiceFields(before), toServiceFields(after), subject)
			: [createChange(before === undefined ? CHANGE_KINDS.added : CHANGE_KINDS.removed, subject)];
	});
}

function groupRoutesByService(routes: readonly RouteRecord[]): ReadonlyMap<string, readonly string[]> {
	const names = new Map<string, string[]>();
	for (const {name, shares} of routes) {
		for (const serviceId of new Set(shares.filter(({weight}) => weight > 0).map(share => share.serviceId))) {
			const group = names.get(serviceId) ?? [];
			group.push(name);
			names.set(serviceId, group);
		}
	}

	return names;
}

function toRouteFields(route: RouteRecord): FieldValues {
	const {host, pathPrefix, kind, timeoutMs, goalMs, gapMs = 0, attemptLimit, priority, isOpen, isResumable, shares} = route;
	return {
		host, pathPrefix, kind, timeoutMs, goalMs, gapMs, attemptLimit, priority, isOpen, isResumable, shares: shares.map(({serviceId, weight}) => `${serviceId} ${weight}`).join(', '),
	};
}

function toServiceFields({connectionLimit, engine}: ServiceRecord): FieldValues {
	return {
		connectionLimit, hasEngine: engine !== undefined, kvCapacityTokens: engine?.kvCapacityTokens, kvBytesPerToken: engine?.kvBytesPerToken, linkMbps: engine?.linkMbps,
	};
}

function toLimitFields({configuration: {limits}}: ConfigurationDraft): FieldValues {
	return {...limits};
}
