/**
 * Retry budget that all entries share without coordination, for each service. An
 * entry may spend a ratio of its own recent requests plus an equal part of a fixed
 * allowance. The allowance permits retries even when there are few requests.
 */

/** Options of {@link createSharedRetryBudget}. */
export type SharedRetryBudgetOptions = {
	/** Retries as a ratio of the requests in the window. */
	readonly retryRatio: number;
	/** Additional retries in the window, for all entries together. */
	readonly allowance: number;
	readonly windowMs: number;
};

/** Budget of one entry, for all services. */
export type SharedRetryBudget = {
	/** Counts a request of a service. */
	readonly recordRequest: (serviceId: string, nowMs: number) => void;
	/** Takes one retry from the budget, or from a share of it, and returns whether one was left. `entryCount` entries share the allowance. */
	readonly take: (serviceId: string, entryCount: number, nowMs: number, share?: number) => boolean;
	/** Gives back the retries of a service that were taken last, and not sent. */
	readonly release: (serviceId: string, count: number) => void;
};

/** Fraction of the permitted retries that an entry uses. Entries count requests at different moments, so their retries together could otherwise exceed the bound. */
const SAFETY_FACTOR = 0.5;

/** Times of the requests and retries of one service, in milliseconds, oldest first. */
type ServiceTimes = {requests: number[]; retries: number[]};

/** Creates a budget without recorded requests and retries. */
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
		take(serviceId, entryCount, nowMs, share = 1) {
			const {requests, retries} = getTimes(serviceId, nowMs);
			if (retries.length + 1 > SAFETY_FACTOR * share * ((requests.length * retryRatio) + (allowance / Math.max(1, entryCount)))) {
				return false;
			}

			retries.push(nowMs);
			return true;
		},
		release(serviceId, count) {
			const retries = timesByService.get(serviceId)?.retries ?? [];
			retries.splice(Math.max(0, retries.length - count));
		},
	};
}
