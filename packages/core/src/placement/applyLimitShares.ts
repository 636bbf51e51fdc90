import {applyLimitShare, planLimitShare} from '../limits/limitShare.js';
import {isForgettable, isLimited} from '../limits/targetLimit.js';
import {type PlacedTarget, type PlacementState} from './placementState.js';

/** A peer without a report for this long no longer has shares. Longer than other timeouts of peers: two entries that miss each other's reports for a moment must not both take the whole limit. */
const SHARE_TIMEOUT_MS = 5000;

/** Plans this entry's shares of all limits anew, for the present peers. Changes the targets in place. */
export function applyLimitShares(state: PlacementState, nowMs: number): void {
	for (const target of state.targets.values()) {
		if (target.limit !== undefined && isForgettable(target.limit, nowMs)) {
			target.limit = undefined;
		}

		target.limitShare = isLimited(target.limit) ? planShare(state, target, nowMs) : undefined;
	}
}

function planShare({entryId, peers}: PlacementState, {record, limit, limitShare}: PlacedTarget, nowMs: number): PlacedTarget['limitShare'] {
	const peerIds = [...peers].filter(([, {receivedAtMs}]) => nowMs - receivedAtMs <= SHARE_TIMEOUT_MS).map(([peerId]) => peerId);
	return limit && applyLimitShare(limitShare, planLimitShare({
		targetId: record.targetId, requestsPerSecond: limit.requestsPerSecond, entryId, peerIds, unconfirmedMs: nowMs - limit.observedAtMs,
	}), nowMs);
}
