import {MINUTE_MS, type TargetRole} from '@damaskspool/shared';
import {type EngineStats} from '@damaskspool/stand-ins';
import {quantile} from 'simple-statistics';
import {type RequestResult} from '../../load/sendPlannedRequest.js';
import {
	BETWEEN_TOKENS_GOAL_MS, FIRST_TOKEN_GOAL_MS, RUN_MS, TIME_SCALE,
} from './shiftSettings.js';

/** Roles of all targets at one time. */
export type RoleSample = {readonly atMs: number; readonly roles: readonly TargetRole[]};

/** What one run showed. */
export type ShiftSummary = {
	readonly requests: number;
	readonly answered: number;
	readonly lost: number;
	/** Requests answered whole within both goals, per second of the run. */
	readonly goodput: number;
	/** Part of all requests that were answered whole within both goals. */
	readonly goodShare: number;
	readonly firstTokenP95Ms: number;
	readonly betweenTokensP95Ms: number;
	/** Role changes of each target in ten minutes of the deployment. */
	readonly roleChangesPerTarget: number;
	/** Good share of the worst-served customer over that of all. */
	readonly worstCustomerShare: number;
	readonly hitRatio: number;
	/** Target-seconds paid for each good answer. */
	readonly targetSecondsPerGood: number;
	/** Good answers and all requests by the second in which they were sent. */
	readonly goodBySecond: readonly number[];
	readonly sentBySecond: readonly number[];
	readonly roles: readonly RoleSample[];
};

/** Options of {@link summarizeShift}. */
export type SummarizeShiftOptions = {
	readonly results: readonly RequestResult[];
	readonly roles: readonly RoleSample[];
	readonly roleChanges: number;
	readonly stats: readonly EngineStats[];
};

/**
 * Tells whether a request was answered whole within both goals.
 *
 * @param result - what its caller saw
 * @returns whether it counts as goodput
 */
export function isGood(result: RequestResult): boolean {
	return result.outcome === 'answered'
		&& result.firstByteMs <= FIRST_TOKEN_GOAL_MS
		&& result.betweenTokensMs <= BETWEEN_TOKENS_GOAL_MS;
}

/**
 * Sums up one run.
 *
 * @param options - what callers saw and targets counted
 * @returns the summary
 */
export function summarizeShift({results, roles, roleChanges, stats}: SummarizeShiftOptions): ShiftSummary {
	const good = results.filter(result => isGood(result));
	const answered = results.filter(result => result.outcome === 'answered');
	const goodShare = good.length / results.length;
	const prefilled = stats.reduce((sum, {prefilledTokens}) => sum + prefilledTokens, 0);
	const cached = stats.reduce((sum, {cachedTokens}) => sum + cachedTokens, 0);
	return {
		requests: results.length,
		answered: answered.length,
		lost: results.filter(({outcome}) => outcome === 'lost' || outcome === 'crossed').length,
		goodput: good.length * 1000 / RUN_MS,
		goodShare,
		firstTokenP95Ms: quantile(answered.map(result => result.firstByteMs), 0.95),
		betweenTokensP95Ms: quantile(answered.map(result => result.betweenTokensMs), 0.95),
		roleChangesPerTarget: roleChanges / stats.length * (10 * MINUTE_MS / TIME_SCALE / RUN_MS),
		worstCustomerShare: computeWorstShare(results) / goodShare,
		hitRatio: cached / (prefilled + cached),
		targetSecondsPerGood: stats.length * RUN_MS / 1000 / good.length,
		goodBySecond: countBySecond(good),
		sentBySecond: countBySecond(results),
		roles,
	};
}

function computeWorstShare(results: readonly RequestResult[]): number {
	const customerIds = new Set(results.map(result => result.request.customerId));
	return Math.min(...[...customerIds].map(customerId => {
		const own = results.filter(result => result.request.customerId === customerId);
		return own.filter(result => isGood(result)).length / own.length;
	}));
}

function countBySecond(results: readonly RequestResult[]): number[] {
	const counts = Array.from({length: Math.ceil(RUN_MS / 1000)}, () => 0);
	for (const {request} of results) {
		counts[Math.floor(request.atMs / 1000)]! += 1;
	}

	return counts;
}
