import {type TargetRole} from '@damaskspool/shared';
import {type PlanSettings, type TokenRates} from './planSettings.js';
import {type ServiceDemand, type TargetSnapshot} from './zonePlan.js';

/** Demand for a service by the short average, the long average and the forecast. */
export type DemandEstimates = {
	readonly short: TokenRates;
	readonly long: TokenRates;
	/** Maximum of the long average and the forecast. Starts are planned by it, because a started target comes too late for a short swing. */
	readonly sustained: TokenRates;
	/** Maximum of the short average, the long average and the forecast. */
	readonly peak: TokenRates;
};

/**
 * Returns the ratio of the capacity of all targets to the demand. Of prefill and decode, the lower ratio counts.
 *
 * @param capacities - capacity of one target, by role
 * @returns 1 if the demand uses all capacity; infinity if there is no demand
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
 * Estimates the demand for a service. Queued prompts count as additional work within `settings.backlogMs`.
 *
 * @param targets - targets of the service
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
 * Returns whether prefill and decode each have a suitable target if there is demand for them.
 *
 * @returns false if only targets in role decode are left for prefill, or only targets in role prefill for decode
 */
export function hasSuitableTargets(roles: readonly TargetRole[], demand: TokenRates): boolean {
	const hasPrefill = demand.prefillTokensRate <= 0 || roles.some(role => role !== 'decode');
	const hasDecode = demand.generatedTokensRate <= 0 || roles.some(role => role !== 'prefill');
	return hasPrefill && hasDecode;
}
