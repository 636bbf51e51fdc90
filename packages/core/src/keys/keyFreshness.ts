/**
 * When an entry may still trust its key set. See docs/design/0010-configuration.md.
 */
import {type InstanceRecord, SECOND_MS} from '@damaskspool/shared';

/**
 * Time since its last confirmation for which a key set is trusted. A withdrawn
 * key must stop within 5 s everywhere; one second is left for a late event.
 */
export const MAX_KEY_SET_AGE_MS = 4 * SECOND_MS;

/** What an entry last heard of a peer's view. */
export type PeerView = {
	readonly kind: 'storeSilent' | 'storeAnswers' | 'absent';
	/** Time from which the view speaks, on the own clock. */
	readonly asOfMs: number;
	readonly revision: number;
};

/** What the rule of freshness reads. */
export type KeySetConfirmation = {
	readonly confirmedAtMs: number;
	/** Whether any other entry is known; a change is only ever accepted through an entry. */
	readonly hasPeers: boolean;
};

/**
 * Tells whether an entry may take a key for valid. An entry that knows no other
 * one trusts what it has: nobody else could have accepted a withdrawal.
 *
 * @param view - last confirmation and whether there are peers
 * @param nowMs - time of the request
 * @returns whether the key set was confirmed within the limit
 */
export function isKeySetFresh({confirmedAtMs, hasPeers}: KeySetConfirmation, nowMs: number): boolean {
	return !hasPeers || nowMs - confirmedAtMs <= MAX_KEY_SET_AGE_MS;
}

/** Options of {@link computeOutageConfirmedAtMs}. */
export type OutageOptions = {
	readonly nowMs: number;
	/** Revision of this entry. */
	readonly revision: number;
	/** When this entry began its latest call of the store, if that failed. */
	readonly storeUnavailableSinceMs: number | undefined;
	/** Relays by zone, without those whose address refuses connections. */
	readonly relays: ReadonlyMap<string, readonly InstanceRecord[]>;
	readonly peerViews: ReadonlyMap<string, PeerView>;
};

/**
 * Decides whether the store is down for everyone: this entry cannot reach it,
 * and in every availability zone a relay says the same and knows no later
 * revision, while none says otherwise. A zone that cannot be asked leaves it open.
 *
 * @param options - own view and what peers last said
 * @returns time up to which no change can have been accepted unseen, or undefined
 */
export function computeOutageConfirmedAtMs(options: OutageOptions): number | undefined {
	const {
		nowMs, revision, storeUnavailableSinceMs, relays, peerViews,
	} = options;
	if (storeUnavailableSinceMs === undefined) {
		return undefined;
	}

	let asOfMs = storeUnavailableSinceMs;
	for (const zoneRelays of relays.values()) {
		if (zoneRelays.length === 0) {
			continue;
		}

		const freshViews = zoneRelays
			.map(entry => peerViews.get(entry.instanceId))
			.filter(view => view !== undefined)
			.filter(view => nowMs - view.asOfMs <= MAX_KEY_SET_AGE_MS);
		if (freshViews.length === 0 || freshViews.some(view => view.kind !== 'storeSilent' || view.revision > revision)) {
			return undefined;
		}

		asOfMs = Math.min(asOfMs, Math.max(...freshViews.map(view => view.asOfMs)));
	}

	return nowMs - asOfMs <= MAX_KEY_SET_AGE_MS ? asOfMs : undefined;
}
