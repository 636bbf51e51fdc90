import {sum} from 'simple-statistics';
import {type DeploymentFile, type TrafficClass} from '../../harness/deploymentFile.js';
import {
	createRandom, pickByShare, pickInRange, type PlannedRequest, type SharedPrefix,
} from '../../load/createTraffic.js';
import {REQUEST_SCALE, RUN_MS} from './shiftSettings.js';

/** A part of a trace with one mix. */
export type Phase = {
	readonly untilMs: number;
	/** Requests per second with a long prompt, and without; a run divides them by the request scale. */
	readonly longPerSecond: number;
	readonly shortPerSecond: number;
};

/** A deployment's trace. */
export type Trace = {
	/** Name of the kind of request with a long prompt. */
	readonly long: string;
	/** Name of the other kind. */
	readonly short: string;
	/** Documents that long prompts begin with, shared out to customers by their share of the traffic. */
	readonly documents: number;
	readonly phases: readonly Phase[];
};

/** Traces by deployment: the mix swings every two minutes of the deployment's time. */
export const TRACES: Readonly<Record<string, Trace>> = {
	/** Mornings of dossiers, then a festival's foremen with short questions. */
	idranti: {
		long: 'eligibility',
		short: 'question',
		documents: 32,
		phases: [
			{untilMs: RUN_MS * 0.25, longPerSecond: 12, shortPerSecond: 10},
			{untilMs: RUN_MS * 0.5, longPerSecond: 22, shortPerSecond: 4},
			{untilMs: RUN_MS * 0.75, longPerSecond: 6, shortPerSecond: 22},
			{untilMs: RUN_MS, longPerSecond: 22, shortPerSecond: 4},
		],
	},
	/** Cards through the year, and the peak of All Souls' at the end. */
	odalaigh: {
		long: 'blessing-card',
		short: 'question',
		documents: 24,
		phases: [
			{untilMs: RUN_MS * 0.25, longPerSecond: 6, shortPerSecond: 12},
			{untilMs: RUN_MS * 0.5, longPerSecond: 12, shortPerSecond: 4},
			{untilMs: RUN_MS * 0.75, longPerSecond: 2, shortPerSecond: 36},
			{untilMs: RUN_MS, longPerSecond: 12, shortPerSecond: 10},
		],
	},
};

/** Tokens of a long prompt that no other prompt shares. */
const OWN_TOKENS = 200;

/**
 * Plans the open-loop arrivals of a trace.
 *
 * @param file - deployment
 * @param trace - its trace
 * @param seed - of arrivals, sizes and documents
 * @returns the requests in order of time
 */
export function createShiftTraffic(file: DeploymentFile, trace: Trace, seed: number): PlannedRequest[] {
	const random = createRandom(seed);
	const findTraffic = (name: string): TrafficClass => file.traffic.find(traffic => traffic.name === name)!;
	const long = findTraffic(trace.long);
	const short = findTraffic(trace.short);
	const documents = createDocuments(file, trace, long, random);
	const planned: PlannedRequest[] = [];
	let atMs = 0;
	for (const phase of trace.phases) {
		const total = (phase.longPerSecond + phase.shortPerSecond) / REQUEST_SCALE;
		for (;;) {
			const nextMs = atMs - (Math.log(1 - random()) * 1000 / total);
			if (nextMs >= phase.untilMs) {
				// Arrivals have no memory: the next phase draws its own gap from its own beginning.
				atMs = phase.untilMs;
				break;
			}

			atMs = nextMs;
			const trafficClass = random() * total * REQUEST_SCALE < phase.longPerSecond ? long : short;
			const customerId = pickByShare(file.customers, random()).customer;
			const own = documents.get(customerId)!;
			const sharedPrefix = trafficClass === long ? own[Math.floor(random() * own.length)]! : undefined;
			planned.push({
				atMs,
				trafficClass,
				customerId,
				promptTokens: sharedPrefix === undefined ? pickInRange(trafficClass.promptTokens!, random()) : sharedPrefix.tokens + OWN_TOKENS,
				maxTokens: pickInRange(trafficClass.maxTokens!, random()),
				reference: `${seed}-${planned.length}`,
				...(sharedPrefix !== undefined && {sharedPrefix}),
			});
		}
	}

	return planned;
}

function createDocuments(file: DeploymentFile, trace: Trace, long: TrafficClass, random: () => number): Map<string, SharedPrefix[]> {
	const shares = file.customers.reduce((sum, {share}) => sum + share, 0);
	return new Map(file.customers.map(({customer, share}) => [
		customer,
		Array.from({length: Math.max(1, Math.round(trace.documents * share / shares))}, (_, index) => ({
			prefixId: `${customer}-${index}`,
			tokens: pickInRange(long.promptTokens!, random()),
		})),
	]));
}

/**
 * Computes the work of one phase.
 *
 * @param file - deployment
 * @param trace - its trace
 * @param atMs - time in the run
 * @returns prompt tokens and generated tokens per second that are asked for, cached or not
 */
export function computeAskedRates(file: DeploymentFile, trace: Trace, atMs: number): {prompt: number; generated: number} {
	const phase = trace.phases.find(({untilMs}) => atMs < untilMs) ?? trace.phases.at(-1)!;
	const rates = [[trace.long, phase.longPerSecond], [trace.short, phase.shortPerSecond]] as const;
	const sumRates = (field: 'promptTokens' | 'maxTokens') => sum(rates.map(([name, rate]) => {
		const [low, high] = file.traffic.find(traffic => traffic.name === name)![field]!;
		return rate * (low + high) / 2 / REQUEST_SCALE;
	}));
	return {prompt: sumRates('promptTokens'), generated: sumRates('maxTokens')};
}
