/** Most changed letters at which a word still counts as a misspelling of another. */
const DISTANCE_LIMIT = 2;

/**
 * Finds the word that a misspelt one most likely stands for.
 *
 * @param word - word as written
 * @param candidates - words that could stand there
 * @returns the nearest, or undefined where none is near
 */
export function findNearest(word: string, candidates: readonly string[]): string | undefined {
	if (word === '') {
		return undefined;
	}

	const [nearest] = candidates
		.map(candidate => ({candidate, distance: computeDistance(word.toLowerCase(), candidate.toLowerCase())}))
		.filter(({candidate, distance}) => distance <= DISTANCE_LIMIT && distance < candidate.length && candidate !== word)
		.toSorted((left, right) => left.distance - right.distance);
	return nearest?.candidate;
}

/** Letters to insert, remove or replace, by the algorithm of Wagner and Fischer. */
function computeDistance(left: string, right: string): number {
	let previous = Array.from({length: right.length + 1}, (_, index) => index);
	for (const [row, letter] of [...left].entries()) {
		const current = [row + 1];
		for (const [column, other] of [...right].entries()) {
			const replaced = previous[column]! + (letter === other ? 0 : 1);
			current.push(Math.min(replaced, previous[column + 1]! + 1, current[column]! + 1));
		}

		previous = current;
	}

	return previous.at(-1)!;
}
