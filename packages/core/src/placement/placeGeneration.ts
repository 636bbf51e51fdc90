/**
 * Places a generation: chooses the target that prefills the prompt, the target
 * from which it fetches KV cache that it lacks, and the target that decodes. It
 * is made for loads in which long prompts with shared prefixes and short prompts
 * alternate within seconds and prefill, not decode, is the bottleneck.
 */
import {findLowest} from '../routing/findLowest.js';
import {STAGES} from '../serving/servingRecords.js';
import {
	type Candidate, type CandidatePlan, type GenerationDemand, type GenerationPlan, type PlaceGenerationOptions, type PlanContext,
} from './generationPlan.js';
import {
	getLocalRunning, listServiceTargets, mayReceive, type PlacedTarget, sumWork,
} from './placementState.js';
import {
	computeBodyCost, computeCopyGb, computeSlotCost, isLongPrompt, listCachedParts, planPrefill,
} from './planPrefill.js';
import {estimateRunning} from './statedLoad.js';
import {estimateSpeed, hasLearnedSpeeds} from './targetSpeed.js';
import {hasTokenRoom} from './targetRoom.js';
import {estimateDrift, isSpread, type SpreadOptions} from './spreadChoice.js';
import {
	chooseSpreadDecode, chooseSpreadPlan, pickCheapest, sampleCandidateTargets,
} from './spreadGeneration.js';
import {computePosition, recordSpreadChoice} from './spreadState.js';

/** Options of {@link pickDecodeCandidate}. */
type DecodeChoiceOptions = {
	readonly decodeCandidates: readonly Candidate[];
	/** Undefined if choices among the targets of the service are not spread. */
	readonly spread: SpreadOptions | undefined;
};

/**
 * Chooses the targets of a generation.
 *
 * @param options - the choice is recorded in the spread state if choices among the targets of the service are spread
 * @returns the plan with the lowest cost, or undefined if no target may decode it
 */
export function placeGeneration(options: PlaceGenerationOptions): GenerationPlan | undefined {
	const {state, demand, nowMs} = options;
	const targets = listServiceTargets(state, demand.serviceId);
	const context: PlanContext = {...options, cachedParts: listCachedParts(state, demand.prompt)};
	if (!isSpread(state, demand.serviceId)) {
		return pickCheapest(listPlans(context, listCandidates(options, targets)))?.plan;
	}

	const kind = `${demand.serviceId}/${isLongPrompt(demand, options.settings) ? 'long' : 'short'}`;
	const spread = {newRequests: estimateDrift(state, kind, nowMs).newRequests, position: computePosition(state.spread, kind, state.entryId)};
	const sample = sampleCandidateTargets(context, targets, spread.position);
	const planSample = (sampled: readonly PlacedTarget[]) =>
		chooseSpreadPlan(context, listPlans(context, listCandidates(options, sampled), spread), spread);
	const plan = planSample(sample) ?? (sample.length < targets.length ? planSample(targets) : undefined);
	if (plan !== undefined) {
		recordSpreadChoice(state.spread, kind, {running: getLocalRunning(state, demand.serviceId), nowMs});
	}

	return plan;
}

