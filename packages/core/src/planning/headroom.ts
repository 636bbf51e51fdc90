import {type TargetRole} from '@damaskspool/shared';
import {type PlanSettings, type TokenRates} from './planSettings.js';
import {type TargetSnapshot, type ServiceDemand} from './zonePlan.js';

/** Work asked of a service, over the short and the long average and as forecast. */
export type DemandEstimates = {
	readonly short: TokenRates;
	readonly long: TokenRates;
	/** The higher of the long average and the forecast: what a start must serve, which comes too late for a swing. */
	readonly sustained: TokenRates;
	/** The highest of short, long and forecast. */
	readonly peak: TokenRates;
};

/**
 * Computes how often the targets could do the work that is asked of them.
 *
 * @param roles - roles of the targets
 * @param demand - work per second
 * @param capacities - work per second of a target, by role
 * @returns 1 where demand takes all capacity; infinite where there is none
 */
export function computeHeadroom(
	roles: readonly TargetRole[],
	demand: TokenRates,
	capacities: PlanSettings['capacities'],
): number {
	const prefill = roles.reduce((sum, role) => sum + capacities[role].prefillTokensRate, 0);
	const generated = roles.reduce((sum, role) => sum + capacities[role].generatedTokensRate, 0);
	return Math.min(
		demand.prefillTokensRate > 0 ? prefill / demand.prefillTokensRate : Number.POSITIVE_INFINITY,
		demand.generatedTokensRate > 0 ? generated / demand.generatedTokensRate : Number.POSITIVE_INFINITY,
	);
}

/**
 * Reads the demand for a service, with the prompts that wait counted as work to be done soon.
 *
 * @param demand - averages and forecast
 * @param targets - targets of the service
 * @param settings - time in which a backlog is worked off
 * @returns demand by the short and long average, and its peak
 */
export function estimateDemand(demand: ServiceDemand, targets: readonly TargetSnapshot[], settings: PlanSettings): DemandEstimates {
	const backlogTokens = targets.reduce((sum, target) => sum + target.queuedPrefillTokens, 0);
	const short = {
		prefillTokensRate: demand.shortPrefillTokensRate + (backlogTokens * 1000 / settings.backlogMs),
		generatedTokensRate: demand.shortGeneratedTokensRate,
	};
	const long = {prefillTokensRate: demand.longPrefillTokensRate, generatedTokensRate: demand.longGeneratedTokensRate};
	const forecast = {
		prefillTokensRate: demand.forecastPrefillTokensRate ?? 0,
		generatedTokensRate: demand.forecastGeneratedTokensRate ?? 0,
	};
	const sustained = computeMaxRates(long, forecast);
	return {
		short, long, sustained, peak: computeMaxRates(short, sustained),
	};
}

function computeMaxRates(left: TokenRates, right: TokenRates): TokenRates {
	return {
		prefillTokensRate: Math.max(left.prefillTokensRate, right.prefillTokensRate),
		generatedTokensRate: Math.max(left.generatedTokensRate, right.generatedTokensRate),
	};
}

/**
 * Tells whether all work that is asked for has a target that does it well.
 *
 * @param roles - roles of the targets
 * @param demand - work per second
 * @returns false where prefill is left to targets in role decode alone, or the reverse
 */
export function hasSuitableTargets(roles: readonly TargetRole[], demand: TokenRates): boolean {
	const hasPrefill = demand.prefillTokensRate <= 0 || roles.some(role => role !== 'decode');
	const hasDecode = demand.generatedTokensRate <= 0 || roles.some(role => role !== 'prefill');
	return hasPrefill && hasDecode;
}
