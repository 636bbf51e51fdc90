import {type CapacityFigures} from '../experiments/capacity.js';
import {computeTables} from './computeTables.js';

/**
 * Puts the computed tables into the page, between the marks that name them.
 *
 * @param page - text of docs/CAPACITY.md
 * @param figures - measured lines
 * @returns the page with its tables as the figures give them
 */
export function updatePage(page: string, figures: CapacityFigures): string {
	let updated = page;
	for (const [name, table] of Object.entries(computeTables(figures))) {
		const begin = `<!-- table ${name} -->`;
		const end = `<!-- end ${name} -->`;
		const [before, rest] = updated.split(begin);
		const after = rest?.split(end)[1];
		if (after === undefined) {
			throw new Error(`the page has no place for the table ${name}`);
		}

		updated = `${before}${begin}\n${table}\n${end}${after}`;
	}

	return updated;
}