/** Lists a plan for each candidate that may prefill the prompt. */
function listPlans(options: PlanContext, candidates: readonly Candidate[], spread?: SpreadOptions): readonly CandidatePlan[] {
	const isLong = isLongPrompt(options.demand, options.settings);
	const {longSlotShare} = options.settings;
	const decodeCandidates = candidates.filter(({target, running}) =>
		mayDecode(target, options.demand) && (!isLong || running < target.record.slots * longSlotShare));
	const prefillCandidates = isLong
		? candidates.filter(({target}) => target.record.stage === STAGES.prefill)
		: [];
	const plans: CandidatePlan[] = [];
	const consider = (prefillCandidate: Candidate, decodeCandidate: Candidate | undefined) => {
		const plan = planPrefill(options, prefillCandidate, decodeCandidate);
		if (plan !== undefined) {
			plans.push({plan, prefillCandidate, decodeCandidate});
		}
	};

	for (const candidate of decodeCandidates) {
		consider(candidate, undefined);
	}

	// All targets of a zone that prefill have the same decode target in common.
	const decodeByZone = new Map<string, Candidate | undefined>();
	for (const candidate of prefillCandidates) {
		const {availabilityZone} = candidate.target.record;
		if (!decodeByZone.has(availabilityZone)) {
			decodeByZone.set(availabilityZone, pickDecodeCandidate(options, availabilityZone, {decodeCandidates, spread}));
		}

		consider(candidate, decodeByZone.get(availabilityZone));
	}

	return plans;
}

/** Returns whether the stage and the software version of a target allow it to decode a generation. */
function mayDecode({record}: PlacedTarget, {softwareVersion}: GenerationDemand): boolean {
	return record.stage !== STAGES.prefill && (softwareVersion === undefined || record.softwareVersion === softwareVersion);
}

/** Lists the available ones of the given targets of the service that have room. Targets in backoff are listed only if there are no others. */
function listCandidates({state, demand, engine, settings, nowMs}: PlaceGenerationOptions, targets: readonly PlacedTarget[]): Candidate[] {
	const isRoomCounted = hasLearnedSpeeds(state, demand.serviceId);
	const isLong = isLongPrompt(demand, settings);
	const available: Candidate[] = [];
	const backingOff: Candidate[] = [];
	for (const target of targets) {
		if (!mayReceive(target, nowMs) || demand.excludedTargetIds.has(target.record.targetId)) {
			continue;
		}

		const work = sumWork(target, nowMs);
		if (isRoomCounted && !hasTokenRoom(work, demand.prompt, engine)) {
			continue;
		}

		const {running: knownRunning, prefillMs, urgentPrefillMs, copyMs: linkBusyMs} = work;
		const running = estimateRunning(target, knownRunning, nowMs);
		const speed = estimateSpeed(state, target, settings, {nowMs, horizonMs: prefillMs + settings.firstEventMs});
		// Short prompts go before long ones and wait for at most one chunk of a long prompt.
		const chunkMs = settings.decodePieceTokens / settings.readTokensPerMs / settings.decodeReadShare * speed.prefillFactor;
		const isPrefillTarget = target.record.stage === STAGES.prefill;
		const backlogMs = isLong && !isPrefillTarget ? prefillMs : urgentPrefillMs + Math.min(prefillMs - urgentPrefillMs, chunkMs);
		(target.backoffUntilMs > nowMs ? backingOff : available).push({
			target, running, backlogMs, lateBacklogMs: isPrefillTarget ? prefillMs - backlogMs : 0, linkBusyMs, speed,
		});
	}

	const isEnough = demand.softwareVersion === undefined ? available.length > 0 : available.some(({target}) => mayDecode(target, demand));
	return isEnough ? available : [...available, ...backingOff];
}

/** Picks the decode target with the lowest cost for a prompt that a target of the given zone prefills, or spreads these choices. */
function pickDecodeCandidate(options: PlanContext, prefillZone: string, {decodeCandidates, spread}: DecodeChoiceOptions): Candidate | undefined {
	const computeCost = (candidate: Candidate) => {
		const isSameZone = candidate.target.record.availabilityZone === prefillZone;
		return computeSlotCost(options, candidate.target, candidate.running)
			+ (candidate.backlogMs * options.settings.readLossPerMs)
			+ computeBodyCost(options, candidate.target)
			+ (isSameZone ? 0 : options.settings.copyLossPerGb * computeCopyGb(options, options.demand.prompt.tokens));
	};

	return spread === undefined
		? findLowest(decodeCandidates, computeCost)
		: chooseSpreadDecode(options, decodeCandidates, {computeCost, spread});
}
