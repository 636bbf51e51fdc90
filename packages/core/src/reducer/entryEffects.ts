import {type Failure} from '@damaskspool/shared';
import {type ClaimEffect} from '../claims/claimMessages.js';
import {type ConfigurationEffect} from '../configuration/configurationMessages.js';
import {type FleetEffect} from '../fleet/fleetMessages.js';
import {type LeaseEffect} from '../lease/leaseMessages.js';
import {type SendUsageCall} from '../usage/usageCalls.js';

/** Sends one attempt of a request to the sidecar of a target. */
export type SendAttempt = {
	readonly type: 'attempt.send';
	readonly requestId: string;
	readonly attemptId: string;
	readonly targetId: string;
	readonly address: string;
	readonly customerId: string;
	/** Share of the customer in fair queueing. */
	readonly weight: number;
	readonly serviceId: string;
	/** Prompt tokens that are expected not to be in the target's prefix cache. */
	readonly prefillTokens: number;
	/** Time left for the whole answer. */
	readonly remainingMs: number;
};
/** Ends an attempt under way; the target's work is cancelled. */
export type CancelAttempt = {readonly type: 'attempt.cancel'; readonly requestId: string; readonly attemptId: string};
/** Tells the caller that its request is refused. */
export type RefuseRequest = {readonly type: 'request.refuse'; readonly requestId: string; readonly failure: Failure};
/** Closes the caller's answer, which is whole. */
export type CompleteRequest = {readonly type: 'request.complete'; readonly requestId: string};
/** Asks a sidecar for its load, and for the cache events after those already known. */
export type ReadLoad = {readonly type: 'load.read'; readonly address: string; readonly afterSequence: number};
/** Records a decision for logs and `query 'events'`. */
export type RecordDecision = {
	readonly type: 'decision.record';
	readonly name: string;
	readonly subject: string;
	readonly detail: Readonly<Record<string, unknown>>;
};

/** Every effect of an entry. */
export type EntryEffect
	= | SendAttempt | CancelAttempt | RefuseRequest | CompleteRequest | RecordDecision | ReadLoad
		| ClaimEffect | ConfigurationEffect | LeaseEffect | FleetEffect | SendUsageCall;
