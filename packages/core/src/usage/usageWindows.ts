import {type UsageRow} from '@damaskspool/shared';

/** Maximum size of a part: well below the object API's limit of one megabyte. */
export const MAX_PART_BYTES = 512 * 1024;

/**
 * Finds the window that contains a time.
 *
 * @param wallMs - Unix time
 * @param windowMs - length of a window
 * @returns start of the window, as Unix time in milliseconds
 */
export function findUsageWindow(wallMs: number, windowMs: number): number {
	return Math.floor(wallMs / windowMs) * windowMs;
}

/**
 * Splits a window's rows into parts that each fit in one object.
 *
 * @param maxBytes - maximum size of a part's JSON
 * @returns the parts, with rows sorted by customer, service and the window of use
 */
export function planUsageParts(rows: readonly UsageRow[], maxBytes = MAX_PART_BYTES): UsageRow[][] {
	const sorted = rows.toSorted((left, right) =>
		compareTexts(left.customerId, right.customerId)
		|| compareTexts(left.serviceId, right.serviceId)
		|| left.servedIn - right.servedIn);
	const parts: UsageRow[][] = [];
	let sizeBytes = Number.POSITIVE_INFINITY;
	for (const row of sorted) {
		// In UTF-8, a UTF-16 code unit of these identifiers takes at most three bytes.
		const rowBytes = JSON.stringify(row).length * 3;
		if (sizeBytes + rowBytes > maxBytes) {
			parts.push([]);
			sizeBytes = 0;
		}

		parts.at(-1)!.push(row);
		sizeBytes += rowBytes;
	}

	return parts;
}

/** Compares by code unit, which is fast: thousands of rows are sorted on the event loop that handles requests. */
function compareTexts(left: string, right: string): number {
	return left === right ? 0 : (left < right ? -1 : 1);
}
