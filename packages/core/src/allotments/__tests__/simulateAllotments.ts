import {SECOND_MS} from '@damaskspool/shared';
import {type AllotmentRecord, type AllotmentTolerance} from '../allotmentRecord.js';
import {type Allotments, createAllotments, type ReportedAllotment} from '../createAllotments.js';

/** What happens to the entries of a simulated load. */
export type AllotmentFault = {
	/** A cut loses all reports between the given entries and the others; a frozen entry neither sends nor decides. */
	readonly kind: 'cut' | 'kill' | 'freeze';
	readonly atMs: number;
	readonly forMs: number;
	/** Part of the entries that are concerned, from the first. */
	readonly part: number;
};

/** Options of {@link simulateAllotments}. */
export type AllotmentLoad = {
	readonly entryCount: number;
	readonly allotment: AllotmentRecord;
	readonly tolerance: AllotmentTolerance;
	/** Demand as a multiple of the rate. */
	readonly demand: number;
	/** Costs of requests, each as likely to come next, weighted by the share of requests. */
	readonly costs: ReadonlyArray<readonly [cost: number, weight: number]>;
	/** Returns the entry that receives the next request. */
	readonly pickEntry: (atMs: number, random: () => number) => number;
	readonly reportLoss?: number;
	/** Longest time from a report to its arrival. */
	readonly reportDelayMs?: number;
	readonly faults?: readonly AllotmentFault[];
	readonly lengthMs?: number;
	readonly seed?: number;
};

/** What a simulated load has brought about. Times in milliseconds. */
export type AllotmentResult = {
	readonly admitted: ReadonlyArray<{atMs: number; cost: number}>;
	readonly refused: ReadonlyArray<{atMs: number; cost: number; retryAfterMs: number}>;
};

const STEP_MS = 5;
const REPORT_INTERVAL_MS = 50;
const COMPLETE_INTERVAL_MS = 900;
const TICK_MS = 250;
const CUSTOMER = 'customer';

type SimulatedEntry = {id: string; processNumber: number; allotments: Allotments; isCut: boolean; isRunning: boolean};

function createRandom(seed: number): () => number {
	let value = seed;
	return () => {
		value = ((value * 1_103_515_245) + 12_345) % (2 ** 31);
		return value / (2 ** 31);
	};
}

/** Plays requests of one customer at entries that exchange reports, on a simulated clock. */
export function simulateAllotments(load: AllotmentLoad): AllotmentResult {
	const {entryCount, allotment, tolerance, demand, costs, pickEntry, reportLoss = 0, reportDelayMs = 60, faults = [], lengthMs = 20_000, seed = 1} = load;
	// Requests and reports draw from generators of their own, so that the same requests arrive whatever else differs.
	const random = createRandom(seed);
	const drawReport = createRandom(seed + 1);

	const ids = Array.from({length: entryCount}, (_, index) => `entry${index}`);
	const start = (id: string, nowMs: number): Allotments => {
		const allotments = createAllotments({entryId: id, tolerance});
		allotments.setLimits(new Map([[CUSTOMER, allotment]]), nowMs);
		allotments.setRegisteredPeers(ids.filter(other => other !== id), nowMs);
		return allotments;
	};

	const entries = ids.map((id): SimulatedEntry => ({
		id, processNumber: 1, allotments: start(id, 0), isCut: false, isRunning: true,
	}));
	const admitted: Array<{atMs: number; cost: number}> = [];
	const refused: Array<{atMs: number; cost: number; retryAfterMs: number}> = [];
	const arrivals = new Map<number, Array<() => void>>();
	const totalWeight = costs.reduce((sum, [, weight]) => sum + weight, 0);
	const meanCost = costs.reduce((sum, [cost, weight]) => sum + (cost * weight), 0) / totalWeight;
	const requestsPerMs = demand * allotment.ratePerS / meanCost / SECOND_MS;
	let nextRequestMs = 3000;

	const drawCost = () => {
		let left = random() * totalWeight;
		return (costs.find(([, weight]) => {
			left -= weight;
			return left < 0;
		}) ?? costs[0]!)[0];
	};

	const applyFaults = (nowMs: number) => {
		for (const {kind, atMs, forMs, part} of faults) {
			const concerned = entries.slice(0, Math.max(1, Math.floor(part * entryCount)));
			for (const entry of concerned) {
				if (nowMs === atMs) {
					entry.isCut = kind === 'cut' || entry.isCut;
					entry.isRunning = kind === 'cut' && entry.isRunning;
				} else if (nowMs === atMs + forMs) {
					entry.isCut = kind !== 'cut' && entry.isCut;
					if (kind === 'kill') {
						entry.processNumber += 1;
						entry.allotments = start(entry.id, nowMs);
					}

					entry.isRunning = true;
				}
			}
		}
	};

	const sendReport = (sender: SimulatedEntry, nowMs: number) => {
		const {id, processNumber} = sender;
		const items: readonly ReportedAllotment[] = sender.allotments.takeUpdates(nowMs, nowMs % COMPLETE_INTERVAL_MS === 0);
		for (const receiver of entries) {
			if (receiver !== sender && receiver.isCut === sender.isCut && drawReport() >= reportLoss) {
				const slot = Math.ceil((nowMs + (drawReport() * reportDelayMs) + 1) / STEP_MS);
				arrivals.set(slot, [...arrivals.get(slot) ?? [], () => {
					if (receiver.isRunning && receiver.isCut === sender.isCut) {
						receiver.allotments.merge({
							entryId: id, processId: `${id}.${processNumber}`, allotments: items, isLatest: true,
						}, slot * STEP_MS);
					}
				}]);
			}
		}
	};

	for (let nowMs = 0; nowMs < lengthMs; nowMs += STEP_MS) {
		applyFaults(nowMs);
		for (const run of arrivals.get(nowMs / STEP_MS) ?? []) {
			run();
		}

		arrivals.delete(nowMs / STEP_MS);
		for (const [index, entry] of entries.entries()) {
			if (entry.isRunning && nowMs % TICK_MS === 0) {
				entry.allotments.expire(nowMs);
			}

			// Entries report at different times.
			if (entry.isRunning && (nowMs + (index * STEP_MS)) % REPORT_INTERVAL_MS === 0) {
				sendReport(entry, nowMs);
			}
		}

		while (nextRequestMs <= nowMs) {
			nextRequestMs += -Math.log(1 - random()) / requestsPerMs;
			const cost = drawCost();
			const entry = entries[pickEntry(nowMs, random) % entryCount]!;
			if (entry.isRunning) {
				const decision = entry.allotments.take(CUSTOMER, cost, nowMs);
				if (decision.isAdmitted) {
					admitted.push({atMs: nowMs, cost});
				} else {
					refused.push({atMs: nowMs, cost, retryAfterMs: decision.retryAfterMs});
				}
			}
		}
	}

	return {admitted, refused};
}

/** Returns the largest use in a window of the given length. */
export function computeMostUse(admitted: AllotmentResult['admitted'], windowMs: number): number {
	let most = 0;
	let sum = 0;
	let first = 0;
	for (const {atMs, cost} of admitted) {
		sum += cost;
		while (admitted[first]!.atMs < atMs - windowMs) {
			sum -= admitted[first]!.cost;
			first += 1;
		}

		most = Math.max(most, sum);
	}

	return most;
}

/** Sums costs. */
export function sumCosts(requests: ReadonlyArray<{cost: number}>): number {
	return requests.reduce((sum, {cost}) => sum + cost, 0);
}
