/**
 * Budget of repeats of a service that all entries share by dividing it: each
 * entry takes its own requests' share, and an equal part of the allowance that
 * holds however few requests there are.
 */

/** Options of {@link createRepeatBudget}. */
export type RepeatBudgetOptions = {
	/** Repeats as a share of the requests of a window. */
	readonly share: number;
	/** Repeats in a window beyond that share, of all entries together. */
	readonly allowance: number;
	readonly windowMs: number;
};

/** Budget of one entry. */
export type RepeatBudget = {
	/** Counts a request of a service. */
	readonly recordRequest: (serviceId: string, nowMs: number) => void;
	/** Takes one repeat if there is one left; `entries` share the allowance. */
	readonly take: (serviceId: string, entries: number, nowMs: number) => boolean;
};

/** Part of what the bound allows that is used: entries see the requests of different moments. */
const USED_PART = 0.5;

type Times = {requests: number[]; repeats: number[]};

/**
 * Creates a budget with nothing counted.
 *
 * @param options - bounds of the budget
 * @returns the budget
 */
export function createRepeatBudget({share, allowance, windowMs}: RepeatBudgetOptions): RepeatBudget {
	const timesByService = new Map<string, Times>();
	const find = (serviceId: string, nowMs: number): Times => {
		let times = timesByService.get(serviceId);
		if (times === undefined) {
			times = {requests: [], repeats: []};
			timesByService.set(serviceId, times);
		}

		for (const list of [times.requests, times.repeats]) {
			const live = list.findIndex(atMs => atMs > nowMs - windowMs);
			list.splice(0, live === -1 ? list.length : live);
		}

		return times;
	};

	return {
		recordRequest(serviceId, nowMs) {
			find(serviceId, nowMs).requests.push(nowMs);
		},
		take(serviceId, entries, nowMs) {
			const {requests, repeats} = find(serviceId, nowMs);
			if (repeats.length + 1 > USED_PART * ((requests.length * share) + (allowance / Math.max(1, entries)))) {
				return false;
			}

			repeats.push(nowMs);
			return true;
		},
	};
}
