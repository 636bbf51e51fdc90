/**
 * The tree by which the configuration spreads within an availability zone.
 * Entries are ordered by a hash of their identifiers, so that all agree on the
 * order without a message, and a lost entry moves few others.
 */
import {type InstanceRecord} from '@damaskspool/shared';
import {hashRendezvous} from '../routing/rendezvous.js';

/** Entries of a zone that watch the store: each waiting watch is a paid call, and one may be lost. */
export const RELAYS_PER_ZONE = 2;
/** Entries to which one passes changes on: 72 entries of a zone are two steps from the store. */
export const RELAY_FAN_OUT = 8;

/** Who stands where; an entry that the list does not name yet takes the place that it will have. */
export type RelayTree = {
	/** Entries by zone, in order. */
	readonly zones: ReadonlyMap<string, readonly InstanceRecord[]>;
	/** Place of this entry in its own zone. */
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
 * Orders the entries of the instance list.
 *
 * @param options - the list and who this entry is
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
 * Tells whether this entry watches the store for its zone.
 *
 * @param tree - the tree
 * @returns whether it is among the first of its zone
 */
export function isRelay(tree: RelayTree): boolean {
	return tree.localIndex < RELAYS_PER_ZONE;
}

/**
 * Finds the entries to which this one passes changes on.
 *
 * @param tree - the tree
 * @returns its children
 */
export function findChildren(tree: RelayTree): readonly InstanceRecord[] {
	const first = RELAYS_PER_ZONE + (tree.localIndex * RELAY_FAN_OUT);
	return listLocalZone(tree, first, first + RELAY_FAN_OUT);
}

/**
 * Lists whom to ask for the configuration: the parent, the relays of the zone,
 * then one entry of each other zone.
 *
 * @param tree - the tree
 * @returns peers, best first, each once
 */
export function listSources(tree: RelayTree): readonly InstanceRecord[] {
	const parentIndex = Math.floor((tree.localIndex - RELAYS_PER_ZONE) / RELAY_FAN_OUT);
	const parent = isRelay(tree) ? [] : listLocalZone(tree, parentIndex, parentIndex + 1);
	const others = [...tree.zones].flatMap(([zone, entries]) => zone === tree.localZone ? [] : entries.slice(0, 1));
	return [...new Set([...parent, ...listLocalZone(tree, 0, RELAYS_PER_ZONE), ...others])];
}

/**
 * Lists the relays of every zone but for this entry itself.
 *
 * @param tree - the tree
 * @param isExcluded - tells of entries that are gone, in whose place the next one stands
 * @returns relays by zone; empty for a zone where none is left
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

/** Entries of the own zone by place, as though this entry stood among them. */
function listLocalZone(tree: RelayTree, first: number, end: number): readonly InstanceRecord[] {
	const entries = tree.zones.get(tree.localZone) ?? [];
	const toListIndex = (index: number) => index > tree.localIndex ? index - 1 : index;
	return entries.slice(toListIndex(first), toListIndex(end));
}
