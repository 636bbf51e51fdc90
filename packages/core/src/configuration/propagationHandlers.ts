import {type ConfigurationUpdate, type InstanceRecord, SECOND_MS} from '@damaskspool/shared';
import {computeOutageConfirmedAtMs} from '../keys/keyFreshness.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {type ConfigurationUpdated} from './configurationMessages.js';
import {
	createRelayTree, findChildren, isRelay, listRelays, listSources,
} from './relayTree.js';

/** Time between two queries. Even after two levels of the tree, a confirmation is much younger than MAX_KEY_SET_AGE_MS. */
const QUERY_INTERVAL_MS = 700;
/** Time without confirmation after which an entry also queries the store and the relays of all zones. */
const UNCONFIRMED_AFTER_MS = 1500;
/** How long an entry without configuration waits at start for the instance list before it assumes that it has no peers. */
const MAX_INSTANCE_LIST_WAIT_MS = SECOND_MS;
/**
 * Additional wait per position in the zone before an entry without configuration reads the full
 * configuration from the store.
 */
const COLD_START_READ_SPACING_MS = 500;
/** How long a peer whose address refused a connection is skipped. */
const ABSENT_PEER_SKIP_MS = 10 * SECOND_MS;

/** Event handlers that propagate the configuration among entries and confirm that the local revision is the latest. */
export const propagationHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'instances.listed'(state, {instances}) {
		const {propagation, instanceId, availabilityZone} = state;
		propagation.tree = createRelayTree({instances, instanceId, availabilityZone});
		const listedIds = new Set(instances.map(instance => instance.instanceId));
		for (const peerId of propagation.peerViews.keys()) {
			if (!listedIds.has(peerId)) {
				propagation.peerViews.delete(peerId);
			}
		}

		return [];
	},

	'configuration.storeConfirmed'(state, {revision, elapsedMs, nowMs}) {
		state.propagation.storeUnavailableSinceMs = undefined;
		recordConfirmation(state, revision, nowMs - elapsedMs);
		return [];
	},

	'configuration.storeUnreachable'(state, {elapsedMs, nowMs}) {
		state.propagation.storeUnavailableSinceMs = nowMs - elapsedMs;
		recordOutageConfirmation(state, nowMs);
		return [];
	},

	'configuration.peerAnswered'(state, {peerId, answer, elapsedMs, nowMs}) {
		const {confirmedAgeMs, storeSilentAgeMs, revision} = answer;
		const {propagation} = state;
		const sentAtMs = nowMs - elapsedMs;
		propagation.consecutiveQueryFailures = 0;
		propagation.peerViews.set(peerId, {
			kind: storeSilentAgeMs === undefined ? 'storeAnswers' : 'storeSilent',
			asOfMs: sentAtMs - (storeSilentAgeMs ?? 0),
			revision,
		});
		if (confirmedAgeMs !== undefined) {
			recordConfirmation(state, revision, sentAtMs - confirmedAgeMs);
		}

		recordOutageConfirmation(state, nowMs);
		return [];
	},

	'configuration.peerUnreachable'(state, {peerId, isAbsent, nowMs}) {
		state.propagation.consecutiveQueryFailures += 1;
		if (isAbsent) {
			state.propagation.peerViews.set(peerId, {kind: 'absent', asOfMs: nowMs, revision: 0});
			recordOutageConfirmation(state, nowMs);
		}

		return [];
	},

	'configuration.peerAhead'(state, {peerId}) {
		const peer = [...state.propagation.tree.zones.values()].flat().find(({instanceId}) => instanceId === peerId);
		return peer === undefined ? [] : [createPeerQuery(peer)];
	},

	tick(state, {nowMs}) {
		const {propagation} = state;
		propagation.startedAtMs ??= nowMs;
		if (nowMs < propagation.nextQueryAtMs) {
			return [];
		}

		if (propagation.tree.zones.size === 0 && nowMs - propagation.startedAtMs < MAX_INSTANCE_LIST_WAIT_MS && state.configuration.revision < 0) {
			return [];
		}

		propagation.nextQueryAtMs = nowMs + QUERY_INTERVAL_MS;
		return planQueries(state, nowMs);
	},
};

