import {type PeerView} from '../keys/keyFreshness.js';
import {createRelayTree, type RelayTree} from './relayTree.js';

/** What an entry keeps in order to learn of new revisions and to know that it has the latest. */
export type SpreadState = {
	tree: RelayTree;
	/** When the first tick came; undefined before it. */
	startedAtMs: number | undefined;
	nextAskAtMs: number;
	/** Rises with each peer in a row that did not answer, so that the next one is asked. */
	askTurn: number;
	/** When the latest call of the store began, if it failed. */
	storeSilentSinceMs: number | undefined;
	/** What peers last said, by identifier. */
	views: Map<string, PeerView>;
};

/** Options of {@link createSpreadState}. */
export type SpreadStateOptions = {
	readonly instanceId: string;
	readonly availabilityZone: string;
};

/**
 * Creates the state of an entry that knows no peer.
 *
 * @param options - who and where the entry is
 * @returns the state
 */
export function createSpreadState(options: SpreadStateOptions): SpreadState {
	return {
		tree: createRelayTree({...options, instances: []}),
		startedAtMs: undefined,
		nextAskAtMs: 0,
		askTurn: 0,
		storeSilentSinceMs: undefined,
		views: new Map(),
	};
}
