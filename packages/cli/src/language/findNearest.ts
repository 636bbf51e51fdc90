/** Maximum edit distance at which a word counts as a misspelling of another. */
const MAX_EDIT_DISTANCE = 2;

/**
 * Finds the candidate with the smallest edit distance to a misspelt word.
 *
 * @param candidates - words that are valid in its place
 * @returns undefined if no candidate is close enough
 */
export function findNearest(word: string, candidates: readonly string[]): string | undefined {
	if (word === '') {
		return undefined;
	}

	const [nearest] = candidates
		.map(candidate => ({candidate, distance: computeEditDistance(word.toLowerCase(), candidate.toLowerCase())}))
		.filter(({candidate, distance}) => distance <= MAX_EDIT_DISTANCE && distance < candidate.length && candidate !== word)
		.toSorted((left, right) => left.distance - right.distance);
	return nearest?.candidate;
}

/** Computes the Levenshtein distance with the Wagner-Fischer algorithm. */
function computeEditDistance(left: string, right: string): number {
	let previous = Array.from({length: right.length + 1}, (_, index) => index);
	for (const [row, letter] of [...left].entries()) {
		const current = [row + 1];
		for (const [column, otherLetter] of [...right].entries()) {
			const replacedDistance = previous[column]! + (letter === otherLetter ? 0 : 1);
			current.push(Math.min(replacedDistance, previous[column + 1]! + 1, current[column]! + 1));
		}

		previous = current;
	}

	return previous.at(-1)!;
}
