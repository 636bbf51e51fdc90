import {type AllotmentTolerance} from '../allotments/allotmentRecord.js';
import {type Allotments, createAllotments} from '../allotments/createAllotments.js';
import {createCustomerShares, type CustomerShares} from '../limits/customerShares.js';
import {createLeaseState, type LeaseState} from '../lease/leaseState.js';
import {createTargetCatalog, type TargetCatalog} from '../membership/targetCatalog.js';
import {createServiceVersions, type ServiceVersions} from '../membership/serviceVersions.js';
import {createStreamVersions, type StreamVersions} from '../membership/streamVersions.js';
import {createVersionHistory, type VersionHistory} from '../membership/versionHistory.js';
import {createEvennessState, type EvennessState} from '../placement/loadEvenness.js';
import {createPlacementState, type PlacedTarget, type PlacementState} from '../placement/placementState.js';
import {type SpreadMode} from '../placement/spreadState.js';
import {DEFAULT_PLACEMENT_SETTINGS, type PlacementSettings} from '../placement/placementSettings.js';
import {type HeldTokens} from '../placement/targetRoom.js';
import {type AttemptExpectation, SPEED_LEARNING_MODES, type SpeedLearningMode} from '../placement/targetSpeed.js';
import {createPartHistory, type PartHistory} from '../retries/partHistory.js';
import {createPoisonPartTracker, type PoisonPartTracker} from '../retries/poisonPartTracker.js';
import {createPoisonRequestTracker, type PoisonRequestTracker} from '../retries/poisonRequestTracker.js';
import {createSharedRetryBudget, type SharedRetryBudget} from '../retries/sharedRetryBudget.js';
import {type MedianClock, createMedianClock} from '../usage/medianClock.js';
import {createRequestUsage, type RequestUsage} from '../usage/requestUsage.js';
import {type RequestSnapshot} from '../request/requestRecord.js';
import {type AttemptMeasurement} from './describeMeasurement.js';
import {type CallRequest, type PeerReport} from './servingMessages.js';
import {type RouteRecord, type ServingConfiguration} from './servingRecords.js';
import {type ClosedEnd} from './streamEnds.js';
import {type EventGaps, type ServiceStreamForm} from './streamForms.js';
import {type CallArrived} from './streamTakeUps.js';

/** The current attempt of a call. */
export type CallAttempt = {
	readonly attemptId: number;
	readonly target: PlacedTarget;
	/** Version of the target's software when the attempt was sent. */
	readonly softwareVersion: string;
	readonly isPrefillOnly: boolean;
	/** Prefill and copy time that counts as work of the target until the first bytes of its response. */
	queuedWork: {prefillMs: number; urgentPrefillMs: number; copyMs: number};
	readonly sentAtMs: number;
	/** Time from which the target counts as unresponsive. */
	responseDueAtMs: number;
	/** Arrival time of the first bytes of this attempt's response. */
	firstBytesAtMs: number | undefined;
	/** KV cache that the attempt holds at the target; undefined where it is not counted, and once it is released. */
	heldTokens: HeldTokens | undefined;
	/** What was expected of the target; undefined where no speeds are learned, and once the target's speed was learned from this attempt. */
	expectation: AttemptExpectation | undefined;
	/** Whether the attempt no longer counts as work of the target, because it ended or was abandoned. */
	isEnded: boolean;
};

