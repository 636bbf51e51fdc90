import {sum} from 'simple-statistics';
import {type DeploymentFile, type TrafficClass} from '../../harness/deploymentFile.js';
import {
	createRandom, pickByShare, pickInRange, type PlannedRequest, type SharedPrefix,
} from '../../load/createTraffic.js';
import {REQUEST_SCALE, RUN_MS} from './shiftSettings.js';

/** Part of a trace with a constant workload mix. */
export type Phase = {
	/** End of the phase, from the start of the run. */
	readonly endMs: number;
	/** Requests per second with a long prompt. A run divides the rates by {@link REQUEST_SCALE}. */
	readonly longRequestsPerSecond: number;
	/** Requests per second with a short prompt. */
	readonly shortRequestsPerSecond: number;
};

/** Workload of a deployment over time. */
export type Trace = {
	/** Name of the deployment's traffic with long prompts. */
	readonly longTrafficName: string;
	/** Name of the deployment's traffic with short prompts. */
	readonly shortTrafficName: string;
	/** Number of documents with which long prompts begin. Each customer gets documents by its share of the traffic, but at least one. */
	readonly documentCount: number;
	readonly phases: readonly Phase[];
};

/** Traces by deployment. The mix changes every quarter of a run, which is two minutes of the deployment's time. */
export const TRACES: Readonly<Record<string, Trace>> = {
	/** Alternates between long eligibility checks in the mornings and short questions of a festival's foremen. */
	idranti: {
		longTrafficName: 'eligibility',
		shortTrafficName: 'question',
		documentCount: 32,
		phases: [
			{endMs: RUN_MS * 0.25, longRequestsPerSecond: 12, shortRequestsPerSecond: 10},
			{endMs: RUN_MS * 0.5, longRequestsPerSecond: 22, shortRequestsPerSecond: 4},
			{endMs: RUN_MS * 0.75, longRequestsPerSecond: 6, shortRequestsPerSecond: 22},
			{endMs: RUN_MS, longRequestsPerSecond: 22, shortRequestsPerSecond: 4},
		],
	},
	/** Alternates between blessing cards and short questions, and ends with the peak of All Souls' Day. */
	odalaigh: {
		longTrafficName: 'blessing-card',
		shortTrafficName: 'question',
		documentCount: 24,
		phases: [
			{endMs: RUN_MS * 0.25, longRequestsPerSecond: 6, shortRequestsPerSecond: 12},
			{endMs: RUN_MS * 0.5, longRequestsPerSecond: 12, shortRequestsPerSecond: 4},
			{endMs: RUN_MS * 0.75, longRequestsPerSecond: 2, shortRequestsPerSecond: 36},
			{endMs: RUN_MS, longRequestsPerSecond: 12, shortRequestsPerSecond: 10},
		],
	},
};

/** Tokens of a long prompt that follow the shared document and that no other prompt contains. */
const UNIQUE_PROMPT_TOKENS = 200;

/**
 * Plans open-loop Poisson arrivals of a trace.
 *
 * @param seed - determines arrival times, sizes and documents
 * @returns the requests in order of time
 */
export function createShiftTraffic(file: DeploymentFile, trace: Trace, seed: number): PlannedRequest[] {
	const random = createRandom(seed);
	const findTraffic = (name: string): TrafficClass => file.traffic.find(traffic => traffic.name === name)!;
	const longTraffic = findTraffic(trace.longTrafficName);
	const shortTraffic = findTraffic(trace.shortTrafficName);
	const documentsByCustomer = createDocuments(file, trace, longTraffic, random);
	const planned: PlannedRequest[] = [];
	let atMs = 0;
	for (const phase of trace.phases) {
		const requestsPerSecond = (phase.longRequestsPerSecond + phase.shortRequestsPerSecond) / REQUEST_SCALE;
		for (;;) {
			const nextMs = atMs - (Math.log(1 - random()) * 1000 / requestsPerSecond);
			if (nextMs >= phase.endMs) {
				// Poisson arrivals are memoryless: the first gap of the next phase counts from the start of that phase.
				atMs = phase.endMs;
				break;
			}

			atMs = nextMs;
			const trafficClass = random() * requestsPerSecond * REQUEST_SCALE < phase.longRequestsPerSecond ? longTraffic : shortTraffic;
			const customerId = pickByShare(file.customers, random()).customer;
			const customerDocuments = documentsByCustomer.get(customerId)!;
			const sharedPrefix = trafficClass === longTraffic ? customerDocuments[Math.floor(random() * customerDocuments.length)]! : undefined;
			planned.push({
				atMs,
				trafficClass,
				customerId,
				promptTokens: sharedPrefix === undefined ? pickInRange(trafficClass.promptTokens!, random()) : sharedPrefix.tokens + UNIQUE_PROMPT_TOKENS,
				maxTokens: pickInRange(trafficClass.maxTokens!, random()),
				reference: `${seed}-${planned.length}`,
				...(sharedPrefix !== undefined && {sharedPrefix}),
			});
		}
	}

	return planned;
}

function createDocuments(file: DeploymentFile, trace: Trace, longTraffic: TrafficClass, random: () => number): Map<string, SharedPrefix[]> {
	const totalShare = file.customers.reduce((sum, {share}) => sum + share, 0);
	return new Map(file.customers.map(({customer, share}) => [
		customer,
		Array.from({length: Math.max(1, Math.round(trace.documentCount * share / totalShare))}, (_, index) => ({
			prefixId: `${customer}-${index}`,
			tokens: pickInRange(longTraffic.promptTokens!, random()),
		})),
	]));
}

/**
 * Computes the mean token rates that a trace requests at a point in time. Prompt tokens count whether they are cached or not.
 *
 * @param atMs - time since the start of the run
 */
export function computeRequestedTokenRates(file: DeploymentFile, trace: Trace, atMs: number): {promptTokensPerSecond: number; generatedTokensPerSecond: number} {
	const phase = trace.phases.find(({endMs}) => atMs < endMs) ?? trace.phases.at(-1)!;
	const rates = [[trace.longTrafficName, phase.longRequestsPerSecond], [trace.shortTrafficName, phase.shortRequestsPerSecond]] as const;
	const sumTokenRates = (field: 'promptTokens' | 'maxTokens') => sum(rates.map(([name, rate]) => {
		const [min, max] = file.traffic.find(traffic => traffic.name === name)![field]!;
		return rate * (min + max) / 2 / REQUEST_SCALE;
	}));
	return {promptTokensPerSecond: sumTokenRates('promptTokens'), generatedTokensPerSecond: sumTokenRates('maxTokens')};
}
