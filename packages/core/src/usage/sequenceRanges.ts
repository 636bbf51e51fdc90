import {type SequenceRanges} from '@damaskspool/shared';

/** Checks whether one of the ranges contains a number. */
export function hasSequence(ranges: SequenceRanges, sequence: number): boolean {
	return ranges.some(([first, last]) => first <= sequence && sequence <= last);
}

/**
 * Returns a set of ranges with numbers added. Leaves the given ranges unchanged.
 *
 * @param sequences - numbers to add, in any order
 * @returns the new set, with overlapping and adjacent ranges joined
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

/** Counts the numbers between one and the largest number of both sets that neither set contains. */
export function countMissingSequences(left: SequenceRanges, right: SequenceRanges): number {
	const joined = joinRanges(left, right);
	const presentCount = joined.reduce((sum, [first, last]) => sum + last - first + 1, 0);
	return (joined.at(-1)?.[1] ?? 0) - presentCount;
}

function joinRanges(left: SequenceRanges, right: SequenceRanges): SequenceRanges {
	return mergeSequences([...left, ...right].map(([first, last]): [number, number] => [first, last]), []);
}
