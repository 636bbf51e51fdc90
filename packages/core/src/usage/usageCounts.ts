import {USAGE_AMOUNTS, type UsageCounts, type UsageRow} from '@damaskspool/shared';

/**
 * Creates counts from some amounts.
 *
 * @param amounts - amounts that are not zero
 * @returns the counts
 */
export function createUsageCounts(amounts: Partial<UsageCounts> = {}): UsageCounts {
	return {
		requests: 0, calls: 0, promptTokens: 0, repeatedPromptTokens: 0, cachedTokens: 0, generatedTokens: 0, targetMs: 0, ...amounts,
	};
}

/**
 * Sums up counts.
 *
 * @param parts - counts, or rows that hold them
 * @returns each amount's sum
 */
export function sumUsageCounts(parts: readonly UsageCounts[]): UsageCounts {
	const sum = createUsageCounts();
	for (const part of parts) {
		for (const amount of USAGE_AMOUNTS) {
			sum[amount] += part[amount];
		}
	}

	return sum;
}

/**
 * Joins two counts of the same attempt. Either may have missed the end of an
 * answer, and neither counts what did not happen, so the larger amount is right.
 *
 * @param left - counts of one process
 * @param right - counts of the other
 * @returns the larger of each amount
 */
export function mergeUsageCounts(left: UsageCounts, right: UsageCounts): UsageCounts {
	const merged = createUsageCounts();
	for (const amount of USAGE_AMOUNTS) {
		merged[amount] = Math.max(left[amount], right[amount]);
	}

	return merged;
}

/** Sums by customer, service and window. */
export type UsageSums = Map<string, UsageRow>;

/**
 * Adds rows to sums, in place: a window of a region may have a million rows.
 *
 * @param sums - sums to change
 * @param rows - rows to add; they are left as they are
 */
export function addUsageRows(sums: UsageSums, rows: readonly UsageRow[]): void {
	for (const row of rows) {
		const key = `${row.customerId}\n${row.serviceId}\n${row.servedIn}`;
		const sum = sums.get(key);
		if (sum === undefined) {
			sums.set(key, {...row});
			continue;
		}

		for (const amount of USAGE_AMOUNTS) {
			sum[amount] += row[amount];
		}
	}
}

/**
 * Sums rows of the same customer, service and window.
 *
 * @param rows - rows, some of which may belong together
 * @returns one row for each customer, service and window
 */
export function sumUsageRows(rows: readonly UsageRow[]): UsageRow[] {
	const sums: UsageSums = new Map();
	addUsageRows(sums, rows);
	return [...sums.values()];
}