/** A call in progress. */
export type ServingCall = {
	readonly callId: number;
	readonly request: CallRequest;
	readonly route: RouteRecord;
	readonly serviceId: string;
	readonly customerId: string | undefined;
	readonly arrivedAtMs: number;
	/** Estimated time that the caller spent on the same request before, derived from its deadline. */
	readonly spentBeforeArrivalMs: number;
	readonly deadlineAtMs: number;
	/** Earliest time at which the caller may have waited for the timeout of its route. */
	readonly timeoutAtMs: number;
	/** Time from which on the caller has surely waited for the timeout of its route. */
	readonly lastTimeoutAtMs: number;
	/** Longest time for which the request may have waited before the call began. */
	readonly waitedMs: number;
	snapshot: RequestSnapshot;
	attempt: CallAttempt | undefined;
	/** Attempts that count towards the limit of the route. A disaggregated prefill does not count. */
	attemptCount: number;
	/** Disaggregated prefills that ended without a handle. Unlike the first one that is accepted, they count as retries. */
	failedPrefillCount: number;
	readonly excludedTargetIds: Set<string>;
	/** Software version that the stream of this call must go on at; undefined before its first event. */
	streamVersion: string | undefined;
	/** Target that decodes after a disaggregated prefill. */
	decodeTarget: PlacedTarget | undefined;
	/** Time for which the KV cache is copied to that target. */
	handoverCopyMs: number;
	/** Whether a request of this entry's share of the limit of `decodeTarget` is taken for the decode. */
	hasReservedShare: boolean;
	/** Whether part of a slot on `decodeTarget` counts as taken during the prefill. */
	hasReservedSlot: boolean;
	/** KV cache on `decodeTarget` that is kept free during the prefill. */
	reservedTokens: HeldTokens | undefined;
	/** KV cache of the prompt at the target that has prefilled it, until another target has fetched it. */
	handedOverTokens: HeldTokens | undefined;
	isUsageCounted: boolean;
	/** Units of the customer's allotment that this call has taken for an attempt that no target has run yet; undefined if it has to take them before the next one. */
	openCharge: number | undefined;
	/** Arrival time of the first bytes of a response. */
	firstByteAtMs: number | undefined;
	/** Estimates and choices of the first placement, for the log. */
	placementDetail: Readonly<Record<string, unknown>> | undefined;
	/** Measured and expected times of its attempts, for the log. Empty where no speeds are learned. */
	readonly measurements: AttemptMeasurement[];
	/** Whether bytes of a response were sent to the caller. */
	isResponseStarted: boolean;
	/** End of its stream that another target is asked to confirm. */
	closedEnd: ClosedEnd | undefined;
	/** Numbers that events of its stream leave out; undefined before an attempt has brought events. */
	eventGaps?: EventGaps | undefined;
};

