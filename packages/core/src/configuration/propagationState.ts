import {type PeerView} from '../keys/keyFreshness.js';
import {createRelayTree, type RelayTree} from './relayTree.js';

/** State with which an entry propagates the configuration and confirms that its revision is the latest. */
export type PropagationState = {
	tree: RelayTree;
	/** Time of the first tick; undefined before it. */
	startedAtMs: number | undefined;
	nextQueryAtMs: number;
	/** Number of consecutive queries without an answer. It selects the next source to query. */
	consecutiveQueryFailures: number;
	/** When the latest store call was sent, if it failed; otherwise undefined. */
	storeUnavailableSinceMs: number | undefined;
	/** Last known view of each peer, by instance identifier. */
	peerViews: Map<string, PeerView>;
};

/** Options of {@link createPropagationState}. */
export type PropagationStateOptions = {
	readonly instanceId: string;
	readonly availabilityZone: string;
};

/**
 * Creates the state of an entry that knows no peers.
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
