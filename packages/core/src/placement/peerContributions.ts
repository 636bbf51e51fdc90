/**
 * Indexes the work that peers reported by target, in the order in which the peers became known. A choice among many
 * targets then looks only at peers that have work at a target, and adds their work up in the same order each time.
 */
import {computeZoneRank} from './ownSlots.js';
import {
	type PeerWork, type PlacedTarget, type PlacementState, type TargetWork,
} from './placementState.js';

/** Work of one peer at one target, with the report that told it. */
export type PeerContribution = {readonly peer: PeerWork; readonly work: TargetWork};

/**
 * Replaces the report of a peer.
 *
 * @param state - changed in place
 */
export function applyPeerWork(state: PlacementState, entryId: string, report: Omit<PeerWork, 'order'>): void {
	const previous = state.peers.get(entryId);
	const peer: PeerWork = {...report, order: previous?.order ?? state.peerIndex.nextOrder};
	state.peerIndex.nextOrder += previous === undefined ? 1 : 0;
	state.peerIndex.peers.set(entryId, peer);
	if (previous?.availabilityZone !== peer.availabilityZone) {
		state.peerIndex.zoneRank = computeZoneRank(state);
	}

	removeContributions(state, previous, targetId => !peer.workByTarget.has(targetId));
	for (const [targetId, work] of peer.workByTarget) {
		const target = state.targets.get(targetId);
		if (target !== undefined) {
			setContribution(target, {peer, work});
		}
	}
}

/**
 * Removes a peer and its work.
 *
 * @param state - changed in place
 */
export function removePeer(state: PlacementState, entryId: string): void {
	removeContributions(state, state.peers.get(entryId), () => true);
	state.peerIndex.peers.delete(entryId);
	state.peerIndex.zoneRank = computeZoneRank(state);
}

/** Lists what peers have reported of a target that this entry did not know when the reports arrived. */
export function listContributions({peers}: Pick<PlacementState, 'peers'>, targetId: string): PeerContribution[] {
	return [...peers.values()].flatMap(peer => {
		const work = peer.workByTarget.get(targetId);
		return work === undefined ? [] : [{peer, work}];
	});
}

/** Replaces the work of a peer, or adds it behind that of all peers that became known earlier. Changes the target in place. */
function setContribution({peerWork}: PlacedTarget, contribution: PeerContribution): void {
	const {order} = contribution.peer;
	const index = findPlace(peerWork, order);
	peerWork.splice(index, peerWork[index]?.peer.order === order ? 1 : 0, contribution);
}

function removeContributions({targets}: PlacementState, peer: PeerWork | undefined, isRemoved: (targetId: string) => boolean): void {
	for (const targetId of peer?.workByTarget.keys() ?? []) {
		const peerWork = targets.get(targetId)?.peerWork;
		if (peer === undefined || peerWork === undefined || !isRemoved(targetId)) {
			continue;
		}

		const index = findPlace(peerWork, peer.order);
		if (peerWork[index]?.peer.order === peer.order) {
			peerWork.splice(index, 1);
		}
	}
}

/** Finds the first contribution of a peer with at least the given order. */
function findPlace(peerWork: readonly PeerContribution[], order: number): number {
	let low = 0;
	let high = peerWork.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (peerWork[middle]!.peer.order < order) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
