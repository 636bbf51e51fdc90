/**
 * Budget of repeats of a service that all entries share by dividing it: each
 * entry takes its own requests' share, and an equal part of the allowance that
 * holds however few requests there are.
 */

/** Options of {@link createSharedRetryBudget}. */
export type SharedRetryBudgetOptions = {
	/** Repeats as a share of the requests of a window. */
	readonly retryRatio: number;
	/** Repeats in a window beyond that share, of all entries together. */
	readonly allowance: number;
	readonly windowMs: number;
};

/** Budget of one entry. */
export type SharedRetryBudget = {
	/** Counts a request of a service. */
	readonly recordRequest: (serviceId: string, nowMs: number) => void;
	/** Takes one repeat if there is one left; `entries` share the allowance. */
	readonly take: (serviceId: string, entryCount: number, nowMs: number) => boolean;
};

/** Part of what the bound allows that is used: entries see the requests of different moments. */
const SAFETY_FACTOR = 0.5;

type ServiceTimes = {requests: number[]; retries: number[]};

/**
 * Creates a budget with nothing counted.
 *
 * @param options - bounds of the budget
 * @returns the budget
 */
export function createSharedRetryBudget({retryRatio, allowance, windowMs}: SharedRetryBudgetOptions): SharedRetryBudget {
	const timesByService = new Map<string, ServiceTimes>();
	const getTimes = (serviceId: string, nowMs: number): ServiceTimes => {
		let times = timesByService.get(serviceId);
		if (times === undefined) {
			times = {requests: [], retries: []};
			timesByService.set(serviceId, times);
		}

		for (const list of [times.requests, times.retries]) {
			const firstInWindow = list.findIndex(atMs => atMs > nowMs - windowMs);
			list.splice(0, firstInWindow === -1 ? list.length : firstInWindow);
		}

		return times;
	};

	return {
		recordRequest(serviceId, nowMs) {
			getTimes(serviceId, nowMs).requests.push(nowMs);
		},
		take(serviceId, entryCount, nowMs) {
			const {requests, retries} = getTimes(serviceId, nowMs);
			if (retries.length + 1 > SAFETY_FACTOR * ((requests.length * retryRatio) + (allowance / Math.max(1, entryCount)))) {
				return false;
			}

			retries.push(nowMs);
			return true;
		},
	};
}
