import {hashText} from '@damaskspool/shared';

/** Hexadecimal digits of a part's hash. */
export const PART_HASH_DIGITS = 16;

/** Hashes the identifier of a prompt part for the store, which is told nothing of prompts. */
export function hashPart(partId: string): string {
	return hashText(partId).slice(0, PART_HASH_DIGITS);
}
