import {type PrefixIndex} from './prefixIndex.js';
import {hashIdentifier} from './rendezvous.js';
import {type RoutingPolicyName} from './routingPolicyNames.js';

/** Data that an entry keeps about an attempt in progress to account for its load. */
export type SentAttempt = {
	readonly requestId: string;
	readonly targetId: string;
	readonly sentAtMs: number;
	/** Prompt tokens that the target is expected to prefill. */
	readonly prefillTokens: number;
	readonly expectedFirstTokenMs: number;
	isAnswered: boolean;
};

/** Load of one target that is caused by this entry. */
export type LocalLoad = {
	/** Hash of the target's identifier for rendezvous hashing. */
	readonly targetHash: number;
	/** Number of attempts of this entry in progress. */
	running: number;
	/** Prompt tokens to prefill for attempts of this entry that have no response yet. */
	prefillTokens: number;
	/** Number of attempts sent since the latest load report of the target. */
	runningSinceReport: number;
	/** Prompt tokens to prefill for attempts sent since the latest load report of the target. */
	prefillTokensSinceReport: number;
	/** Time at which the load report that the two preceding fields refer to was received. */
	reportReceivedAtMs: number;
	/** Moving average of the ratio of observed to expected time to first token. */
	slowness: number;
};

/** State on which an entry bases its choices of targets. */
export type RoutingState = {
	policyName: RoutingPolicyName;
	readonly prefixes: PrefixIndex;
	/** Attempts in progress by attempt identifier. */
	readonly sentAttempts: Map<string, SentAttempt>;
	/** Local loads by target identifier. */
	readonly localLoads: Map<string, LocalLoad>;
	/** Identifiers of the targets among which this entry chooses, by service and model. Cleared when the known targets change. */
	readonly subsets: Map<string, readonly string[]>;
	/** Number of choices made so far, for the round-robin policy. */
	choiceCount: number;
};

/** Creates the state of an entry that has sent no attempt. */
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

/** Returns the local load of a target. Adds an empty one to the state on first use. */
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
