/** Simulates calls of many entries to targets whose load the entries know only from old reports, without network and clock. */
import {placeCall} from '../placeCall.js';
import {
	applyTargets, changeRunning, createPlacementState, type PlacedTarget, type PlacementState, type TargetWork,
} from '../placementState.js';
import {type SpreadMode} from '../spreadState.js';
import {applyPeerWork} from '../peerContributions.js';
import {DEFAULT_PLACEMENT_SETTINGS} from '../placementSettings.js';
import {beginLearning} from '../targetSpeed.js';
import {recordStatedWorkTime} from '../workTime.js';
import {createTestTarget} from './createTestPlacement.js';

/** Options of {@link simulateSpread}. */
export type SimulateSpreadOptions = {
	readonly mode: SpreadMode;
	readonly entryCount: number;
	readonly targetCount: number;
	/** Mean age of a report; zero if entries know each other's work at once. */
	readonly reportAgeMs: number;
	/** Speeds of targets, in turn. */
	readonly speeds?: readonly number[];
	/** Requests as a share of what all targets can take. */
	readonly load?: number;
	readonly meanWorkMs?: number;
	/** Slots of each target. */
	readonly slots?: number;
	/** Whether answers of targets state how long work takes there. */
	readonly isLoadStated?: boolean;
	readonly seed?: number;
	/** Time from which no report arrives. */
	readonly reportsEndAtMs?: number;
	/** Traffic of entries as multiples of one another, in turn. */
	readonly traffic?: readonly number[];
	/** Entries that receive no report, and whose reports reach nobody. */
	readonly cutOffEntries?: number;
	/** Chooses the target of a request. */
	readonly place?: (state: PlacementState, requestId: string, nowMs: number) => PlacedTarget | undefined;
};

/** How even the load was after the warm-up. */
export type SpreadSimulationResult = {
	/** Requests per capacity of the target with the most, over the mean of all; a mean over time. */
	readonly peakToMean: number;
	/** Share of the targets' time in which all slots of a target were taken while another one had at least half of its slots free. */
	readonly fullWhileIdle: number;
	readonly p99WaitMs: number;
	readonly refused: number;
};

type Request = {readonly sentAtMs: number; readonly workMs: number; readonly state: PlacementState; readonly placed: PlacedTarget};
type SimulatedTarget = {readonly capacity: number; readonly speed: number; readonly waiting: Request[]; readonly running: Array<{endsAtMs: number; request: Request}>};

const SIMULATED_MS = 8000;
const WARM_UP_MS = 1000;
const ZONES = ['zoneA', 'zoneB', 'zoneC'] as const;

/** Returns a generator of numbers between 0 and 1 (mulberry32). */
function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		/* eslint-disable no-bitwise */
		state = Math.trunc(state + 0x6D_2B_79_F5) % (2 ** 32);
		let value = Math.imul(state ^ (state >>> 15), state | 1);
		value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
		return ((value ^ (value >>> 14)) >>> 0) / (2 ** 32);
		/* eslint-enable no-bitwise */
	};
}

