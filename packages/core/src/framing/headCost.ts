import {type HeadScan} from './scanHead.js';

/** Lines up to which a head is parsed at once. Several times what callers send. */
const ORDINARY_LINES = 100;
/** Processor time that parsing a line takes at most. */
const LINE_MS = 0.002;

/** Tells whether a head costs so much to parse that others would wait for it noticeably. */
export function isHeadCostly({lineCount}: Pick<HeadScan, 'lineCount'>): boolean {
	return lineCount > ORDINARY_LINES;
}

/** Estimates the processor time that parsing a head takes at most. */
export function estimateHeadMs({lineCount}: Pick<HeadScan, 'lineCount'>): number {
	return lineCount * LINE_MS;
}
