import {type ClaimShard, createClaimShard} from './claimShard.js';

/** What an entry keeps as an owner of claims. */
export type ClaimState = {
	/** Differs in each process. */
	readonly processId: string;
	/** Segments begun so far; makes their nonces differ. */
	segmentCount: number;
	readonly shards: Map<number, ClaimShard>;
};

/**
 * Creates the state of an entry that was asked nothing yet.
 *
 * @param processId - differs in each process that ever runs
 * @returns an empty state
 */
export function createClaimState(processId: string): ClaimState {
	return {processId, segmentCount: 0, shards: new Map()};
}

/**
 * Finds a shard, and creates it where it is new.
 *
 * @param state - state of the owner
 * @param shard - number of the shard
 * @returns the shard
 */
export function getOrCreateClaimShard(state: ClaimState, shard: number): ClaimShard {
	let found = state.shards.get(shard);
	if (found === undefined) {
		found = createClaimShard(shard);
		state.shards.set(shard, found);
	}

	return found;
}
