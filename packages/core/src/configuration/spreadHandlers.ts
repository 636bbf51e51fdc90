import {type ConfigurationUpdate, type InstanceRecord, SECOND_MS} from '@damaskspool/shared';
import {decideOutage} from '../keys/keyFreshness.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {type ConfigurationUpdated} from './configurationMessages.js';
import {
	createRelayTree, findChildren, isRelay, listRelays, listSources,
} from './relayTree.js';

/** Time between questions: two steps of the tree stay well within the freshness of keys. */
const ASK_INTERVAL_MS = 700;
/** Time without confirmation after which an entry asks beyond its usual source. */
const UNSURE_AFTER_MS = 1500;
/** Time that the instance list is waited for at start, before the entry takes itself to be alone. */
const LIST_WAIT_MS = SECOND_MS;
/** Added wait by place in the zone before an entry without configuration reads all of it from the store. */
const COLD_READ_SPACING_MS = 500;
/** Time for which an address that refused a connection is passed over. */
const ABSENT_MS = 10 * SECOND_MS;

/** Handlers by which a configuration spreads, and by which an entry knows that it has the latest. */
export const spreadHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'instances.listed'(state, {instances}) {
		const {propagation, instanceId, availabilityZone} = state;
		propagation.tree = createRelayTree({instances, instanceId, availabilityZone});
		const listed = new Set(instances.map(instance => instance.instanceId));
		for (const peerId of propagation.views.keys()) {
			if (!listed.has(peerId)) {
				propagation.views.delete(peerId);
			}
		}

		return [];
	},

	'configuration.storeConfirmed'(state, {revision, elapsedMs, nowMs}) {
		state.propagation.storeSilentSinceMs = undefined;
		confirmRevision(state, revision, nowMs - elapsedMs);
		return [];
	},

	'configuration.storeSilent'(state, {elapsedMs, nowMs}) {
		state.propagation.storeSilentSinceMs = nowMs - elapsedMs;
		confirmOutage(state, nowMs);
		return [];
	},

	'configuration.peerAnswered'(state, {peerId, answer, elapsedMs, nowMs}) {
		const {confirmedAgeMs, storeSilentAgeMs, revision} = answer;
		const {propagation} = state;
		const sentAtMs = nowMs - elapsedMs;
		propagation.askTurn = 0;
		propagation.views.set(peerId, {
			kind: storeSilentAgeMs === undefined ? 'storeAnswers' : 'storeSilent',
			asOfMs: sentAtMs - (storeSilentAgeMs ?? 0),
			revision,
		});
		if (confirmedAgeMs !== undefined) {
			confirmRevision(state, revision, sentAtMs - confirmedAgeMs);
		}

		confirmOutage(state, nowMs);
		return [];
	},

	'configuration.peerSilent'(state, {peerId, isAbsent, nowMs}) {
		state.propagation.askTurn += 1;
		if (isAbsent) {
			state.propagation.views.set(peerId, {kind: 'absent', asOfMs: nowMs, revision: 0});
			confirmOutage(state, nowMs);
		}

		return [];
	},

	'configuration.peerAhead'(state, {peerId}) {
		const peer = [...state.propagation.tree.zones.values()].flat().find(({instanceId}) => instanceId === peerId);
		return peer === undefined ? [] : [toQuestion(peer)];
	},

	tick(state, {nowMs}) {
		const {propagation} = state;
		propagation.startedAtMs ??= nowMs;
		if (nowMs < propagation.nextAskAtMs) {
			return [];
		}

		if (propagation.tree.zones.size === 0 && nowMs - propagation.startedAtMs < LIST_WAIT_MS && state.configuration.revision < 0) {
			return [];
		}

		propagation.nextAskAtMs = nowMs + ASK_INTERVAL_MS;
		return planQuestions(state, nowMs);
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
export function planPassing(state: EntryState, update: ConfigurationUpdate, source: ConfigurationUpdated['source']): EntryEffect[] {
	const {tree} = state.propagation;
	const relays = source === 'proposal' ? [...listRelays(tree).values()].flat() : [];
	const addresses = [...new Set([...findChildren(tree), ...relays])].map(({address}) => address);
	return addresses.length === 0 || update.fromRevision === undefined
		? []
		: [{type: 'configuration.pass', addresses, update}];
}

/** Asks the usual source, and where that leaves the entry unsure, everyone that could know better. */
function planQuestions(state: EntryState, nowMs: number): EntryEffect[] {
	const {propagation, configuration} = state;
	const {tree} = propagation;
	const isUnsure = nowMs - Math.max(configuration.confirmedAtMs, propagation.startedAtMs ?? nowMs) > computeUnsureAfterMs(state);
	const isWatching = isRelay(tree) || isUnsure;
	const sources = listSources(tree);
	const source = sources[propagation.askTurn % Math.max(1, sources.length)];
	const asked = new Set(isRelay(tree) || source === undefined ? [] : [source]);
	if (isWatching && (propagation.storeSilentSinceMs !== undefined || isUnsure)) {
		for (const relay of [...listCurrentRelays(state, nowMs).values()].flat()) {
			asked.add(relay);
		}
	}

	const questions = [...asked].map(peer => toQuestion(peer));
	return isWatching ? [{type: 'configuration.watchStore'}, ...questions] : questions;
}

function computeUnsureAfterMs({configuration, propagation}: EntryState): number {
	return UNSURE_AFTER_MS + (configuration.revision < 0 ? propagation.tree.ownIndex * COLD_READ_SPACING_MS : 0);
}

function toQuestion({instanceId, address}: InstanceRecord): EntryEffect {
	return {type: 'configuration.askPeer', peerId: instanceId, address};
}

function listCurrentRelays({propagation}: EntryState, nowMs: number): ReadonlyMap<string, readonly InstanceRecord[]> {
	return listRelays(propagation.tree, instanceId => {
		const view = propagation.views.get(instanceId);
		return view?.kind === 'absent' && nowMs - view.asOfMs < ABSENT_MS;
	});
}

/** Takes the own revision as the latest up to a time, if it is the one that was confirmed. */
function confirmRevision({configuration}: EntryState, revision: number, asOfMs: number): void {
	if (revision === configuration.revision) {
		configuration.confirmedAtMs = Math.max(configuration.confirmedAtMs, asOfMs);
	}
}

function confirmOutage(state: EntryState, nowMs: number): void {
	const {propagation, configuration} = state;
	const asOfMs = decideOutage({
		...propagation, nowMs, revision: configuration.revision, relays: listCurrentRelays(state, nowMs),
	});
	if (asOfMs !== undefined) {
		confirmRevision(state, configuration.revision, asOfMs);
	}
}

/**
 * Tells whether any other entry is known.
 *
 * @param state - state of the entry
 * @returns whether there are peers
 */
export function hasPeers({propagation}: EntryState): boolean {
	return propagation.tree.zones.size > 0;
}
