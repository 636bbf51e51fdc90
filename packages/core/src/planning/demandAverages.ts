import {type ServiceDemand} from './zonePlan.js';

/** Work of a service counted over an interval. */
export type DemandSample = {
	readonly prefillTokens: number;
	readonly generatedTokens: number;
	/** Length of the interval. */
	readonly durationMs: number;
};

/** Time constants of the short and the long average. */
export type AverageTimeConstants = {
	readonly shortMs: number;
	readonly longMs: number;
};

/** The short average follows a change of the workload mix within a minute. The long average smooths bursts. */
export const DEFAULT_AVERAGE_TIME_CONSTANTS: AverageTimeConstants = {shortMs: 20_000, longMs: 180_000};

/** Creates the demand of a service that has had no requests yet. */
export function createDemand(serviceId: string): ServiceDemand {
	return {
		serviceId,
		shortPrefillTokensRate: 0,
		longPrefillTokensRate: 0,
		shortGeneratedTokensRate: 0,
		longGeneratedTokensRate: 0,
	};
}

/** Returns the demand with a sample added to the short and the long average, which decay exponentially. */
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
 * Returns the demand with a forecast for the time that a start takes. The forecast extrapolates the difference between
 * the short and the long average, and is never lower than either.
 *
 * @param leadMs - time ahead
 */
export function addForecast(demand: ServiceDemand, leadMs: number, timeConstants: AverageTimeConstants = DEFAULT_AVERAGE_TIME_CONSTANTS): ServiceDemand {
	// The difference between the averages is about the growth over one long time constant.
	const leadRatio = leadMs / timeConstants.longMs;
	const computeForecast = (short: number, long: number) => Math.max(short, long, short + ((short - long) * leadRatio));
	return {
		...demand,
		forecastPrefillTokensRate: computeForecast(demand.shortPrefillTokensRate, demand.longPrefillTokensRate),
		forecastGeneratedTokensRate: computeForecast(demand.shortGeneratedTokensRate, demand.longGeneratedTokensRate),
	};
}