/**
 * Plans to which peers an update that was just applied is forwarded. A change
 * proposed by this entry also goes to the relays of every zone, because the entry
 * need not be a relay itself. A full configuration is not forwarded.
 *
 * @returns one effect, or none if there is no peer to forward to
 */
export function planForwarding(state: EntryState, update: ConfigurationUpdate, source: ConfigurationUpdated['source']): EntryEffect[] {
	const {tree} = state.propagation;
	const relays = source === 'proposal' ? [...listRelays(tree).values()].flat() : [];
	const addresses = [...new Set([...findChildren(tree), ...relays])].map(({address}) => address);
	return addresses.length === 0 || update.fromRevision === undefined
		? []
		: [{type: 'configuration.pass', addresses, update}];
}

/**
 * Plans the next queries. A relay watches the store; any other entry queries one of its sources. If the
 * revision stays unconfirmed, the entry queries the store and the relays of all zones as well. A relay
 * that cannot reach the store queries the relays of all zones, too.
 */
function planQueries(state: EntryState, nowMs: number): EntryEffect[] {
	const {propagation, configuration} = state;
	const {tree} = propagation;
	const isUnconfirmed = nowMs - Math.max(configuration.confirmedAtMs, propagation.startedAtMs ?? nowMs) > computeUnconfirmedAfterMs(state);
	const isWatching = isRelay(tree) || isUnconfirmed;
	const sources = listSources(tree);
	const source = sources[propagation.consecutiveQueryFailures % Math.max(1, sources.length)];
	const queriedPeers = new Set(isRelay(tree) || source === undefined ? [] : [source]);
	if (isWatching && (propagation.storeUnavailableSinceMs !== undefined || isUnconfirmed)) {
		for (const relay of [...listPresentRelays(state, nowMs).values()].flat()) {
			queriedPeers.add(relay);
		}
	}

	const queries = [...queriedPeers].map(peer => createPeerQuery(peer));
	return isWatching ? [{type: 'configuration.watchStore'}, ...queries] : queries;
}

function computeUnconfirmedAfterMs({configuration, propagation}: EntryState): number {
	return UNCONFIRMED_AFTER_MS + (configuration.revision < 0 ? propagation.tree.localIndex * COLD_START_READ_SPACING_MS : 0);
}

function createPeerQuery({instanceId, address}: InstanceRecord): EntryEffect {
	return {type: 'configuration.queryPeer', peerId: instanceId, address};
}

function listPresentRelays({propagation}: EntryState, nowMs: number): ReadonlyMap<string, readonly InstanceRecord[]> {
	return listRelays(propagation.tree, instanceId => {
		const view = propagation.peerViews.get(instanceId);
		return view?.kind === 'absent' && nowMs - view.asOfMs < ABSENT_PEER_SKIP_MS;
	});
}

/** Records that the local revision was the latest at a given time, if it is the revision that was confirmed. */
function recordConfirmation({configuration}: EntryState, revision: number, asOfMs: number): void {
	if (revision === configuration.revision) {
		configuration.confirmedAtMs = Math.max(configuration.confirmedAtMs, asOfMs);
	}
}

/** Records a confirmation of the local revision if the store is down for all zones. */
function recordOutageConfirmation(state: EntryState, nowMs: number): void {
	const {propagation, configuration} = state;
	const asOfMs = computeOutageConfirmedAtMs({
		...propagation, nowMs, revision: configuration.revision, relays: listPresentRelays(state, nowMs),
	});
	if (asOfMs !== undefined) {
		recordConfirmation(state, configuration.revision, asOfMs);
	}
}

/** Returns whether the entry knows any other entry. */
export function hasPeers({propagation}: EntryState): boolean {
	return propagation.tree.zones.size > 0;
}
