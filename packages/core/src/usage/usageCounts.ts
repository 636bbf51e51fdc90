import {USAGE_AMOUNTS, type UsageCounts, type UsageRow} from '@damaskspool/shared';

/** Creates counts. Amounts that are not given are zero. */
export function createUsageCounts(amounts: Partial<UsageCounts> = {}): UsageCounts {
	return {
		requests: 0, calls: 0, promptTokens: 0, repeatedPromptTokens: 0, cachedTokens: 0, generatedTokens: 0, targetMs: 0, ...amounts,
	};
}

/** Sums counts, amount by amount. */
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
 * Merges two processes' counts of the same attempt by taking the larger of each
 * amount. Either process may miss the end of a response, but neither counts
 * more than was used.
 */
export function mergeUsageCounts(left: UsageCounts, right: UsageCounts): UsageCounts {
	const merged = createUsageCounts();
	for (const amount of USAGE_AMOUNTS) {
		merged[amount] = Math.max(left[amount], right[amount]);
	}

	return merged;
}

/** Summed rows, keyed by customer, service and the window of use. */
export type UsageSums = Map<string, UsageRow>;

/**
 * Adds rows to sums. Changes `sums` in place, since a window of a region may
 * have a million rows, and leaves `rows` unchanged.
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

/** Sums rows into one row for each customer, service and window of use. */
export function sumUsageRows(rows: readonly UsageRow[]): UsageRow[] {
	const sums: UsageSums = new Map();
	addUsageRows(sums, rows);
	return [...sums.values()];
}
