
import {createLeaseState, type LeaseState} from '../lease/leaseState.js';
import {createTargetCatalog, type TargetCatalog} from '../membership/targetCatalog.js';
import {createPlacementState, type PlacedTarget, type PlacementState} from '../placement/placementState.js';
import {DEFAULT_PLACEMENT_SETTINGS, type PlacementSettings} from '../placement/placementSettings.js';
import {createCrashSuspicions, type CrashSuspicions} from '../retries/crashSuspicions.js';
import {createRepeatBudget, type RepeatBudget} from '../retries/repeatBudget.js';
import {type AgreedClock, createAgreedClock} from '../usage/agreedClock.js';
import {createServedUsage, type ServedUsage} from '../usage/servedUsage.js';
import {type RequestSnapshot} from '../request/requestRecord.js';
import {type CallRequest, type PeerReport} from './servingMessages.js';
import {type RouteRecord, type ServingConfiguration} from './servingRecords.js';

/** The attempt of a call that is under way. */
export type CallAttempt = {
	readonly attemptId: number;
	readonly target: PlacedTarget;
	readonly isPrefillOnly: boolean;
	/** Reading and copying counted for the target until its first bytes. */
	queuedWork: {prefillMs: number; shortPrefillMs: number; copyMs: number};
	readonly sentAtMs: number;
	/** Time from which the target's silence counts against it. */
	responseDueAtMs: number;
	hasFirstBytes: boolean;
	/** Its work is off the target: set once its end is known, or once it was given up. */
	isEnded: boolean;
};

/** A call under way. */
export type ServingCall = {
	readonly callId: number;
	readonly request: CallRequest;
	readonly route: RouteRecord;
	readonly serviceId: string;
	readonly customerId: string | undefined;
	readonly arrivedAtMs: number;
	/** Time that the caller had spent before on the same request, as far as its deadline tells. */
	readonly spentBeforeArrivalMs: number;
	readonly deadlineAtMs: number;
	readonly timeoutAtMs: number;
	snapshot: RequestSnapshot;
	attempt: CallAttempt | undefined;
	/** Targets that were sent this request, for the route's limit. */
	attemptCount: number;
	readonly excludedTargetIds: Set<string>;
	/** Where the answer goes after its prompt was read apart. */
	decodeTarget: PlacedTarget | undefined;
	/** Whether a slot of `generator` is counted as taken until then. */
	hasReservedSlot: boolean;
	isUsageCounted: boolean;
	/** When the first bytes of an answer came in. */
	firstByteAtMs: number | undefined;
	/** Start that placement expected, and what it chose, for the log. */
	placementDetail: Readonly<Record<string, unknown>> | undefined;
	/** Set once bytes of an answer went to the caller. */
	isResponseStarted: boolean;
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
	lastAttemptId: number;
	/** Longest deadline of a caller by route: one that is clearly shorter was spent in part before. */
	readonly maxDeadlineMsByRoute: Map<string, number>;
	readonly retryBudget: RepeatBudget;
	readonly suspicions: CrashSuspicions;
	readonly clock: AgreedClock;
	readonly usage: ServedUsage;
	readonly lease: LeaseState;
	/** Peer entries that may bid for the duty. */
	readonly membership: {readonly peers: Map<string, {instanceId: string; availabilityZone: string; region: string}>};
	/** Prefix uses not told to peers yet. */
	unreportedPrefixUses: Array<PeerReport['prefixUses'][number]>;
	readonly fleet: {
		/** Targets in stage `prefill` that are wanted for each engine service; undefined leaves them as they are. */
		readonly prefillTargets: number | undefined;
		pendingOrderTargetId: string | undefined;
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
		lastAttemptId: 0,
		maxDeadlineMsByRoute: new Map(),
		retryBudget: createRepeatBudget({
			share: options.repeatShare, allowance: options.repeatAllowance, windowMs: options.budgetWindowMs,
		}),
		suspicions: createCrashSuspicions(),
		clock: createAgreedClock(),
		usage: createServedUsage({windowMs: options.usageWindowMs}),
		lease: createLeaseState({
			instanceId, processId, availabilityZone, region,
			durationMs: options.leaseMs,
			isReleasedAtStop: false,
			duties: [{name: CONTROL_DUTY, scope: {kind: 'everywhere'}}],
		}),
		membership: {peers: new Map()},
		unreportedPrefixUses: [],
		fleet: {prefillTargets: options.prefillTargets, pendingOrderTargetId: undefined, nextOrderAtMs: 0},
	};
}

export {SECOND_MS as FIRST_ORDER_WAIT_MS} from '@damaskspool/shared';
