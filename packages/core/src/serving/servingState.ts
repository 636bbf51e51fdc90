
import {createLeaseState, type LeaseState} from '../lease/leaseState.js';
import {createTargetCatalog, type TargetCatalog} from '../membership/targetCatalog.js';
import {createPlacementState, type PlacedTarget, type PlacementState} from '../placement/placementState.js';
import {DEFAULT_PLACEMENT_SETTINGS, type PlacementSettings} from '../placement/placementSettings.js';
import {createPoisonRequestTracker, type PoisonRequestTracker} from '../retries/poisonRequestTracker.js';
import {createSharedRetryBudget, type SharedRetryBudget} from '../retries/sharedRetryBudget.js';
import {type MedianClock, createMedianClock} from '../usage/medianClock.js';
import {createRequestUsage, type RequestUsage} from '../usage/requestUsage.js';
import {type RequestSnapshot} from '../request/requestRecord.js';
import {type CallRecord, type PeerReport} from './servingMessages.js';
import {type RouteRecord, type ServingConfiguration} from './servingRecords.js';

/** The attempt of a call that is under way. */
export type CallAttempt = {
	readonly attemptId: number;
	readonly target: PlacedTarget;
	readonly isRead: boolean;
	/** Reading and copying counted for the target until its first bytes. */
	counted: {readMs: number; shortReadMs: number; copyMs: number};
	readonly sentAtMs: number;
	/** Time from which the target's silence counts against it. */
	silentAtMs: number;
	isBegun: boolean;
	/** Its work is off the target: set once its end is known, or once it was given up. */
	isEnded: boolean;
};

/** A call under way. */
export type ServingCall = {
	readonly callId: number;
	readonly call: CallRecord;
	readonly route: RouteRecord;
	readonly serviceId: string;
	readonly customerId: string | undefined;
	readonly arrivedAtMs: number;
	/** Time that the caller had spent before on the same request, as far as its deadline tells. */
	readonly spentMs: number;
	readonly deadlineAtMs: number;
	readonly timeoutAtMs: number;
	snapshot: RequestSnapshot;
	attempt: CallAttempt | undefined;
	/** Targets that were sent this request, for the route's limit. */
	attempts: number;
	readonly excluded: Set<string>;
	/** Where the answer goes after its prompt was read apart. */
	generator: PlacedTarget | undefined;
	/** Whether a slot of `generator` is counted as taken until then. */
	isReserved: boolean;
	isCounted: boolean;
	/** When the first bytes of an answer came in. */
	beganAtMs: number | undefined;
	/** Start that placement expected, and what it chose, for the log. */
	plan: Readonly<Record<string, unknown>> | undefined;
	/** Set once bytes of an answer went to the caller. */
	isStarted: boolean;
};

/** Whole state of an entry that sends to targets directly. */
export type ServingState = {
	readonly instanceId: string;
	readonly processId: string;
	readonly availabilityZone: string;
	isStopping: boolean;
	configuration: ServingConfiguration | undefined;
	hasTargets: boolean;
	readonly catalog: TargetCatalog;
	readonly placement: PlacementState;
	readonly placementSettings: PlacementSettings;
	readonly calls: Map<number, ServingCall>;
	attemptCount: number;
	/** Longest deadline of a caller by route: one that is clearly shorter was spent in part before. */
	readonly deadlinesByRoute: Map<string, number>;
	readonly budget: SharedRetryBudget;
	readonly suspicions: PoisonRequestTracker;
	readonly clock: MedianClock;
	readonly usage: RequestUsage;
	readonly lease: LeaseState;
	/** Peer entries that may bid for the duty. */
	readonly membership: {readonly peers: Map<string, {instanceId: string; availabilityZone: string; region: string}>};
	/** Prefix uses not told to peers yet. */
	untoldUses: Array<PeerReport['uses'][number]>;
	readonly fleet: {
		/** Targets in stage `prefill` that are wanted for each engine service; undefined leaves them as they are. */
		readonly prefillTargets: number | undefined;
		orderUnderWay: string | undefined;
		nextOrderAtMs: number;
	};
};

/** Options of {@link createServingState}. */
export type ServingStateOptions = {
	readonly instanceId: string;
	readonly processId: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly usageWindowMs: number;
	readonly leaseMs: number;
	/** Repeats of a service: share of its requests, and a number that is always allowed, of all entries together. */
	readonly repeatShare: number;
	readonly repeatAllowance: number;
	readonly budgetWindowMs: number;
	readonly placementSettings?: PlacementSettings;
	readonly prefillTargets?: number | undefined;
};

/** Wait after the start before the first order, so that the targets' states are known. */

/** Duty over usage reports and stage orders; one holder for all, so that one fencing number orders its calls. */
export const CONTROL_DUTY = 'control';

/**
 * Creates the state of an entry that knows nothing yet.
 *
 * @param options - who it is and the bounds that hold for it
 * @returns the state
 */
export function createServingState(options: ServingStateOptions): ServingState {
	const {instanceId, processId, availabilityZone, region} = options;
	return {
		instanceId,
		processId,
		availabilityZone,
		isStopping: false,
		configuration: undefined,
		hasTargets: false,
		catalog: createTargetCatalog(),
		placement: createPlacementState({entryId: instanceId, availabilityZone}),
		placementSettings: options.placementSettings ?? DEFAULT_PLACEMENT_SETTINGS,
		calls: new Map(),
		attemptCount: 0,
		deadlinesByRoute: new Map(),
		budget: createSharedRetryBudget({
			retryRatio: options.repeatShare, allowance: options.repeatAllowance, windowMs: options.budgetWindowMs,
		}),
		suspicions: createPoisonRequestTracker(),
		clock: createMedianClock(),
		usage: createRequestUsage({windowMs: options.usageWindowMs}),
		lease: createLeaseState({
			instanceId, processId, availabilityZone, region,
			durationMs: options.leaseMs,
			isReleasedAtStop: false,
			duties: [{name: CONTROL_DUTY, scope: {kind: 'everywhere'}}],
		}),
		membership: {peers: new Map()},
		untoldUses: [],
		fleet: {prefillTargets: options.prefillTargets, orderUnderWay: undefined, nextOrderAtMs: 0},
	};
}

export {SECOND_MS as FIRST_ORDER_WAIT_MS} from '@damaskspool/shared';
