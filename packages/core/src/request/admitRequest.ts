import {createFailure, ERROR_CODES, type Failure} from '@damaskspool/shared';
import {type ResolvedRoute, resolveRoute} from '../configuration/configurationState.js';
import {hasPeers} from '../configuration/propagationHandlers.js';
import {isKeySetFresh} from '../keys/keyFreshness.js';
import {type RequestFacts} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';

/** Customer under whom requests on open routes are counted. */
export const ANONYMOUS_CUSTOMER_ID = 'anonymous';

/** A request that may run: its service and route, and for whom. */
export type Admission = ResolvedRoute & {readonly customerId: string};

/**
 * Checks a request against the configuration in force.
 *
 * @param state - what the entry knows
 * @param facts - what the edge read of the request
 * @param nowMs - present time
 * @returns the service, route and customer, or why the request is refused
 */
export function admitRequest(state: EntryState, facts: RequestFacts, nowMs: number): Admission | Failure {
	if (state.isStopping) {
		return createFailure(ERROR_CODES.leaving);
	}

	if (state.configuration.revision < 0) {
		return createFailure(ERROR_CODES.notReady, {retryAfterMs: 1000});
	}

	const resolved = resolveRoute(state.configuration, facts.method, facts.path, facts.modelId);
	if (resolved === undefined) {
		return createFailure(ERROR_CODES.routeUnknown);
	}

	if (resolved.route.access === 'keyed' && !isKeySetFresh({...state.configuration, hasPeers: hasPeers(state)}, nowMs)) {
		return createFailure(ERROR_CODES.keysStale, {retryAfterMs: 1000});
	}

	const customerId = resolveCustomer(state, facts, resolved);
	if (typeof customerId !== 'string') {
		return customerId;
	}

	const {service, route} = resolved;
	if (facts.bodyBytes > route.bodyLimitBytes) {
		return createFailure(ERROR_CODES.bodyTooLarge);
	}

	if (service.kind === 'model' && (facts.modelId === undefined || !service.models.includes(facts.modelId))) {
		return createFailure(ERROR_CODES.modelUnknown);
	}

	return {...resolved, customerId};
}

function resolveCustomer(state: EntryState, facts: RequestFacts, {service, route}: ResolvedRoute): string | Failure {
	if (route.access === 'open') {
		return ANONYMOUS_CUSTOMER_ID;
	}

	if (facts.keyHash === undefined) {
		return createFailure(ERROR_CODES.keyMissing);
	}

	const customerId = state.configuration.customerIdByKeyHash.get(facts.keyHash);
	const customer = customerId === undefined ? undefined : state.configuration.customers.get(customerId);
	if (customer === undefined) {
		return createFailure(ERROR_CODES.keyUnknown);
	}

	const maySee = customer.services === undefined || customer.services.includes(service.serviceId);
	return maySee ? customer.customerId : createFailure(ERROR_CODES.routeUnknown);
}
