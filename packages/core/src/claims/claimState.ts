import {type ClaimShard, createClaimShard} from './claimShard.js';

/** State of an entry as an owner of claim shards. */
export type ClaimState = {
	/** Unique for each process; part of the nonce of each segment. */
	readonly processId: string;
	/** Number of segments begun so far. It makes the nonces of one process unique. */
	segmentCount: number;
	readonly shards: Map<number, ClaimShard>;
};

/**
 * Creates the state of an owner that has not received a claim request yet.
 *
 * @param processId - unique among all processes that ever run
 */
export function createClaimState(processId: string): ClaimState {
	return {processId, segmentCount: 0, shards: new Map()};
}

/**
 * Returns the state of a shard and creates it on first use.
 *
 * @param state - state of the owner, modified in place
 * @param shard - number of the shard
 */
export function getOrCreateClaimShard(state: ClaimState, shard: number): ClaimShard {
	let found = state.shards.get(shard);
	if (found === undefined) {
		found = createClaimShard(shard);
		state.shards.set(shard, found);
	}

	return found;
}
