import {type PeerView} from '../keys/keyFreshness.js';
import {createRelayTree, type RelayTree} from './relayTree.js';

/** What an entry keeps in order to learn of new revisions and to know that it has the latest. */
export type PropagationState = {
	tree: RelayTree;
	/** When the first tick came; undefined before it. */
	startedAtMs: number | undefined;
	nextQueryAtMs: number;
	/** Rises with each peer in a row that did not answer, so that the next one is asked. */
	consecutiveQueryFailures: number;
	/** When the latest call of the store began, if it failed. */
	storeUnavailableSinceMs: number | undefined;
	/** What peers last said, by identifier. */
	peerViews: Map<string, PeerView>;
};

/** Options of {@link createPropagationState}. */
export type PropagationStateOptions = {
	readonly instanceId: string;
	readonly availabilityZone: string;
};

/**
 * Creates the state of an entry that knows no peer.
 *
 * @param options - who and where the entry is
 * @returns the state
 */
export function createPropagationState(options: PropagationStateOptions): PropagationState {
	return {
		tree: createRelayTree({...options, instances: []}),
		startedAtMs: undefined,
		nextQueryAtMs: 0,
		consecutiveQueryFailures: 0,
		storeUnavailableSinceMs: undefined,
		peerViews: new Map(),
	};
}
