import {recordCustomerActive} from '../limits/virtualTokenCounters.js';
import {type AdmissionState, type Work} from './admissionState.js';

/**
 * Takes work into the queue, and lifts the counter of a customer that was idle.
 *
 * @param admission - state to change
 * @param work - work that was not refused
 */
export function enqueueWork(admission: AdmissionState, work: Work): void {
	const activeIds = new Set([...admission.waiting, ...admission.running.values()].map(({customerId}) => customerId));
	if (!activeIds.has(work.customerId)) {
		recordCustomerActive(admission.tokenCounters, work.customerId, activeIds);
	}

	admission.waiting.push(work);
}

/**
 * Picks the work that starts next: interactive before batch, then the customer
 * that was served least, then the oldest.
 *
 * @param admission - state of the sidecar
 * @returns the work, or undefined where none waits
 */
export function pickNextWork({waiting, tokenCounters: tokenCounters}: AdmissionState): Work | undefined {
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
 * Picks the work that leaves a full queue for new work: the newest of the
 * customer that has most waiting, if that is more than the new work's customer
 * would then have. So one customer cannot keep the others out.
 *
 * @param admission - state of a sidecar whose queue is full
 * @param work - the new work
 * @returns the work to refuse, or undefined where the new work is refused itself
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
