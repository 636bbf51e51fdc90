import {hashText} from '@damaskspool/shared';
import {type EntryState} from '../reducer/entryState.js';

/**
 * Number of claim shards. Each shard has one log, which one owner writes at most
 * once every MIN_FLUSH_INTERVAL_MS. Eight shards use less than a third of the write
 * rate of the store.
 */
export const CLAIM_SHARD_COUNT = 8;
/** Maximum number of owners to which a request is sent, one after the other. */
const MAX_CLAIM_OWNERS = 3;

/**
 * Computes the number of the shard that holds a claim.
 *
 * @param claimId - identifier of the claim, a hexadecimal digest
 */
export function computeShardNumber(claimId: string): number {
	return Number.parseInt(claimId.slice(0, 8), 16) % CLAIM_SHARD_COUNT;
}

/**
 * Lists the owners of a shard by rendezvous hashing over the live entries that this entry knows.
 *
 * @returns control addresses in order of preference; an empty address stands for the local entry
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
