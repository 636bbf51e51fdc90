/** Number of distinct hash values. */
export const HASH_RANGE = 2 ** 32;

/** Parameters of FNV-1a, which distributes short identifiers well and is much faster than a cryptographic hash. */
const FNV_OFFSET = 0x81_1C_9D_C5;
const FNV_PRIME = 0x01_00_01_93;
/** Multiplier of the finalizer, which propagates a change of any bit to all bits. */
const MIX_MULTIPLIER = 0x85_EB_CA_6B;

/** Hashes an identifier to an unsigned 32-bit integer for {@link computeRank}. */
export function hashIdentifier(text: string): number {
	let hash = FNV_OFFSET;
	for (let index = 0; index < text.length; index += 1) {
		// eslint-disable-next-line no-bitwise
		hash = Math.imul(hash ^ text.codePointAt(index)!, FNV_PRIME);
	}

	// eslint-disable-next-line no-bitwise
	return hash >>> 0;
}

/** Hashes a pair of identifiers to an unsigned 32-bit integer for rendezvous hashing. */
export function hashRendezvous(left: string, right: string): number {
	return hashIdentifier(`${left}/${right}`);
}

/**
 * Computes the rank of a pair of identifiers for rendezvous hashing, as an unsigned
 * 32-bit integer. The pair with the lowest rank wins.
 *
 * @param left - hash of the first identifier
 * @param right - hash of the second identifier
 */
export function computeRank(left: number, right: number): number {
	/* eslint-disable no-bitwise */
	const combined = Math.imul(left ^ Math.imul(right, FNV_PRIME), MIX_MULTIPLIER);
	return (combined ^ (combined >>> 15)) >>> 0;
	/* eslint-enable no-bitwise */
}
