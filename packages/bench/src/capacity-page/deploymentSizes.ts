/** Size of a deployment for which the capacity page computes its tables. */
export type DeploymentSize = {
	/** Heading of the column. */
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

/** Columns of the tables in order: today's size, a tenth of the required size, and the required size. */
export const DEPLOYMENT_SIZES: readonly DeploymentSize[] = [
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

/** Limits for the control plane on one instance. `cpuShare` is a share of one core. */
export const CONTROL_PLANE_LIMITS = {cpuShare: 0.024, memoryBytes: 64e6, bytesPerSecond: 16e3} as const;
/** Limits of the object API. The requirements state "several hundred writes and about two thousand reads" per second. */
export const STORE_LIMITS = {writesPerSecond: 300, readsPerSecond: 2000, valueBytes: 1e6} as const;
