import {isLivePeer} from '../placement/placementState.js';
import {computeRank, hashIdentifier} from '../routing/rendezvous.js';
import {type ServingState} from './servingState.js';

/**
 * Counts the live entries that write an object of the store before this one.
 *
 * @param purpose - name of the object; each has its own order of entries
 */
export function countWritersBefore({instanceId, placement}: ServingState, purpose: string, nowMs: number): number {
	const computeEntryRank = (entryId: string) => computeRank(hashIdentifier(purpose), hashIdentifier(entryId));
	const localRank = computeEntryRank(instanceId);
	return [...placement.peers.keys()].filter(entryId => isLivePeer(placement, entryId, nowMs) && computeEntryRank(entryId) < localRank).length;
}
