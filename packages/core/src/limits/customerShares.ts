/**
 * Recent work of each customer relative to an equal share, as one entry sees it. It is made for overloads in which a few
 * large customers would take the room of all others.
 */

/** Work of one entry by customer. */
export type CustomerShares = {
	/** Records work for a customer, in any unit that is the same for all. */
	readonly record: (customerId: string, amount: number, nowMs: number) => void;
	/** Returns the recent work of a customer as a multiple of an equal share; 1 while there are no others. */
	readonly compute: (customerId: string, nowMs: number) => number;
};

/** Time within which past work loses all but 1/e of its weight. Longer than a burst of one caller, shorter than a change of traffic. */
const DECAY_MS = 3000;
/** Customers that are kept. The one whose work is least is dropped first. */
const MAX_CUSTOMERS = 512;
/** Share of the total work below which a customer is dropped. */
const MIN_SHARE = 1e-4;

/** Creates the record of an entry that has done no work. */
export function createCustomerShares(): CustomerShares {
	const workByCustomer = new Map<string, number>();
	let total = 0;
	let updatedAtMs = 0;

	const updateWork = (nowMs: number) => {
		const factor = Math.exp(-Math.max(0, nowMs - updatedAtMs) / DECAY_MS);
		updatedAtMs = Math.max(updatedAtMs, nowMs);
		total = 0;
		for (const [customerId, work] of workByCustomer) {
			workByCustomer.set(customerId, work * factor);
			total += work * factor;
		}

		for (const [customerId, work] of workByCustomer) {
			if (work < total * MIN_SHARE) {
				workByCustomer.delete(customerId);
			}
		}
	};

	const dropLeast = () => {
		const [least] = [...workByCustomer].toSorted(([, left], [, right]) => left - right);
		workByCustomer.delete(least![0]);
	};

	return {
		record(customerId, amount, nowMs) {
			// Work is stored at the weight that decays to its amount now, so that one record does not touch all customers.
			const weight = Math.exp(Math.max(0, nowMs - updatedAtMs) / DECAY_MS);
			workByCustomer.set(customerId, (workByCustomer.get(customerId) ?? 0) + (amount * weight));
			if (workByCustomer.size > MAX_CUSTOMERS) {
				dropLeast();
			}

			if (nowMs - updatedAtMs > DECAY_MS) {
				updateWork(nowMs);
			}
		},
		compute(customerId, nowMs) {
			updateWork(nowMs);
			return workByCustomer.size <= 1 || total === 0 ? 1 : (workByCustomer.get(customerId) ?? 0) * workByCustomer.size / total;
		},
	};
}
