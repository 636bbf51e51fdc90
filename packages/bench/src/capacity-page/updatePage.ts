import {type CapacityFigures} from '../experiments/capacity.js';
import {computeTables} from './computeTables.js';

/**
 * Replaces each table of the capacity page, between its begin and end markers, by the one computed from the figures.
 *
 * @param page - content of docs/CAPACITY.md
 * @returns the updated page
 * @throws {Error} if the page lacks the markers of a table
 */
export function updatePage(page: string, figures: CapacityFigures): string {
	let updated = page;
	for (const [name, table] of Object.entries(computeTables(figures))) {
		const begin = `<!-- table ${name} -->`;
		const end = `<!-- end ${name} -->`;
		const [before, rest] = updated.split(begin);
		const after = rest?.split(end)[1];
		if (after === undefined) {
			throw new Error(`the capacity page has no markers for table ${name}`);
		}

		updated = `${before}${begin}\n${table}\n${end}${after}`;
	}

	return updated;
}
