import fc from 'fast-check';

/** Bytes of a text in Latin-1. */
export function encodeText(text: string): Uint8Array {
	return Uint8Array.from(text, character => character.codePointAt(0)!);
}

/** Text of bytes in Latin-1. */
export function decodeText(bytes: Uint8Array): string {
	return Array.from(bytes, byte => String.fromCodePoint(byte)).join('');
}

/** Places at which bytes are split, as shares of their length. */
export const splitShares = fc.array(fc.double({min: 0, max: 1, noNaN: true}), {maxLength: 12});

/** Splits bytes at shares of their length. */
export function splitBytes(bytes: Uint8Array, shares: readonly number[]): readonly Uint8Array[] {
	const places = [0, ...shares.map(share => Math.floor(share * bytes.length)).toSorted((left, right) => left - right), bytes.length];
	return places.slice(1).map((place, index) => bytes.subarray(places[index], place));
}
