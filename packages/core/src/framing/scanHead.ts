/**
 * Finds the end of a request's head, or of the trailers behind a body, without making strings of its lines. It answers the load of heads with very many
 * short lines: what they cost to parse and to keep follows their lines, which are known here before any of them is parsed.
 */

/** How far a head has been read. Changed in place. */
export type HeadScan = {
	/** Whether line breaks are skipped that come before the first line. */
	readonly skipsLeadingBreaks: boolean;
	/** Bytes of the first line, with its line break. */
	firstLineBytes: number;
	/** Bytes of the other lines, with their line breaks and the blank line. */
	otherBytes: number;
	/** Lines behind the first one, without the blank line. */
	lineCount: number;
	/** Bytes of the present line. */
	lineBytes: number;
	isAfterReturn: boolean;
	hasFirstLine: boolean;
};

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Begins to read a head. */
export function createHeadScan({skipsLeadingBreaks = true}: {readonly skipsLeadingBreaks?: boolean} = {}): HeadScan {
	return {
		skipsLeadingBreaks, firstLineBytes: 0, otherBytes: 0, lineCount: 0, lineBytes: 0, isAfterReturn: false, hasFirstLine: !skipsLeadingBreaks,
	};
}

/**
 * Reads more bytes of a head. A line ends at each line feed, as early as any parser ends it, so that no byte behind the head is taken for a part of it.
 *
 * @param scan - changed in place
 * @returns where the head begins in these bytes, and where it ends; the end is undefined if the head goes on
 */
export function scanHead(scan: HeadScan, bytes: Uint8Array): {readonly startsAt: number; readonly endsAt: number | undefined} {
	let startsAt = 0;
	let index = 0;
	while (index < bytes.length) {
		const byte = bytes[index]!;
		index += 1;
		if (!scan.hasFirstLine && scan.lineBytes === 0 && (byte === LINE_FEED || byte === CARRIAGE_RETURN)) {
			startsAt = index;
			continue;
		}

		scan.lineBytes += 1;
		if (byte !== LINE_FEED) {
			scan.isAfterReturn = byte === CARRIAGE_RETURN;
			continue;
		}

		const isBlank = scan.lineBytes === (scan.isAfterReturn ? 2 : 1);
		if (scan.hasFirstLine) {
			scan.otherBytes += scan.lineBytes;
			scan.lineCount += isBlank ? 0 : 1;
		} else {
			scan.firstLineBytes = scan.lineBytes;
		}

		scan.lineBytes = 0;
		scan.isAfterReturn = false;
		if (isBlank && scan.hasFirstLine) {
			return {startsAt, endsAt: index};
		}

		scan.hasFirstLine = true;
	}

	return {startsAt, endsAt: undefined};
}

/** Tells whether a head is longer than a limit, which holds for its first line and for its other lines each: the limit does not say whether it includes the first one. */
export function isHeadTooLong({firstLineBytes, otherBytes, lineBytes, hasFirstLine}: HeadScan, maxBytes: number): boolean {
	return firstLineBytes + (hasFirstLine ? 0 : lineBytes) > maxBytes || otherBytes + (hasFirstLine ? lineBytes : 0) > maxBytes;
}

/** Tells whether a head has begun, beside line breaks before it. */
export function hasHeadBegun({firstLineBytes, otherBytes, lineBytes}: HeadScan): boolean {
	return firstLineBytes + otherBytes + lineBytes > 0;
}