/** Complete state of an entry that sends to targets directly. */
export type ServingState = {
	readonly instanceId: string;
	readonly processId: string;
	readonly availabilityZone: string;
	isStopping: boolean;
	/** Time at which a stop that was requested ends the calls that are not over. */
	stopEndsAtMs: number | undefined;
	configuration: ServingConfiguration | undefined;
	hasTargets: boolean;
	/** Latest era of the metadata store; zero until a reply states one. */
	storeEra: number;
	readonly catalog: TargetCatalog;
	readonly placement: PlacementState;
	readonly evenness: EvennessState;
	readonly placementSettings: PlacementSettings;
	readonly speedLearningMode: SpeedLearningMode;
	readonly calls: Map<number, ServingCall>;
	lastAttemptId: number;
	/** Time of the latest tick; undefined before the first one. */
	lastTickAtMs: number | undefined;
	/** Longest deadline seen on each route. A clearly shorter deadline means that the caller already spent part of it. */
	readonly maxDeadlineMsByRoute: Map<string, number>;
	readonly retryBudget: SharedRetryBudget;
	/** Recent work for each customer in services with learned speeds. */
	readonly customerShares: CustomerShares;
	readonly poisonRequests: PoisonRequestTracker;
	readonly poisonParts: PoisonPartTracker;
	readonly partHistory: PartHistory;
	readonly serviceVersions: ServiceVersions;
	readonly streamVersions: StreamVersions;
	/** Services whose targets have ended a stream by its length or its last chunk, so that they need no end of a connection for it. */
	readonly servicesWithDelimitedStreams: Set<string>;
	/** How services number the events of their streams. */
	readonly streamForms: Map<string, ServiceStreamForm>;
	readonly versionHistory: VersionHistory;
	/** Requests that take up a stream, held until the store has told which versions serve, by call. */
	readonly takeUps: Map<number, CallArrived>;
	/** Shared prompt parts of the requests whose attempts ended with the connection to a target, by incarnation of the target, until it is known whether the target crashed. */
	readonly suspectedCrashes: Map<string, {readonly atMs: number; readonly requests: Array<readonly string[]>}>;
	readonly clock: MedianClock;
	readonly usage: RequestUsage;
	readonly allotments: Allotments;
	/** Times of the latest log lines on the use of allotments and on impossible figures of peers. */
	readonly allotmentLog: {usedAtMs: number; ignoredAtMs: number};
	readonly lease: LeaseState;
	/** Number of other entries that the store lists; undefined before the first list. */
	registeredPeerCount: number | undefined;
	/** Peer entries that may acquire the duty. */
	readonly membership: {readonly peers: Map<string, {instanceId: string; availabilityZone: string; region: string}>};
	/** Prefix uses not yet reported to peers. */
	unreportedPrefixUses: Array<PeerReport['prefixUses'][number]>;
	/** Targets that told this entry that they are about to stop, not yet reported to peers. */
	unreportedLeaving: Array<PeerReport['leaving'][number]>;
	/** Targets that changed their limits in answers to this entry, not yet reported to peers. */
	readonly unreportedLimits: Set<string>;
	/** Number of the target whose complete speed is reported next. */
	nextReportedSpeed: number;
	readonly fleet: {
		/** Desired number of targets in stage `prefill`. If undefined, stages are not changed. */
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
	/** Retries of a service, as a share of its requests. */
	readonly retryRatio: number;
	/** Retries of a service that are allowed beyond that share, for all entries together. */
	readonly retryAllowance: number;
	readonly budgetWindowMs: number;
	/** By how much customers may exceed their allotments; by nothing if omitted. */
	readonly allotmentTolerance?: AllotmentTolerance | undefined;
	readonly placementSettings?: PlacementSettings;
	readonly speedLearningMode?: SpeedLearningMode | undefined;
	readonly spreadMode?: SpreadMode | undefined;
	readonly prefillTargets?: number | undefined;
	/** Whether the store keeps the software versions at which streams may have begun. False if omitted. */
	readonly hasVersionHistory?: boolean;
	/** Whether the store keeps the quarantined prompt parts. False if omitted. */
	readonly hasPartHistory?: boolean;
};

/** Duty for usage reports and stage orders. A single entry holds it for all zones, so one sequence of fencing tokens covers all these calls. */
export const CONTROL_DUTY = 'control';

/** Creates the state of an entry that has just started. */
export function createServingState(options: ServingStateOptions): ServingState {
	const {instanceId, processId, availabilityZone, region} = options;
	return {
		instanceId,
		processId,
		availabilityZone,
		isStopping: false,
		stopEndsAtMs: undefined,
		configuration: undefined,
		hasTargets: false,
		storeEra: 0,
		catalog: createTargetCatalog(),
		placement: createPlacementState({entryId: instanceId, availabilityZone, spreadMode: options.spreadMode}),
		evenness: createEvennessState(),
		placementSettings: options.placementSettings ?? DEFAULT_PLACEMENT_SETTINGS,
		speedLearningMode: options.speedLearningMode ?? SPEED_LEARNING_MODES.auto,
		calls: new Map(),
		lastAttemptId: 0,
		lastTickAtMs: undefined,
		maxDeadlineMsByRoute: new Map(),
		retryBudget: createSharedRetryBudget({
			retryRatio: options.retryRatio, allowance: options.retryAllowance, windowMs: options.budgetWindowMs,
		}),
		customerShares: createCustomerShares(),
		poisonRequests: createPoisonRequestTracker(),
		poisonParts: createPoisonPartTracker(),
		partHistory: createPartHistory(options.hasPartHistory ?? false),
		serviceVersions: createServiceVersions(),
		servicesWithDelimitedStreams: new Set(),
		streamForms: new Map(),
		streamVersions: createStreamVersions(),
		versionHistory: createVersionHistory(options.hasVersionHistory ?? false),
		takeUps: new Map(),
		suspectedCrashes: new Map(),
		clock: createMedianClock(),
		usage: createRequestUsage({windowMs: options.usageWindowMs}),
		allotments: createAllotments({entryId: instanceId, tolerance: options.allotmentTolerance}),
		allotmentLog: {usedAtMs: 0, ignoredAtMs: Number.NEGATIVE_INFINITY},
		lease: createLeaseState({
			instanceId, processId, availabilityZone, region,
			durationMs: options.leaseMs,
			isReleasedAtStop: false,
			duties: [{name: CONTROL_DUTY, scope: {kind: 'everywhere'}}],
		}),
		registeredPeerCount: undefined,
		membership: {peers: new Map()},
		unreportedPrefixUses: [],
		unreportedLeaving: [],
		unreportedLimits: new Set(),
		nextReportedSpeed: 0,
		fleet: {prefillTargets: options.prefillTargets, pendingOrderTargetId: undefined, nextOrderAtMs: 0},
	};
}

/** Wait after acquiring the duty before the first order, so that the states of the targets are known. */
export {SECOND_MS as FIRST_ORDER_WAIT_MS} from '@damaskspool/shared';
