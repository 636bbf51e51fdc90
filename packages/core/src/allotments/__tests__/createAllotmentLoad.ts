/** Loads for tests of allotments, with the users' bounds. */
import {
	ALLOTMENT_UNITS, type AllotmentRecord, type AllotmentTolerance,
} from '../allotmentRecord.js';
import {type AllotmentLoad, simulateAllotments, sumCosts} from './simulateAllotments.js';

/** The users' bounds: `QuotaWindowS`, `QuotaOverage` and `QuotaSlack`. */
export const TOLERANCE: AllotmentTolerance = {windowMs: 8000, overage: 0.1, slack: 190_000};
export const MAX_REFUSED_BELOW = 0.02;

export const createAllotment = (ratePerS: number, fields: Partial<AllotmentRecord> = {}): AllotmentRecord =>
	({
		unit: ALLOTMENT_UNITS.tokens, ratePerS, burst: ratePerS, plainTokens: 200, ...fields,
	});

/** Long and short prompts: 17,029 and 386 tokens, of which one is long for each nine short ones. */
export const MIXED_COSTS = [[17_029, 1], [386, 9]] as const;
export const SHORT_COSTS = [[386, 9], [200, 1]] as const;
export const PLACES: Readonly<Record<string, AllotmentLoad['pickEntry']>> = {
	'at one entry': () => 3,
	'at all entries': (_, random) => Math.floor(random() * 1000),
	'at one entry after the other': atMs => Math.floor(atMs / 2500),
};

export const createLoad = (fields: Partial<AllotmentLoad> = {}): AllotmentLoad => ({
	entryCount: 20, allotment: createAllotment(400_000), tolerance: TOLERANCE, demand: 1, costs: MIXED_COSTS, pickEntry: PLACES['at all entries']!, ...fields,
});

export function computeRefusedPart(fields: Partial<AllotmentLoad>): number {
	const {admitted, refused} = simulateAllotments(createLoad(fields));
	return sumCosts(refused) / (sumCosts(refused) + sumCosts(admitted));
}
