import {type UsageRow} from '@damaskspool/shared';

/** Largest part of a window's figures: well under the object API's limit of a megabyte. */
export const MAX_PART_BYTES = 512 * 1024;

/**
 * Finds the window of a time.
 *
 * @param wallMs - time since the epoch
 * @param windowMs - length of a window
 * @returns start of the window
 */
export function findUsageWindow(wallMs: number, windowMs: number): number {
	return Math.floor(wallMs / windowMs) * windowMs;
}

/**
 * Splits a window's rows into parts that each fit one object.
 *
 * @param rows - all rows of the window
 * @param maxBytes - most bytes of a part
 * @returns the parts in order of customer and service
 */
export function planUsageParts(rows: readonly UsageRow[], maxBytes = MAX_PART_BYTES): UsageRow[][] {
	const sorted = rows.toSorted((left, right) =>
		compareTexts(left.customerId, right.customerId)
		|| compareTexts(left.serviceId, right.serviceId)
		|| left.servedIn - right.servedIn);
	const parts: UsageRow[][] = [];
	let sizeBytes = Number.POSITIVE_INFINITY;
	for (const row of sorted) {
		// Three bytes a character is the most that JSON in UTF-8 needs for these identifiers.
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

/** By code unit: thousands of rows are sorted on the loop that serves requests. */
function compareTexts(left: string, right: string): number {
	return left === right ? 0 : (left < right ? -1 : 1);
}
