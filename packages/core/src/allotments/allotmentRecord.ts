/** Limits that the configuration sets for a customer over all entries, and what a request counts towards them. */
import {type PromptRecord} from '../serving/servingRecords.js';

/** Units in which an allotment is counted. */
export const ALLOTMENT_UNITS = {requests: 'requests', tokens: 'tokens'} as const;

/** One of {@link ALLOTMENT_UNITS}. */
export type AllotmentUnit = typeof ALLOTMENT_UNITS[keyof typeof ALLOTMENT_UNITS];

/** What a customer may use over all entries together. */
export type AllotmentRecord = {
	readonly unit: AllotmentUnit;
	/** Units per second; above zero. */
	readonly ratePerS: number;
	/** Units beyond the rate that may be used at once. */
	readonly burst: number;
	/** Tokens of a request that states none. */
	readonly plainTokens: number;
};

/** By how much the use in a window may exceed an allotment. Zero where the deployment does not say. */
export type AllotmentTolerance = {
	readonly windowMs: number;
	/** Excess as a ratio of what the allotment permits in a window. */
	readonly overage: number;
	/** Excess in units. */
	readonly slack: number;
};

/** Least that a request counts, so that none is free. */
const MIN_COST = 1;

/**
 * Computes what a request counts towards the allotment of its customer.
 *
 * @param prompt - undefined if the request states no tokens, or malformed ones
 * @returns requests or tokens, as the unit of the allotment says
 */
export function computeCost({unit, plainTokens}: AllotmentRecord, prompt: Pick<PromptRecord, 'tokens' | 'maxOutputTokens'> | undefined): number {
	if (unit === ALLOTMENT_UNITS.requests) {
		return 1;
	}

	const isStated = prompt !== undefined && isCount(prompt.tokens) && isCount(prompt.maxOutputTokens);
	return Math.max(MIN_COST, isStated ? prompt.tokens + prompt.maxOutputTokens : plainTokens);
}

function isCount(value: number): boolean {
	return Number.isSafeInteger(value) && value >= 0;
}
