import {type ServiceDemand} from './zonePlan.js';

/** Work of a service that was counted over a time. */
export type DemandSample = {
	readonly prefillTokens: number;
	readonly generatedTokens: number;
	/** Time over which they were counted. */
	readonly durationMs: number;
};

/** Time constants of the two averages. */
export type AverageTimeConstants = {
	readonly shortMs: number;
	readonly longMs: number;
};

/** The short average follows a swing of the mix within a minute; the long one outlasts bursts. */
export const DEFAULT_AVERAGE_TIME_CONSTANTS: AverageTimeConstants = {shortMs: 20_000, longMs: 180_000};

/**
 * Creates the averages of a service that nobody has asked yet.
 *
 * @param serviceId - the service
 * @returns averages of zero
 */
export function createDemand(serviceId: string): ServiceDemand {
	return {
		serviceId,
		shortPrefillTokensRate: 0,
		longPrefillTokensRate: 0,
		shortGeneratedTokensRate: 0,
		longGeneratedTokensRate: 0,
	};
}

/**
 * Adds a sample to the short and long averages, which decay exponentially.
 *
 * @param demand - averages so far
 * @param sample - work counted since
 * @param timeConstants - time constants
 * @returns the new averages
 */
export function advanceDemand(demand: ServiceDemand, sample: DemandSample, timeConstants: AverageTimeConstants = DEFAULT_AVERAGE_TIME_CONSTANTS): ServiceDemand {
	if (sample.durationMs <= 0) {
		return demand;
	}

	const prefillRate = sample.prefillTokens * 1000 / sample.durationMs;
	const generatedRate = sample.generatedTokens * 1000 / sample.durationMs;
	const shortWeight = 1 - Math.exp(-sample.durationMs / timeConstants.shortMs);
	const longWeight = 1 - Math.exp(-sample.durationMs / timeConstants.longMs);
	return {
		...demand,
		shortPrefillTokensRate: computeAverage(demand.shortPrefillTokensRate, prefillRate, shortWeight),
		longPrefillTokensRate: computeAverage(demand.longPrefillTokensRate, prefillRate, longWeight),
		shortGeneratedTokensRate: computeAverage(demand.shortGeneratedTokensRate, generatedRate, shortWeight),
		longGeneratedTokensRate: computeAverage(demand.longGeneratedTokensRate, generatedRate, longWeight),
	};
}

function computeAverage(average: number, sample: number, weight: number): number {
	return average + ((sample - average) * weight);
}

/**
 * Adds a forecast for the time that a start takes: the short average goes on
 * to move away from the long one at the rate at which it does now, and demand
 * is never taken to fall below both averages.
 *
 * @param demand - averages
 * @param leadMs - time ahead
 * @param timeConstants - time constants of the averages
 * @returns the demand with its forecast
 */
export function addForecast(demand: ServiceDemand, leadMs: number, timeConstants: AverageTimeConstants = DEFAULT_AVERAGE_TIME_CONSTANTS): ServiceDemand {
	// The short average runs ahead of the long one by the growth of about one long time constant.
	const leadRatio = leadMs / timeConstants.longMs;
	const extrapolate = (short: number, long: number) => Math.max(short, long, short + ((short - long) * leadRatio));
	return {
		...demand,
		forecastPrefillTokensRate: extrapolate(demand.shortPrefillTokensRate, demand.longPrefillTokensRate),
		forecastGeneratedTokensRate: extrapolate(demand.shortGeneratedTokensRate, demand.longGeneratedTokensRate),
	};
}
