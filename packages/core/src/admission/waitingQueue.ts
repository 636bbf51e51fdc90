import {recordCustomerActive} from '../limits/virtualTokenCounters.js';
import {type AdmissionState, type Work} from './admissionState.js';

/**
 * Appends work to the waiting queue. Raises the virtual token counter of a
 * customer that was idle.
 *
 * @param admission - admission state; modified in place
 */
export function enqueueWork(admission: AdmissionState, work: Work): void {
	const activeIds = new Set([...admission.waiting, ...admission.running.values()].map(({customerId}) => customerId));
	if (!activeIds.has(work.customerId)) {
		recordCustomerActive(admission.tokenCounters, work.customerId, activeIds);
	}

	admission.waiting.push(work);
}

/**
 * Picks the work that starts next: interactive work before batch work, then the
 * customer with the lowest virtual token counter, then the oldest work.
 *
 * @returns undefined if the queue is empty
 */
export function pickNextWork({waiting, tokenCounters}: AdmissionState): Work | undefined {
	const interactive = waiting.filter(work => work.priority === 'interactive');
	let next: Work | undefined;
	let minCounter = Number.POSITIVE_INFINITY;
	for (const work of interactive.length > 0 ? interactive : waiting) {
		const counter = tokenCounters.get(work.customerId) ?? 0;
		if (counter < minCounter) {
			next = work;
			minCounter = counter;
		}
	}

	return next;
}

/**
 * Picks the waiting work that a full queue drops to make room for new work: the
 * newest work of the customer with the most work in the queue. That customer must
 * have more work waiting than the new work's customer would have after admission.
 * This rule prevents one customer from blocking all others with a full queue.
 *
 * @param work - new work, not yet in the queue
 * @returns the work to refuse, or undefined if the new work itself is refused
 */
export function pickDisplacedWork({waiting}: AdmissionState, work: Work): Work | undefined {
	const waitingCounts = new Map<string, number>();
	for (const {customerId} of waiting) {
		waitingCounts.set(customerId, (waitingCounts.get(customerId) ?? 0) + 1);
	}

	const [busiestCustomerId, maxCount] = [...waitingCounts].toSorted((left, right) => right[1] - left[1])[0] ?? ['', 0];
	return maxCount > (waitingCounts.get(work.customerId) ?? 0) + 1
		? waiting.findLast(({customerId}) => customerId === busiestCustomerId)
		: undefined;
}