/** Simulates a steady load of calls. */
export function simulateSpread(options: SimulateSpreadOptions): SpreadSimulationResult {
	const {
		mode, entryCount, targetCount, reportAgeMs, speeds = [1], load = 0.7, meanWorkMs = 200, slots = 16, isLoadStated = false, seed = 1, reportsEndAtMs = Infinity, cutOffEntries = 0, traffic = [1],
	} = options;
	const place = options.place ?? ((state, _, nowMs) =>
		placeCall({
			state, serviceId: 'plain', excludedTargetIds: new Set(), nowMs,
		})?.target);
	const random = createRandom(seed);
	const records = Array.from({length: targetCount}, (_, index) =>
		createTestTarget(`target${index}`, {
			serviceId: 'plain', slots, stage: undefined, availabilityZone: ZONES[0],
		}));
	const targets = new Map<string, SimulatedTarget>(records.map(({targetId}, index) => {
		const speed = speeds[index % speeds.length]!;
		return [targetId, {
			capacity: slots * speed, speed, waiting: [], running: [],
		}];
	}));
	const totalCapacity = [...targets.values()].reduce((sum, {capacity}) => sum + capacity, 0);
	const entries = Array.from({length: entryCount}, (_, index) => {
		const state = createPlacementState({entryId: `entry${index}`, availabilityZone: ZONES[0], spreadMode: mode});
		applyTargets(state, records);
		if (isLoadStated) {
			beginLearning(state, {serviceId: 'plain', isEngine: false, settings: DEFAULT_PLACEMENT_SETTINGS});
		}

		return state;
	});
	const connected = entries.slice(cutOffEntries);
	const entriesByTraffic = entries.flatMap((entry, index) => Array.from({length: traffic[index % traffic.length]!}, () => entry));
	const reportsByArrival = new Map<number, Array<() => void>>();
	const waitsMs: number[] = [];
	let refused = 0;
	let requestCount = 0;
	let peakSum = 0;
	let fullWhileIdle = 0;

	const receive = (from: PlacementState, workByTarget: ReadonlyMap<string, TargetWork>, receivedAtMs: number) => {
		for (const to of connected) {
			if (to !== from) {
				applyPeerWork(to, from.entryId, {
					sequence: 0, processId: '', availabilityZone: from.availabilityZone, receivedAtMs, workByTarget,
				});
			}
		}
	};

	const sendReports = (tickMs: number) => {
		for (const [index, from] of connected.entries()) {
			if (reportAgeMs === 0) {
				// The work is shared, so only the time of the report is renewed.
				const isKnown = connected.every(to => to === from || to.peers.has(from.entryId));
				if (!isKnown) {
					receive(from, new Map([...from.targets].map(([targetId, {localWork}]) => [targetId, localWork])), tickMs);
				}

				for (const to of isKnown ? connected.filter(entry => entry !== from) : []) {
					to.peers.get(from.entryId)!.receivedAtMs = tickMs;
				}
			} else if ((tickMs + Math.round(index * reportAgeMs / entryCount)) % reportAgeMs === 0) {
				// A report is taken at each interval and arrives half an interval later, so its mean age is one interval.
				const workByTarget = new Map([...from.targets].filter(([, {localWork}]) => localWork.running > 0).map(([targetId, {localWork}]) => [targetId, {...localWork}]));
				const arrivesAtMs = tickMs + Math.round(reportAgeMs / 2);
				reportsByArrival.set(arrivesAtMs, [...reportsByArrival.get(arrivesAtMs) ?? [], () => {
					receive(from, workByTarget, arrivesAtMs);
				}]);
			}
		}
	};

	const sendRequest = (tickMs: number) => {
		requestCount += 1;
		const state = entriesByTraffic[Math.floor(random() * entriesByTraffic.length)]!;
		const workMs = -Math.log(1 - random()) * meanWorkMs;
		const placed = place(state, `request${requestCount}`, tickMs);
		if (placed === undefined) {
			refused += 1;
			return;
		}

		changeRunning(state, placed, 1);
		targets.get(placed.record.targetId)!.waiting.push({
			sentAtMs: tickMs, workMs, state, placed,
		});
	};

	const runTarget = ({speed, waiting, running}: SimulatedTarget, tickMs: number) => {
		for (const {request} of running.filter(({endsAtMs}) => endsAtMs <= tickMs)) {
			changeRunning(request.state, request.placed, -1);
			if (isLoadStated) {
				request.placed.workTime = recordStatedWorkTime(request.placed.workTime, 1 / speed, {meanWorkTime: 1, nowMs: tickMs});
			}
		}

		running.splice(0, running.length, ...running.filter(({endsAtMs}) => endsAtMs > tickMs));
		while (running.length < slots && waiting.length > 0) {
			const request = waiting.shift()!;
			running.push({endsAtMs: tickMs + (request.workMs / speed), request});
			if (request.sentAtMs >= WARM_UP_MS) {
				waitsMs.push(tickMs - request.sentAtMs);
			}
		}
	};

	let nextRequestAtMs = 0;
	for (let tickMs = 0; tickMs < SIMULATED_MS; tickMs += 1) {
		if (tickMs < reportsEndAtMs) {
			sendReports(tickMs);
		}

		for (const run of tickMs < reportsEndAtMs ? reportsByArrival.get(tickMs) ?? [] : []) {
			run();
		}

		reportsByArrival.delete(tickMs);
		for (; nextRequestAtMs <= tickMs; nextRequestAtMs -= Math.log(1 - random()) * meanWorkMs / totalCapacity / load) {
			sendRequest(tickMs);
		}

		for (const target of targets.values()) {
			runTarget(target, tickMs);
		}

		if (tickMs >= WARM_UP_MS) {
			const all = [...targets.values()];
			const loads = all.map(({running, waiting, capacity}) => (running.length + waiting.length) / capacity);
			peakSum += Math.max(...loads) * loads.length / Math.max(1e-9, loads.reduce((sum, value) => sum + value, 0));
			const isOneIdle = all.some(({running}) => running.length <= slots / 2);
			fullWhileIdle += isOneIdle ? all.filter(({running}) => running.length === slots).length / all.length : 0;
		}
	}

	const sampledMs = SIMULATED_MS - WARM_UP_MS;
	waitsMs.sort((left, right) => left - right);
	return {
		peakToMean: peakSum / sampledMs,
		fullWhileIdle: fullWhileIdle / sampledMs,
		p99WaitMs: waitsMs[Math.floor(waitsMs.length * 0.99)] ?? 0,
		refused,
	};
}
