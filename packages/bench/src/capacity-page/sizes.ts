/** The sizes for which the capacity page computes: today's, a tenth of the letter's, and the letter's. */

/** Sizes of one deployment. */
export type Sizes = {
	readonly name: string;
	readonly entries: number;
	readonly targets: number;
	readonly zones: number;
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	readonly customers: number;
	readonly keysPerCustomer: number;
	readonly changesPerDay: number;
	readonly kvBytesPerSecond: number;
};

/** Columns of the page, in order. */
export const SIZES: readonly Sizes[] = [
	{
		name: 'today', entries: 3, targets: 11, zones: 3, requestsPerSecond: 30, tokensPerSecond: 700, customers: 9, keysPerCustomer: 2, changesPerDay: 20, kvBytesPerSecond: 0,
	},
	{
		name: 'a tenth', entries: 86, targets: 300, zones: 12, requestsPerSecond: 4600, tokensPerSecond: 1e6, customers: 670, keysPerCustomer: 2, changesPerDay: 1500, kvBytesPerSecond: 700e9,
	},
	{
		name: 'full', entries: 860, targets: 3000, zones: 12, requestsPerSecond: 46_000, tokensPerSecond: 10e6, customers: 6700, keysPerCustomer: 2, changesPerDay: 15_000, kvBytesPerSecond: 7e12,
	},
];

/** What control may use on one node. */
export const CONTROL_LIMITS = {cpuShare: 0.024, memoryBytes: 64e6, bytesPerSecond: 16e3} as const;
/** Calls that the object API takes in a second: "several hundred writes and about two thousand reads". */
export const STORE_LIMITS = {writesPerSecond: 300, readsPerSecond: 2000, valueBytes: 1e6} as const;
