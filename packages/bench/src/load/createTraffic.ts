import {randomUUID} from 'node:crypto';
import {BYTES_PER_TOKEN} from '@damaskspool/shared';
import prand from 'pure-rand';
import {type DeploymentFile, type TrafficClass} from '../harness/deploymentFile.js';

/** One request that a caller is to send. */
export type PlannedRequest = {
	/** When to send it, from the start of the run. */
	readonly atMs: number;
	readonly trafficClass: TrafficClass;
	readonly customerId: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Names the call at a plain service, and makes a prompt unlike any other. */
	readonly reference: string;
	/** A text that several prompts begin with; absent where each prompt is unlike any other. */
	readonly sharedPrefix?: SharedPrefix;
};

/** A text that several prompts begin with. */
export type SharedPrefix = {
	readonly prefixId: string;
	readonly tokens: number;
};

/** Options of {@link createTraffic}. */
export type TrafficOptions = {
	readonly file: DeploymentFile;
	readonly durationMs: number;
	readonly seed: number;
	readonly requestsPerSecond?: number;
};

/**
 * Plans open-loop arrivals: gaps are exponential, so that requests come whether
 * or not earlier ones were answered.
 *
 * @param options - deployment, duration, seed and rate
 * @returns the requests in order of time
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
 * Creates a seeded source of numbers.
 *
 * @param seed - any integer
 * @returns a function that gives the next number, from 0 up to but without 1
 */
export function createRandom(seed: number): () => number {
	const generator = prand.xoroshiro128plus(seed);
	return () => (prand.unsafeUniformIntDistribution(0, 0x7F_FF_FF_FE, generator)) / 0x7F_FF_FF_FF;
}

/**
 * Writes a prompt of a size.
 *
 * @param request - planned request
 * @returns text unlike that of any other request
 */
export function createPrompt({reference, promptTokens, sharedPrefix}: PlannedRequest): string {
	const prefixText = sharedPrefix === undefined
		? ''
		: `${sharedPrefix.prefixId} `.padEnd(sharedPrefix.tokens * BYTES_PER_TOKEN, 'register ');
	return `${prefixText}${reference} `.padEnd(promptTokens * BYTES_PER_TOKEN, 'register ');
}

/**
 * Picks an item by its share of all.
 *
 * @param items - items with shares
 * @param fraction - number from 0 up to but without 1
 * @returns the item at that point
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
 * Picks a whole number from a range.
 *
 * @param range - lowest and highest
 * @param fraction - number from 0 up to but without 1
 * @returns the number at that point
 */
export function pickInRange([min, max]: readonly [number, number], fraction: number): number {
	return min + Math.floor(fraction * (max - min + 1));
}
