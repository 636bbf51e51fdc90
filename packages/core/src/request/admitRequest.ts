import {createFailure, ERROR_CODES, type Failure} from '@damaskspool/shared';
import {type ResolvedRoute, resolveRoute} from '../configuration/configurationState.js';
import {hasPeers} from '../configuration/propagationHandlers.js';
import {isKeySetFresh} from '../keys/keyFreshness.js';
import {type RequestAttributes} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';

/** Customer identifier to which requests on open routes are attributed. */
export const ANONYMOUS_CUSTOMER_ID = 'anonymous';

/** Result of a successful admission: the service, route and customer of the request. */
export type Admission = ResolvedRoute & {readonly customerId: string};

/**
 * Checks a request against the current configuration.
 *
 * @returns the service, route and customer, or the failure with which the request is refused
 */
export function admitRequest(state: EntryState, attributes: RequestAttributes, nowMs: number): Admission | Failure {
	if (state.isStopping) {
		return createFailure(ERROR_CODES.leaving);
	}

	if (state.configuration.revision < 0) {
		return createFailure(ERROR_CODES.notReady, {retryAfterMs: 1000});
	}

	const resolved = resolveRoute(state.configuration, attributes.method, attributes.path, attributes.modelId);
	if (resolved === undefined) {
		return createFailure(ERROR_CODES.routeUnknown);
	}

	if (resolved.route.access === 'keyed' && !isKeySetFresh({...state.configuration, hasPeers: hasPeers(state)}, nowMs)) {
		return createFailure(ERROR_CODES.keysStale, {retryAfterMs: 1000});
	}

	const customerId = resolveCustomer(state, attributes, resolved);
	if (typeof customerId !== 'string') {
		return customerId;
	}

	const {service, route} = resolved;
	if (attributes.bodyBytes > route.bodyLimitBytes) {
		return createFailure(ERROR_CODES.bodyTooLarge);
	}

	if (service.kind === 'model' && (attributes.modelId === undefined || !service.models.includes(attributes.modelId))) {
		return createFailure(ERROR_CODES.modelUnknown);
	}

	return {...resolved, customerId};
}

function resolveCustomer(state: EntryState, attributes: RequestAttributes, {service, route}: ResolvedRoute): string | Failure {
	if (route.access === 'open') {
		return ANONYMOUS_CUSTOMER_ID;
	}

	if (attributes.keyHash === undefined) {
		return createFailure(ERROR_CODES.keyMissing);
	}

	const customerId = state.configuration.customerIdByKeyHash.get(attributes.keyHash);
	const customer = customerId === undefined ? undefined : state.configuration.customers.get(customerId);
	if (customer === undefined) {
		return createFailure(ERROR_CODES.keyUnknown);
	}

	const mayUseService = customer.services === undefined || customer.services.includes(service.serviceId);
	return mayUseService ? customer.customerId : createFailure(ERROR_CODES.routeUnknown);
}
