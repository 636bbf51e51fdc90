import {type ClaimRecord, hashText} from '@damaskspool/shared';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type RequestFacts} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {computeShardNumber, listClaimOwners} from './claimOwners.js';

/** What a claim is made from. */
export type ClaimSubject = {
	readonly facts: RequestFacts;
	readonly customerId: string;
	readonly service: {readonly serviceId: string};
	readonly route: {readonly repeatable: boolean};
};

/**
 * Builds the claim that a request must be granted before it may run.
 *
 * @param subject - the request and what was resolved for it
 * @returns the claim, or undefined for a request that is repeatable or names no call
 */
export function createClaim({facts, customerId, service, route}: ClaimSubject): ClaimRecord | undefined {
	if (route.repeatable || facts.idempotencyKey === undefined) {
		return undefined;
	}

	const identity = [customerId, service.serviceId, facts.method, facts.path, facts.idempotencyKey];
	return {
		claimId: hashText(JSON.stringify(identity)),
		requestId: facts.requestId,
		bodyDigest: facts.bodyDigest,
		status: 'begun',
	};
}

/**
 * Asks the owner of a claim.
 *
 * @param state - state of the entry
 * @param record - the claim
 * @returns the effect that asks
 */
export function requestClaim(state: EntryState, record: ClaimRecord): readonly EntryEffect[] {
	const owners = listClaimOwners(state, computeShardNumber(record.claimId));
	return [{
		type: 'claim.ask', requestId: record.requestId, record, owners,
	}];
}

/**
 * Tells the owner of a granted claim how the call ended. A call that may have
 * run without a whole answer stays begun, so that it never runs again.
 *
 * @param state - state of the entry
 * @param record - the claim; undefined for a request without one
 * @param status - how it ended
 * @returns effects, none for a request without a claim
 */
export function settleClaim(state: EntryState, record: ClaimRecord | undefined, status: 'released' | 'finished'): readonly EntryEffect[] {
	if (record === undefined) {
		return [];
	}

	const owners = listClaimOwners(state, computeShardNumber(record.claimId));
	return [{type: 'claim.settle', record: {...record, status}, owners}];
}
