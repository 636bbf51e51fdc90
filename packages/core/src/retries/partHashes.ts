/**
 * Relates prompt parts to their hashes. The store names parts by hashes, and requests by identifiers; a hash from the store
 * has no name until a request with its part comes.
 */
import {setNewest} from '@damaskspool/shared';
import {hashPart} from './hashPart.js';

/** Hashes of parts, as known to one entry. */
export type PartHashes = {
	/** Records a hash from the store. It is looked for in requests until the given time. */
	readonly addUnnamed: (hash: string, untilMs: number) => void;
	readonly isUnnamed: (partId: string) => boolean;
	/** Returns the hash of a part; a hash without a name stands for itself. */
	readonly toHash: (partId: string) => string;
	/** Returns the parts that give a hash its name, by hash. Each is returned once. */
	readonly takeNamed: (partIds: Iterable<string>, nowMs: number) => ReadonlyMap<string, string>;
};

/** Maximum number of hashes that are remembered. */
const MAX_HASHES = 1024;
const NONE_NAMED: ReadonlyMap<string, string> = new Map();

/** Creates the hashes of an entry that knows none. */
export function createPartHashes(): PartHashes {
	const unnamed = new Set<string>();
	let unnamedUntilMs = Number.NEGATIVE_INFINITY;
	const hashesOfParts = new Map<string, string>();

	return {
		addUnnamed(hash, untilMs) {
			unnamed.add(hash);
			unnamedUntilMs = Math.max(unnamedUntilMs, untilMs);
		},
		isUnnamed: partId => unnamed.has(partId),
		toHash(partId) {
			if (unnamed.has(partId)) {
				return partId;
			}

			const hash = hashesOfParts.get(partId) ?? hashPart(partId);
			setNewest(hashesOfParts, {key: partId, value: hash, maxSize: MAX_HASHES});
			return hash;
		},
		takeNamed(partIds, nowMs) {
			if (nowMs >= unnamedUntilMs || unnamed.size === 0) {
				return NONE_NAMED;
			}

			return new Map([...partIds].map(partId => [hashPart(partId), partId] as const).filter(([hash]) => unnamed.delete(hash)));
		},
	};
}
