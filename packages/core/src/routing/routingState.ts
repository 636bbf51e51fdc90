import {type PrefixIndex} from './prefixIndex.js';
import {hashIdentifier} from './rendezvous.js';
import {type RoutingPolicyName} from './routingPolicyNames.js';

/** One attempt as the entry that sent it counts it. */
export type SentAttempt = {
	readonly requestId: string;
	readonly targetId: string;
	readonly sentAtMs: number;
	/** Prompt tokens that the target is expected to work through. */
	readonly prefillTokens: number;
	readonly expectedFirstTokenMs: number;
	isAnswered: boolean;
};

/** Own work at one target. */
export type LocalLoad = {
	/** Hash of the target's identifier, for ranks of rendezvous hashing. */
	readonly targetHash: number;
	/** Own attempts under way. */
	running: number;
	/** Prompt tokens of own attempts that have not answered. */
	prefillTokens: number;
	/** Attempts sent since the load report that the entry holds. */
	runningSinceReport: number;
	/** Prompt tokens sent since the load report that the entry holds. */
	prefillTokensSinceReport: number;
	/** When the load report came in after which the two fields above count. */
	reportReceivedAtMs: number;
	/** Observed over expected time to first token, averaged. */
	slowness: number;
};

/** What an entry keeps for its choices of targets. */
export type RoutingState = {
	policyName: RoutingPolicyName;
	readonly prefixes: PrefixIndex;
	readonly sentAttempts: Map<string, SentAttempt>;
	readonly localLoads: Map<string, LocalLoad>;
	/** Targets among which this entry chooses, by service and model; dropped when the known targets change. */
	readonly subsets: Map<string, readonly string[]>;
	/** Number of choices made, for policies that take targets in turn. */
	choiceCount: number;
};

/**
 * Creates the state of an entry that has sent nothing.
 *
 * @param policyName - how targets are chosen
 * @returns the state
 */
export function createRoutingState(policyName: RoutingPolicyName = 'expectedTime'): RoutingState {
	return {
		policyName,
		prefixes: new Map(),
		sentAttempts: new Map(),
		localLoads: new Map(),
		subsets: new Map(),
		choiceCount: 0,
	};
}

/**
 * Finds the count of own work at a target.
 *
 * @param state - routing state
 * @param targetId - the target
 * @returns its count, created on first use
 */
export function getLocalLoad(state: RoutingState, targetId: string): LocalLoad {
	let load = state.localLoads.get(targetId);
	if (load === undefined) {
		load = {
			targetHash: hashIdentifier(targetId), running: 0, prefillTokens: 0, runningSinceReport: 0, prefillTokensSinceReport: 0, reportReceivedAtMs: 0, slowness: 1,
		};
		state.localLoads.set(targetId, load);
	}

	return load;
}
