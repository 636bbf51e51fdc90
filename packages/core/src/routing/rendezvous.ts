/** Number of values of a hash. */
export const HASH_RANGE = 2 ** 32;

/** FNV-1a, which spreads short identifiers well and takes far less time than a cryptographic hash. */
const FNV_OFFSET = 0x81_1C_9D_C5;
const FNV_PRIME = 0x01_00_01_93;
/** Multiplier of a finalizer that spreads a difference in any bit over all bits. */
const MIX_MULTIPLIER = 0x85_EB_CA_6B;

/**
 * Hashes an identifier for {@link computeRank}.
 *
 * @param text - the identifier
 * @returns a 32-bit number
 */
export function hashIdentifier(text: string): number {
	let hash = FNV_OFFSET;
	for (let index = 0; index < text.length; index += 1) {
		// eslint-disable-next-line no-bitwise
		hash = Math.imul(hash ^ text.codePointAt(index)!, FNV_PRIME);
	}

	// eslint-disable-next-line no-bitwise
	return hash >>> 0;
}

/**
 * Hashes a pair of identifiers for rendezvous hashing.
 *
 * @param left - one identifier
 * @param right - the other
 * @returns a 32-bit number
 */
export function hashRendezvous(left: string, right: string): number {
	return hashIdentifier(`${left}/${right}`);
}

/**
 * Computes the rank of a pair for rendezvous hashing: the lowest rank wins.
 *
 * @param left - hash of one identifier
 * @param right - hash of the other
 * @returns a 32-bit number
 */
export function computeRank(left: number, right: number): number {
	/* eslint-disable no-bitwise */
	const combined = Math.imul(left ^ Math.imul(right, FNV_PRIME), MIX_MULTIPLIER);
	return (combined ^ (combined >>> 15)) >>> 0;
	/* eslint-enable no-bitwise */
}
