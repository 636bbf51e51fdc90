import {
	type ComparisonOperator, type Condition, type QueryRow, type QueryStatement, type StatementValue,
} from '@damaskspool/shared';

const COMPARISON_PREDICATES: Readonly<Record<ComparisonOperator, (left: StatementValue, right: StatementValue) => boolean>> = {
	'=': (left, right) => compareValues(left, right) === 0,
	'!=': (left, right) => compareValues(left, right) !== 0,
	'<': (left, right) => compareValues(left, right) < 0,
	'<=': (left, right) => compareValues(left, right) <= 0,
	'>': (left, right) => compareValues(left, right) > 0,
	'>=': (left, right) => compareValues(left, right) >= 0,
	'~': (left, right) => String(left).toLowerCase().includes(String(right).toLowerCase()),
};

/**
 * Filters, groups, orders and limits the rows of a source.
 *
 * @param query - query whose columns exist in the source
 */
export function runQuery(rows: readonly QueryRow[], query: QueryStatement): QueryRow[] {
	const {where, groupBy, orderBy, limit} = query;
	const selected = where === undefined ? rows : rows.filter(row => isMatch(row, where));
	const grouped = groupBy.length === 0 ? selected : groupRows(selected, groupBy);
	const ordered = orderBy.length === 0
		? [...grouped]
		: grouped.toSorted((left, right) => {
			for (const {column, isDescending} of orderBy) {
				const order = compareValues(left[column] ?? '', right[column] ?? '');
				if (order !== 0) {
					return isDescending ? -order : order;
				}
			}

			return 0;
		});
	return limit === undefined ? ordered : ordered.slice(0, limit);
}

function isMatch(row: QueryRow, condition: Condition): boolean {
	switch (condition.type) {
		case 'and': {
			return isMatch(row, condition.left) && isMatch(row, condition.right);
		}

		case 'or': {
			return isMatch(row, condition.left) || isMatch(row, condition.right);
		}

		case 'not': {
			return !isMatch(row, condition.condition);
		}

		case 'compare': {
			return COMPARISON_PREDICATES[condition.comparison](row[condition.column] ?? '', condition.value);
		}
	}
}

/** Compares two numbers by value, and all other values as text. */
function compareValues(left: StatementValue, right: StatementValue): number {
	if (typeof left === 'number' && typeof right === 'number') {
		return left - right;
	}

	const leftText = String(left);
	const rightText = String(right);
	return leftText === rightText ? 0 : (leftText < rightText ? -1 : 1);
}

/** Returns one row per combination of grouping values, with the row count and the sum of each numeric column. */
function groupRows(rows: readonly QueryRow[], groupBy: readonly string[]): QueryRow[] {
	const groups = new Map<string, Record<string, StatementValue>>();
	for (const row of rows) {
		const key = JSON.stringify(groupBy.map(column => row[column]));
		let group = groups.get(key);
		if (group === undefined) {
			group = Object.fromEntries(groupBy.map(column => [column, row[column] ?? '']));
			group.count = 0;
			groups.set(key, group);
		}

		group.count = Number(group.count) + 1;
		for (const [column, value] of Object.entries(row)) {
			if (typeof value === 'number' && !groupBy.includes(column)) {
				group[column] = Number(group[column] ?? 0) + value;
			}
		}
	}

	return [...groups.values()];
}
