import {hashText} from '@damaskspool/shared';
import {type EntryState} from '../reducer/entryState.js';

/**
 * Shards of claims. Each has one log and is written by one owner at a time, at
 * most every FLUSH_GAP_MS: eight stay under a third of the store's writes.
 */
export const CLAIM_SHARD_COUNT = 8;
/** Owners that are asked one after the other. */
const MAX_CLAIM_OWNERS = 3;

/**
 * Computes the shard of a claim.
 *
 * @param claimId - identifier of the claim, a digest
 * @returns number of the shard
 */
export function computeShardNumber(claimId: string): number {
	return Number.parseInt(claimId.slice(0, 8), 16) % CLAIM_SHARD_COUNT;
}

/**
 * Lists the owners of a shard by rendezvous hash among the entries that this one knows.
 *
 * @param state - state of the entry
 * @param shard - number of the shard
 * @returns control addresses, first choice first; an empty one is this entry itself
 */
export function listClaimOwners(state: EntryState, shard: number): string[] {
	const entries = [
		{instanceId: state.instanceId, address: ''},
		...[...state.membership.peers.values()].filter(peer => peer.state === 'live'),
	];
	return entries
		.map(({instanceId, address}) => ({address, score: hashText(`${shard}\n${instanceId}`)}))
		.toSorted((left, right) => left.score < right.score ? -1 : 1)
		.slice(0, MAX_CLAIM_OWNERS)
		.map(({address}) => address);
}
