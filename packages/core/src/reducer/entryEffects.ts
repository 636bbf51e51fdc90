import {type Failure} from '@damaskspool/shared';
import {type ClaimEffect} from '../claims/claimMessages.js';
import {type ConfigurationEffect} from '../configuration/configurationMessages.js';
import {type FleetEffect} from '../fleet/fleetMessages.js';
import {type LeaseEffect} from '../lease/leaseMessages.js';
import {type SendUsageCall} from '../usage/usageCalls.js';

/** Sends one attempt of a request to a target's sidecar. */
export type SendAttempt = {
	readonly type: 'attempt.send';
	readonly requestId: string;
	readonly attemptId: string;
	readonly targetId: string;
	readonly address: string;
	readonly customerId: string;
	/** Weight of the customer in fair queueing. */
	readonly weight: number;
	readonly serviceId: string;
	/** Prompt tokens that the target has to prefill: those that are not expected in its prefix cache. */
	readonly prefillTokens: number;
	/** Time until the deadline of the complete response. */
	readonly remainingMs: number;
};
/** Cancels a running attempt and its work on the target. */
export type CancelAttempt = {readonly type: 'attempt.cancel'; readonly requestId: string; readonly attemptId: string};
/** Responds to the caller with an error. */
export type RefuseRequest = {readonly type: 'request.refuse'; readonly requestId: string; readonly failure: Failure};
/** Ends the response to the caller after it was sent completely. */
export type CompleteRequest = {readonly type: 'request.complete'; readonly requestId: string};
/** Requests the load report of a sidecar, and its cache events after `afterSequence`. */
export type ReadLoad = {readonly type: 'load.read'; readonly address: string; readonly afterSequence: number};
/** Records a decision for the log and for the query source `events`. */
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
