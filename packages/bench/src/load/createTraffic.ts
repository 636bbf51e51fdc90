import {randomUUID} from 'node:crypto';
import {BYTES_PER_TOKEN} from '@damaskspool/shared';
import prand from 'pure-rand';
import {type DeploymentFile, type TrafficClass} from '../harness/deploymentFile.js';

/** A request that a caller will send. */
export type PlannedRequest = {
	/** Time to send the request, from the start of the run. */
	readonly atMs: number;
	readonly trafficClass: TrafficClass;
	readonly customerId: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Identifies the call at a plain service and makes the prompt unique. */
	readonly reference: string;
	/** Prefix shared with other prompts; absent if the prompt shares none. */
	readonly sharedPrefix?: SharedPrefix;
};

/** A text with which several prompts begin. */
export type SharedPrefix = {
	readonly prefixId: string;
	readonly tokens: number;
};

/** Options of {@link createTraffic}. */
export type TrafficOptions = {
	readonly file: DeploymentFile;
	readonly durationMs: number;
	readonly seed: number;
	/** Defaults to the rate of the deployment file. */
	readonly requestsPerSecond?: number;
};

/**
 * Plans open-loop arrivals with exponential gaps: requests are sent whether or
 * not earlier ones were answered.
 *
 * @returns the requests, ordered by time
 */
export function createTraffic(options: TrafficOptions): PlannedRequest[] {
	const {file, durationMs, seed, requestsPerSecond = file.requestsPerSecond} = options;
	const random = createRandom(seed);
	const runId = randomUUID().slice(0, 8);
	const planned: PlannedRequest[] = [];
	const meanGapMs = 1000 / requestsPerSecond;
	for (let atMs = -Math.log(1 - random()) * meanGapMs; atMs < durationMs; atMs -= Math.log(1 - random()) * meanGapMs) {
		const trafficClass = pickByShare(file.traffic, random());
		planned.push({
			atMs,
			trafficClass,
			customerId: pickByShare(file.customers, random()).customer,
			promptTokens: pickInRange(trafficClass.promptTokens ?? [0, 1], random()),
			maxTokens: pickInRange(trafficClass.maxTokens ?? [1, 2], random()),
			reference: `${runId}-${planned.length}`,
		});
	}

	return planned;
}

/**
 * Creates a seeded random number generator.
 *
 * @param seed - any integer
 * @returns a function that returns the next number, at least 0 and less than 1
 */
export function createRandom(seed: number): () => number {
	const generator = prand.xoroshiro128plus(seed);
	return () => (prand.unsafeUniformIntDistribution(0, 0x7F_FF_FF_FE, generator)) / 0x7F_FF_FF_FF;
}

/**
 * Creates the prompt of a request: the shared prefix if there is one, the unique
 * reference, and padding up to the planned size.
 */
export function createPrompt({reference, promptTokens, sharedPrefix}: PlannedRequest): string {
	const prefixText = sharedPrefix === undefined
		? ''
		: `${sharedPrefix.prefixId} `.padEnd(sharedPrefix.tokens * BYTES_PER_TOKEN, 'register ');
	return `${prefixText}${reference} `.padEnd(promptTokens * BYTES_PER_TOKEN, 'register ');
}

/**
 * Picks an item with a probability proportional to its share.
 *
 * @param fraction - random number, at least 0 and less than 1
 */
export function pickByShare<Item extends {readonly share: number}>(items: readonly Item[], fraction: number): Item {
	const total = items.reduce((sum, item) => sum + item.share, 0);
	let remaining = fraction * total;
	for (const item of items) {
		remaining -= item.share;
		if (remaining < 0) {
			return item;
		}
	}

	return items.at(-1)!;
}

/**
 * Picks an integer from a range, both ends included.
 *
 * @param fraction - random number, at least 0 and less than 1
 */
export function pickInRange([min, max]: readonly [number, number], fraction: number): number {
	return min + Math.floor(fraction * (max - min + 1));
}
