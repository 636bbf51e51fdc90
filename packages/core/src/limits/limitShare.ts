/**
 * Divides the limit of a target among entries without coordination. Only a few entries send to a limited target, each at
 * an equal share of its limit: if all of them did, each could send one request at the same moment, and there may be many
 * more entries than requests per second. Which ones follows from the target's identifier by rendezvous hashing.
 */
import {SECOND_MS} from '@damaskspool/shared';
import {computeRank, hashIdentifier} from '../routing/rendezvous.js';

/** Share of a target's limit that an entry may use, as a token bucket. */
export type LimitShare = {
	/** Time between two requests at the rate of the share. `Infinity` if the entry has no share. */
	intervalMs: number;
	/** Time by which a request may be ahead of that rate. */
	toleranceMs: number;
	/** Time at which the next request is due at that rate. */
	dueAtMs: number;
};

/** Options of {@link planLimitShare}. */
export type LimitShareOptions = {
	readonly targetId: string;
	readonly requestsPerSecond: number;
	readonly entryId: string;
	readonly peerIds: readonly string[];
	/** Time since an answer of the target last named the limit. */
	readonly unconfirmedMs: number;
};

/** Lowest rate at which requests are sent, so that the end of a limit near zero is noticed. */
const MIN_REQUESTS_PER_SECOND = 0.25;
/** Entries with a share, per request per second of the limit, in addition to one. */
const SENDERS_PER_REQUEST = 0.5;
/** Time whose share of requests an entry may send at once. */
const BURST_S = 0.25;
/** Time without an answer of the target after which other entries get the shares: callers of the present ones may not need the target. */
const ROTATION_MS = 5000;

/** Plans the share of one entry. */
export function planLimitShare(options: LimitShareOptions): Pick<LimitShare, 'intervalMs' | 'toleranceMs'> {
	const {targetId, entryId, peerIds, unconfirmedMs} = options;
	const requestsPerSecond = Math.max(MIN_REQUESTS_PER_SECOND, options.requestsPerSecond);
	const senderCount = Math.min(1 + peerIds.length, Math.floor(1 + (requestsPerSecond * SENDERS_PER_REQUEST)));
	const round = Math.floor(Math.max(0, unconfirmedMs) / ROTATION_MS);
	const targetHash = hashIdentifier(`${targetId}/${round}`);
	const rankOf = (id: string) => computeRank(targetHash, hashIdentifier(id));
	const localRank = rankOf(entryId);
	const isSender = peerIds.filter(peerId => rankOf(peerId) < localRank).length < senderCount;
	if (!isSender) {
		return {intervalMs: Number.POSITIVE_INFINITY, toleranceMs: 0};
	}

	const intervalMs = SECOND_MS * senderCount / requestsPerSecond;
	const burst = Math.max(1, Math.floor(BURST_S * SECOND_MS / intervalMs));
	return {intervalMs, toleranceMs: (burst - 1) * intervalMs};
}

/**
 * Changes the share of an entry. A request that was due far ahead at a lower rate is due earlier now.
 *
 * @param share - changed in place; undefined if the limit is new
 */
export function applyLimitShare(share: LimitShare | undefined, planned: Pick<LimitShare, 'intervalMs' | 'toleranceMs'>, nowMs: number): LimitShare {
	const {intervalMs, toleranceMs} = planned;
	const latestDueMs = nowMs + toleranceMs + (Number.isFinite(intervalMs) ? intervalMs : 0);
	// A target that names a limit has just received too much, so a new share begins with none.
	return {intervalMs, toleranceMs, dueAtMs: Math.min(share?.dueAtMs ?? latestDueMs, latestDueMs)};
}

/** Computes the time until an entry may send another request: zero or less if it may now, `Infinity` without a share. */
export function computeShareWaitMs({intervalMs, toleranceMs, dueAtMs}: LimitShare, nowMs: number): number {
	return Number.isFinite(intervalMs) ? dueAtMs - toleranceMs - nowMs : Number.POSITIVE_INFINITY;
}

/**
 * Takes one request from a share.
 *
 * @param share - changed in place
 */
export function takeFromShare(share: LimitShare, nowMs: number): void {
	share.dueAtMs = Math.max(nowMs, share.dueAtMs) + (Number.isFinite(share.intervalMs) ? share.intervalMs : 0);
}
