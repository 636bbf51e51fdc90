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

/** Time between questions: two steps of the tree stay well within the freshness of keys. */
const QUERY_INTERVAL_MS = 700;
/** Time without confirmation after which an entry asks beyond its usual source. */
const UNCONFIRMED_AFTER_MS = 1500;
/** Time that the instance list is waited for at start, before the entry takes itself to be alone. */
const MAX_INSTANCE_LIST_WAIT_MS = SECOND_MS;
/** Added wait by place in the zone before an entry without configuration reads all of it from the store. */
const COLD_START_READ_SPACING_MS = 500;
/** Time for which an address that refused a connection is passed over. */
const ABSENT_PEER_SKIP_MS = 10 * SECOND_MS;

/** Handlers by which a configuration spreads, and by which an entry knows that it has the latest. */
export const propagationHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'instances.listed'(state, {instances}) {
		const {spread, instanceId, availabilityZone} = state;
		spread.tree = createRelayTree({instances, instanceId, availabilityZone});
		const listedIds = new Set(instances.map(instance => instance.instanceId));
		for (const peerId of spread.peerViews.keys()) {
			if (!listedIds.has(peerId)) {
				spread.peerViews.delete(peerId);
			}
		}

		return [];
	},

	'configuration.storeConfirmed'(state, {revision, elapsedMs, nowMs}) {
		state.spread.storeUnavailableSinceMs = undefined;
		recordConfirmation(state, revision, nowMs - elapsedMs);
		return [];
	},

	'configuration.storeSilent'(state, {elapsedMs, nowMs}) {
		state.spread.storeUnavailableSinceMs = nowMs - elapsedMs;
		recordOutageConfirmation(state, nowMs);
		return [];
	},

	'configuration.peerAnswered'(state, {peerId, answer, elapsedMs, nowMs}) {
		const {confirmedAgeMs, storeSilentAgeMs, revision} = answer;
		const {spread} = state;
		const sentAtMs = nowMs - elapsedMs;
		spread.consecutiveQueryFailures = 0;
		spread.peerViews.set(peerId, {
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

	'configuration.peerSilent'(state, {peerId, isAbsent, nowMs}) {
		state.spread.consecutiveQueryFailures += 1;
		if (isAbsent) {
			state.spread.peerViews.set(peerId, {kind: 'absent', asOfMs: nowMs, revision: 0});
			recordOutageConfirmation(state, nowMs);
		}

		return [];
	},

	'configuration.peerAhead'(state, {peerId}) {
		const peer = [...state.spread.tree.zones.values()].flat().find(({instanceId}) => instanceId === peerId);
		return peer === undefined ? [] : [createPeerQuery(peer)];
	},

	tick(state, {nowMs}) {
		const {spread} = state;
		spread.startedAtMs ??= nowMs;
		if (nowMs < spread.nextQueryAtMs) {
			return [];
		}

		if (spread.tree.zones.size === 0 && nowMs - spread.startedAtMs < MAX_INSTANCE_LIST_WAIT_MS && state.configuration.revision < 0) {
			return [];
		}

		spread.nextQueryAtMs = nowMs + QUERY_INTERVAL_MS;
		return planQueries(state, nowMs);
	},
};

/**
 * Plans to whom a revision that was just put in force is passed on. A change of
 * this entry goes to the relays of every zone, since it may be no relay itself.
 *
 * @param state - state of the entry
 * @param update - what was applied
 * @param source - where it came from
 * @returns one effect, or none where there is nobody
 */
export function planForwarding(state: EntryState, update: ConfigurationUpdate, source: ConfigurationUpdated['source']): EntryEffect[] {
	const {tree} = state.spread;
	const relays = source === 'proposal' ? [...listRelays(tree).values()].flat() : [];
	const addresses = [...new Set([...findChildren(tree), ...relays])].map(({address}) => address);
	return addresses.length === 0 || update.fromRevision === undefined
		? []
		: [{type: 'configuration.pass', addresses, update}];
}

/** Asks the usual source, and where that leaves the entry unsure, everyone that could know better. */
function planQueries(state: EntryState, nowMs: number): EntryEffect[] {
	const {spread, configuration} = state;
	const {tree} = spread;
	const isUnconfirmed = nowMs - Math.max(configuration.confirmedAtMs, spread.startedAtMs ?? nowMs) > computeUnconfirmedAfterMs(state);
	const isWatching = isRelay(tree) || isUnconfirmed;
	const sources = listSources(tree);
	const source = sources[spread.consecutiveQueryFailures % Math.max(1, sources.length)];
	const queriedPeers = new Set(isRelay(tree) || source === undefined ? [] : [source]);
	if (isWatching && (spread.storeUnavailableSinceMs !== undefined || isUnconfirmed)) {
		for (const relay of [...listPresentRelays(state, nowMs).values()].flat()) {
			queriedPeers.add(relay);
		}
	}

	const queries = [...queriedPeers].map(peer => createPeerQuery(peer));
	return isWatching ? [{type: 'configuration.watchStore'}, ...queries] : queries;
}

function computeUnconfirmedAfterMs({configuration, spread}: EntryState): number {
	return UNCONFIRMED_AFTER_MS + (configuration.revision < 0 ? spread.tree.localIndex * COLD_START_READ_SPACING_MS : 0);
}

function createPeerQuery({instanceId, address}: InstanceRecord): EntryEffect {
	return {type: 'configuration.askPeer', peerId: instanceId, address};
}

function listPresentRelays({spread}: EntryState, nowMs: number): ReadonlyMap<string, readonly InstanceRecord[]> {
	return listRelays(spread.tree, instanceId => {
		const view = spread.peerViews.get(instanceId);
		return view?.kind === 'absent' && nowMs - view.asOfMs < ABSENT_PEER_SKIP_MS;
	});
}

/** Takes the own revision as the latest up to a time, if it is the one that was confirmed. */
function recordConfirmation({configuration}: EntryState, revision: number, asOfMs: number): void {
	if (revision === configuration.revision) {
		configuration.confirmedAtMs = Math.max(configuration.confirmedAtMs, asOfMs);
	}
}

function recordOutageConfirmation(state: EntryState, nowMs: number): void {
	const {spread, configuration} = state;
	const asOfMs = computeOutageConfirmedAtMs({
		...spread, nowMs, revision: configuration.revision, relays: listPresentRelays(state, nowMs),
	});
	if (asOfMs !== undefined) {
		recordConfirmation(state, configuration.revision, asOfMs);
	}
}

/**
 * Tells whether any other entry is known.
 *
 * @param state - state of the entry
 * @returns whether there are peers
 */
export function hasPeers({spread}: EntryState): boolean {
	return spread.tree.zones.size > 0;
}
