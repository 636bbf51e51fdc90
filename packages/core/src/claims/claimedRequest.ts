import {type ClaimRecord, hashText} from '@damaskspool/shared';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type RequestAttributes} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {computeShardNumber, listClaimOwners} from './claimOwners.js';

/** Request for which a claim is created, with the customer, service and route resolved for it. */
export type ClaimSubject = {
	readonly attributes: RequestAttributes;
	readonly customerId: string;
	readonly service: {readonly serviceId: string};
	readonly route: {readonly repeatable: boolean};
};

/**
 * Creates the claim that must be granted before a request may run.
 *
 * @returns the claim, or undefined if the route is repeatable or the request has no idempotency key
 */
export function createClaim({attributes, customerId, service, route}: ClaimSubject): ClaimRecord | undefined {
	if (route.repeatable || attributes.idempotencyKey === undefined) {
		return undefined;
	}

	const identity = [customerId, service.serviceId, attributes.method, attributes.path, attributes.idempotencyKey];
	return {
		claimId: hashText(JSON.stringify(identity)),
		requestId: attributes.requestId,
		bodyDigest: attributes.bodyDigest,
		status: 'begun',
	};
}

/**
 * Requests a claim from the owners of its shard.
 *
 * @returns the effect that sends the request
 */
export function requestClaim(state: EntryState, record: ClaimRecord): readonly EntryEffect[] {
	const owners = listClaimOwners(state, computeShardNumber(record.claimId));
	return [{
		type: 'claim.ask', requestId: record.requestId, record, owners,
	}];
}

/**
 * Reports the outcome of a call to the owners of its claim. Callers do not
 * settle the claim of a call that may have run without a complete answer. The claim
 * then stays begun, so that the call never runs again.
 *
 * @param state - state of the entry
 * @param record - the claim; undefined for a request without one
 * @param status - `released` if the call did not run, `finished` if it was answered
 * @returns the effects; none for a request without a claim
 */
export function settleClaim(state: EntryState, record: ClaimRecord | undefined, status: 'released' | 'finished'): readonly EntryEffect[] {
	if (record === undefined) {
		return [];
	}

	const owners = listClaimOwners(state, computeShardNumber(record.claimId));
	return [{type: 'claim.settle', record: {...record, status}, owners}];
}
