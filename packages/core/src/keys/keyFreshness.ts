/**
 * Decides whether the key set of an entry is fresh enough to be trusted. See docs/design/0010-configuration.md.
 */
import {type InstanceRecord, SECOND_MS} from '@damaskspool/shared';

/**
 * Maximum time since the last confirmation for which a key set is trusted. A
 * withdrawn key must be refused everywhere within 5 s; one second is left for a
 * delayed event.
 */
export const MAX_KEY_SET_AGE_MS = 4 * SECOND_MS;

/** The last known view that a peer has of the store. */
export type PeerView = {
	readonly kind: 'storeSilent' | 'storeAnswers' | 'absent';
	/** Time on the local clock as of which the view holds. */
	readonly asOfMs: number;
	readonly revision: number;
};

/** Input of {@link isKeySetFresh}. */
export type KeySetConfirmation = {
	readonly confirmedAtMs: number;
	/** Whether any other entry is known. Every change is accepted through an entry. */
	readonly hasPeers: boolean;
};

/**
 * Returns whether an entry may accept keys from its key set. An entry without
 * peers always may: no other entry can have accepted the withdrawal of a key.
 *
 * @param view - last confirmation and whether there are peers
 * @param nowMs - time of the request
 */
export function isKeySetFresh({confirmedAtMs, hasPeers}: KeySetConfirmation, nowMs: number): boolean {
	return !hasPeers || nowMs - confirmedAtMs <= MAX_KEY_SET_AGE_MS;
}

/** Options of {@link computeOutageConfirmedAtMs}. */
export type OutageOptions = {
	readonly nowMs: number;
	/** Revision of the local configuration. */
	readonly revision: number;
	/** When the latest store call of this entry was sent, if it failed; otherwise undefined. */
	readonly storeUnavailableSinceMs: number | undefined;
	/** Relays by zone, without peers whose address refuses connections. */
	readonly relays: ReadonlyMap<string, readonly InstanceRecord[]>;
	readonly peerViews: ReadonlyMap<string, PeerView>;
};

/**
 * Computes the time as of which a store outage confirms the local revision. While
 * the store is down for all entries, no change can be accepted. The outage is
 * established if this entry cannot reach the store and every zone that has relays
 * agrees: the zone has at least one fresh view, and all its fresh views report that
 * the store is unreachable and that no later revision is known.
 *
 * @param options - the local view and the last known views of peers
 * @returns time up to which no unseen change can have been accepted, or undefined if the outage is not established
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
