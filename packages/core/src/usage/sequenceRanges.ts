import {type SequenceRanges} from '@damaskspool/shared';

/**
 * Tells whether a number is in a set of ranges.
 *
 * @param ranges - the set
 * @param sequence - number to look for
 * @returns whether it is there
 */
export function hasSequence(ranges: SequenceRanges, sequence: number): boolean {
	return ranges.some(([first, last]) => first <= sequence && sequence <= last);
}

/**
 * Adds numbers to a set of ranges.
 *
 * @param ranges - the set
 * @param sequences - numbers to add, in any order
 * @returns the larger set, with neighbours joined
 */
export function mergeSequences(ranges: SequenceRanges, sequences: readonly number[]): SequenceRanges {
	const sorted = [...ranges, ...sequences.map((sequence): [number, number] => [sequence, sequence])]
		.toSorted((left, right) => left[0] - right[0]);
	const merged: SequenceRanges = [];
	for (const [first, last] of sorted) {
		const previous = merged.at(-1);
		if (previous !== undefined && first <= previous[1] + 1) {
			previous[1] = Math.max(previous[1], last);
		} else {
			merged.push([first, last]);
		}
	}

	return merged;
}

/**
 * Counts the numbers from one up to the largest that are in neither of two sets.
 *
 * @param left - a set
 * @param right - another
 * @returns how many are missing
 */
export function countMissingSequences(left: SequenceRanges, right: SequenceRanges): number {
	const joined = joinRanges(left, right);
	const presentCount = joined.reduce((sum, [first, last]) => sum + last - first + 1, 0);
	return (joined.at(-1)?.[1] ?? 0) - presentCount;
}

function joinRanges(left: SequenceRanges, right: SequenceRanges): SequenceRanges {
	return mergeSequences([...left, ...right].map(([first, last]): [number, number] => [first, last]), []);
}
