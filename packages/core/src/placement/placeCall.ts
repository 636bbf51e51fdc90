/**
 * Places a call of a plain service on the target with the fewest requests per
 * slot and prefers targets of the local zone. It is made for short calls that
 * may not be retried: a call placed in the wrong queue is answered late.
 */
import {
	getLocalRunning, listServiceTargets, mayReceive, type PlacedTarget, type PlacementState, sumRunning,
} from './placementState.js';
import {estimateCall, estimateRelativeCallTime} from './estimateCall.js';
import {hasFreeOwnSlot} from './ownSlots.js';
import {
	chooseSpread, estimateDrift, isSpread, MAX_SAMPLED_TARGETS, type ReportDrift, sampleUsable, type ScoredChoice, type SpreadRank,
} from './spreadChoice.js';
import {computePosition, recordSpreadChoice} from './spreadState.js';
import {estimateRunning} from './statedLoad.js';
import {type AttemptExpectation} from './targetSpeed.js';

/** Options of {@link placeCall}. */
export type PlaceCallOptions = {
	readonly state: PlacementState;
	readonly serviceId: string;
	/** Targets that already refused or failed this request. */
	readonly excludedTargetIds: ReadonlySet<string>;
	/** Software version of the target, if only one will do. */
	readonly softwareVersion?: string | undefined;
	readonly nowMs: number;
};

/** The target chosen for a call, and the requests that ran or waited there at that time. */
export type CallPlan = {
	readonly target: PlacedTarget;
	readonly running: number;
	/** Undefined where no speeds are learned. */
	readonly expectation: AttemptExpectation | undefined;
	/** Only if choices among the targets of the service are spread. */
	readonly spread?: SpreadRank;
};

/** Added to the requests per slot of a target in another zone. */
const OTHER_ZONE_PENALTY = 0.35;
/** Requests per slot at which the queue of a target is full. */
const MAX_REQUESTS_PER_SLOT = 4;

/**
 * Chooses the target of a call. Targets in backoff come last.
 *
 * @param options - the choice is recorded in the spread state if choices among the targets of the service are spread
 * @returns the target, or undefined if no target is available or all queues are full
 */
export function placeCall(options: PlaceCallOptions): CallPlan | undefined {
	const {state, serviceId, nowMs} = options;
	const targets = listServiceTargets(state, serviceId);
	if (isSpread(state, serviceId)) {
		return placeSpreadCall(options, targets);
	}

	let best: CallPlan | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const target of targets) {
		const {record} = target;
		if (!mayTake(options, target)) {
			continue;
		}

		const running = estimateRunning(target, sumRunning(target, nowMs), nowMs);
		if (running >= record.slots * MAX_REQUESTS_PER_SLOT) {
			continue;
		}

		const score = (running / record.slots)
			+ computeZonePenalty(state, target)
			+ (target.backoffUntilMs > nowMs ? MAX_REQUESTS_PER_SLOT * 2 : 0);
		if (score < bestScore) {
			best = {target, running, expectation: undefined};
			bestScore = score;
		}
	}

	return best && {...best, expectation: estimateCall(state, best, nowMs)};
}

/** Returns whether a target may take the call. */
function mayTake({excludedTargetIds, softwareVersion, nowMs}: PlaceCallOptions, target: PlacedTarget): boolean {
	return mayReceive(target, nowMs) && !excludedTargetIds.has(target.record.targetId)
		&& (softwareVersion === undefined || target.record.softwareVersion === softwareVersion);
}

/** Chooses a target so that the choices of all entries are spread. */
function placeSpreadCall(options: PlaceCallOptions, targets: readonly PlacedTarget[]): CallPlan | undefined {
	const {state, serviceId, nowMs} = options;
	const position = computePosition(state.spread, serviceId, state.entryId);
	const drift = estimateDrift(state, serviceId, nowMs);
	const choose = ({sample, shareOfAll}: ReturnType<typeof sampleUsable>) => {
		const candidates = sample.map(target => scoreSpreadTarget(state, target, {drift, nowMs})).filter(candidate => candidate !== undefined);
		// A target that is full all the same is slow, or others send it more than their part.
		const own = candidates.filter(({choice: {target, running}}) => running < target.record.slots && hasFreeOwnSlot(state, target));
		const preferred = own.length === 0 ? candidates : own;
		return chooseSpread(preferred, {newRequests: drift.newRequests * shareOfAll * preferred.length / Math.max(1, sample.length), position});
	};

	const mayChoose = (target: PlacedTarget) => mayTake(options, target);
	const chosen = choose(sampleUsable(targets, {position, mayChoose: target => target.backoffUntilMs <= nowMs && mayChoose(target)}))
		?? choose(sampleUsable(targets, {position, mayChoose}))
		// The queues of a whole sample may be full while another target has room.
		?? (targets.length > MAX_SAMPLED_TARGETS ? choose({sample: targets.filter(target => mayChoose(target)), shareOfAll: 1}) : undefined);
	if (chosen === undefined) {
		return undefined;
	}

	recordSpreadChoice(state.spread, serviceId, {running: getLocalRunning(state, serviceId), nowMs});
	const {choice, rank, candidateCount} = chosen;
	return {...choice, expectation: estimateCall(state, choice, nowMs), spread: {rank, candidateCount}};
}

/** Scores a target by the time that its unfinished requests take per slot. Returns undefined if its queue is full. */
function scoreSpreadTarget(state: PlacementState, target: PlacedTarget, {drift, nowMs}: {drift: ReportDrift; nowMs: number}): ScoredChoice<CallPlan> | undefined {
	const {record, localWork} = target;
	const running = estimateRunning(target, sumRunning(target, nowMs), nowMs);
	if (running >= record.slots * MAX_REQUESTS_PER_SLOT) {
		return undefined;
	}

	const step = estimateRelativeCallTime(state, target, nowMs) / record.slots;
	const remaining = localWork.running + ((running - localWork.running) * drift.remainingShare);
	return {choice: {target, running, expectation: undefined}, score: (remaining * step) + computeZonePenalty(state, target), step};
}

function computeZonePenalty({availabilityZone}: PlacementState, {record}: PlacedTarget): number {
	return record.availabilityZone === availabilityZone ? 0 : OTHER_ZONE_PENALTY;
}
