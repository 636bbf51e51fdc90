/**
 * Relay tree that propagates the configuration within an availability zone.
 * Entries are ordered by a hash of their identifiers. All entries thus compute
 * the same order without coordination, and the loss of an entry moves few others.
 */
import {type InstanceRecord} from '@damaskspool/shared';
import {hashRendezvous} from '../routing/rendezvous.js';

/** Entries of a zone that watch the store. Each watch is a paid call; a second relay covers the loss of the first. */
export const RELAYS_PER_ZONE = 2;
/** Children of each entry. With a fan-out of 8, the 72 entries of a zone fit into two levels below the relays. */
export const RELAY_FAN_OUT = 8;

/**
 * The order of entries as one entry sees it. An entry that the instance list does not contain yet uses the
 * position that it will have.
 */
export type RelayTree = {
	/** The other entries by zone, in tree order. */
	readonly zones: ReadonlyMap<string, readonly InstanceRecord[]>;
	/** Position of the local entry in its zone. */
	readonly localIndex: number;
	readonly localZone: string;
};

/** Options of {@link createRelayTree}. */
export type RelayTreeOptions = {
	readonly instances: readonly InstanceRecord[];
	readonly instanceId: string;
	readonly availabilityZone: string;
};

/**
 * Creates the relay tree from the entries of the instance list.
 *
 * @param options - instance list and identity of the local entry
 * @returns the tree, which holds all other entries
 */
export function createRelayTree({instances, instanceId, availabilityZone}: RelayTreeOptions): RelayTree {
	const others = instances
		.filter(instance => instance.kind === 'entry' && instance.instanceId !== instanceId)
		.map(instance => ({instance, score: hashRendezvous(instance.availabilityZone, instance.instanceId)}))
		.toSorted((left, right) => left.score - right.score || (left.instance.instanceId < right.instance.instanceId ? -1 : 1));
	const localScore = hashRendezvous(availabilityZone, instanceId);
	return {
		zones: groupByZone(others.map(({instance}) => instance)),
		localIndex: others.filter(({instance, score}) => instance.availabilityZone === availabilityZone
			&& (score < localScore || (score === localScore && instance.instanceId < instanceId))).length,
		localZone: availabilityZone,
	};
}

/**
 * Returns whether the local entry is a relay, which watches the store for its zone.
 */
export function isRelay(tree: RelayTree): boolean {
	return tree.localIndex < RELAYS_PER_ZONE;
}

/**
 * Finds the children of the local entry, to which it forwards updates.
 */
export function findChildren(tree: RelayTree): readonly InstanceRecord[] {
	const first = RELAYS_PER_ZONE + (tree.localIndex * RELAY_FAN_OUT);
	return listLocalZone(tree, first, first + RELAY_FAN_OUT);
}

/**
 * Lists the peers from which the configuration can be queried: the parent, the
 * relays of the zone, then one entry of each other zone.
 *
 * @returns peers in order of preference, without duplicates
 */
export function listSources(tree: RelayTree): readonly InstanceRecord[] {
	const parentIndex = Math.floor((tree.localIndex - RELAYS_PER_ZONE) / RELAY_FAN_OUT);
	const parent = isRelay(tree) ? [] : listLocalZone(tree, parentIndex, parentIndex + 1);
	const others = [...tree.zones].flatMap(([zone, entries]) => zone === tree.localZone ? [] : entries.slice(0, 1));
	return [...new Set([...parent, ...listLocalZone(tree, 0, RELAYS_PER_ZONE), ...others])];
}

/**
 * Lists the relays of every zone without the local entry.
 *
 * @param tree - the tree
 * @param isExcluded - whether an entry is skipped, for example because it no longer runs; the next entry in order takes its place
 * @returns relays by zone; an empty list for a zone that has none left
 */
export function listRelays(tree: RelayTree, isExcluded: (instanceId: string) => boolean = () => false): ReadonlyMap<string, readonly InstanceRecord[]> {
	return new Map([...tree.zones].map(([zone, entries]) => {
		const candidates = entries.filter(entry => !isExcluded(entry.instanceId));
		return [zone, candidates.slice(0, RELAYS_PER_ZONE)] as const;
	}));
}

function groupByZone(instances: readonly InstanceRecord[]): Map<string, InstanceRecord[]> {
	const zones = new Map<string, InstanceRecord[]>();
	for (const instance of instances) {
		const zone = zones.get(instance.availabilityZone) ?? [];
		zone.push(instance);
		zones.set(instance.availabilityZone, zone);
	}

	return zones;
}

/** Lists entries of the local zone by position. Positions count the local entry, which the result leaves out. */
function listLocalZone(tree: RelayTree, first: number, end: number): readonly InstanceRecord[] {
	const entries = tree.zones.get(tree.localZone) ?? [];
	const toListIndex = (index: number) => index > tree.localIndex ? index - 1 : index;
	return entries.slice(toListIndex(first), toListIndex(end));
}
