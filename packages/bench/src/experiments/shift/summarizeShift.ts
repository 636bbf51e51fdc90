import {MINUTE_MS, type TargetRole} from '@damaskspool/shared';
import {type EngineStats} from '@damaskspool/stand-ins';
import {quantile} from 'simple-statistics';
import {type RequestResult} from '../../load/sendPlannedRequest.js';
import {
	BETWEEN_TOKENS_GOAL_MS, FIRST_TOKEN_GOAL_MS, RUN_MS, TIME_SCALE,
} from './shiftSettings.js';

/** Roles of all targets at one time since the start of the run. */
export type RoleSample = {readonly atMs: number; readonly roles: readonly TargetRole[]};

/** Results of one run. */
export type ShiftSummary = {
	readonly requests: number;
	readonly answered: number;
	readonly lost: number;
	/** Requests answered completely within both latency objectives, per second of the run. */
	readonly goodput: number;
	/** Share of all requests that were answered completely within both latency objectives. */
	readonly goodShare: number;
	readonly firstTokenP95Ms: number;
	readonly betweenTokensP95Ms: number;
	/** Role changes per target in ten minutes of deployment time. */
	readonly roleChangesPerTarget: number;
	/** Lowest good share of any customer, divided by the good share of all requests. */
	readonly worstCustomerShare: number;
	/** Share of prompt tokens found in the prefix caches. */
	readonly hitRatio: number;
	/** Target-seconds per request answered within both latency objectives. */
	readonly targetSecondsPerGood: number;
	/** Requests answered within both latency objectives, by the second in which they were sent. */
	readonly goodBySecond: readonly number[];
	/** All requests, by the second in which they were sent. */
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

/** Returns whether a request was answered completely within both latency objectives, and so counts as goodput. */
export function isAnsweredWithinGoals(result: RequestResult): boolean {
	return result.outcome === 'answered'
		&& result.firstByteMs <= FIRST_TOKEN_GOAL_MS
		&& result.betweenTokensMs <= BETWEEN_TOKENS_GOAL_MS;
}

/** Summarizes what callers observed and engines counted in one run. */
export function summarizeShift({results, roles, roleChanges, stats}: SummarizeShiftOptions): ShiftSummary {
	const good = results.filter(result => isAnsweredWithinGoals(result));
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
		worstCustomerShare: computeWorstCustomerShare(results) / goodShare,
		hitRatio: cached / (prefilled + cached),
		targetSecondsPerGood: stats.length * RUN_MS / 1000 / good.length,
		goodBySecond: countBySecond(good),
		sentBySecond: countBySecond(results),
		roles,
	};
}

function computeWorstCustomerShare(results: readonly RequestResult[]): number {
	const customerIds = new Set(results.map(result => result.request.customerId));
	return Math.min(...[...customerIds].map(customerId => {
		const customerResults = results.filter(result => result.request.customerId === customerId);
		return customerResults.filter(result => isAnsweredWithinGoals(result)).length / customerResults.length;
	}));
}

/** Counts requests by the second in which they were planned to be sent. */
function countBySecond(results: readonly RequestResult[]): number[] {
	const counts = Array.from({length: Math.ceil(RUN_MS / 1000)}, () => 0);
	for (const {request} of results) {
		counts[Math.floor(request.atMs / 1000)]! += 1;
	}

	return counts;
}
