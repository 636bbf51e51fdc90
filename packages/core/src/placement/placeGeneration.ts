/**
 * Places a generation: which target reads its prompt, from where that target
 * fetches what it does not keep itself, and which target generates. Answers
 * the load in which long shared prompts and short ones alternate within seconds
 * and reading, not generating, is scarce.
 */
import {STAGES, type EngineRecord, type PromptRecord} from '../serving/servingRecords.js';
import {type PlacementSettings} from './placementSettings.js';
import {
	listSharedParts, type PlacedTarget, type PlacementState, sumWork,
} from './placementState.js';

/** Where a generation goes. */
export type GenerationPlan = {
	/** Generates, and reads the prompt too where `reader` is undefined. */
	readonly decodeTarget: PlacedTarget;
	/** Reads the prompt first, after which `target` takes its KV cache over. */
	readonly prefillTarget: PlacedTarget | undefined;
	/** Keeps shared parts that the reading target fetches. */
	readonly cacheSource: PlacedTarget | undefined;
	/** Time that the reading target needs for the prompt. */
	readonly prefillMs: number;
	/** Time for which links copy KV cache before the first event. */
	readonly copyMs: number;
	/** Time before the reading target begins. */
	readonly backlogMs: number;
	/** Tokens that no target has to read, as they are kept somewhere. */
	readonly cachedTokens: number;
	/** Whether the prompt counts as a long one. */
	readonly isLong: boolean;
	/** Time expected until the first event. */
	readonly expectedFirstEventMs: number;
	/** Sum of the weighed losses; the lowest is chosen. */
	readonly cost: number;
};

/** What is placed. */
export type GenerationDemand = {
	readonly serviceId: string;
	readonly prompt: PromptRecord;
	readonly bodyBytes: number;
	/** Time left until the answer's goal. */
	readonly goalRemainingMs: number;
	/** Targets that already refused or failed this request. */
	readonly excludedTargetIds: ReadonlySet<string>;
};

/** Options of {@link placeGeneration}. */
export type PlaceGenerationOptions = {
	readonly state: PlacementState;
	readonly demand: GenerationDemand;
	readonly engine: EngineRecord;
	readonly settings: PlacementSettings;
	readonly nowMs: number;
};

/** Bits in a byte, and kilobits a millisecond in a megabit a second. */
const BITS_PER_BYTE = 8;
const BITS_PER_MS_OF_MBPS = 1000;
const BYTES_PER_KB = 1000;
const BYTES_PER_GB = 1e9;
const PAIRS_PER_MILLION = 1e6;
/** Share of the time to the goal below which no answer is expected to be late. */
const SAFE_SHARE_OF_GOAL = 0.5;

type Candidate = {
	readonly target: PlacedTarget;
	readonly running: number;
	/** Time before the target begins to read this prompt. */
	readonly backlogMs: number;
	/** Time before its link is free. */
	readonly linkBusyMs: number;
};

/**
 * Places a generation.
 *
 * @param options - what is known, what is asked, and the figures to weigh
 * @returns the plan of the least loss, or undefined where no target is in use
 */
export function placeGeneration(options: PlaceGenerationOptions): GenerationPlan | undefined {
	const candidates = listCandidates(options);
	const isLong = isLongPrompt(options.demand, options.settings);
	const {longSlotShare} = options.settings;
	const decodeCandidates = candidates.filter(({target, running}) =>
		target.record.stage !== STAGES.prefill && (!isLong || running < target.record.slots * longSlotShare));
	const prefillCandidates = isLong
		? candidates.filter(({target}) => target.record.stage === STAGES.prefill)
		: [];
	let best: GenerationPlan | undefined;
	const consider = (plan: GenerationPlan | undefined) => {
		if (plan !== undefined && (best === undefined || plan.cost < best.cost)) {
			best = plan;
		}
	};

	for (const candidate of decodeCandidates) {
		consider(planPrefill(options, candidate, undefined));
	}

	for (const candidate of prefillCandidates) {
		consider(planPrefill(options, candidate, pickDecodeCandidate(options, candidate, decodeCandidates)));
	}

	return best;
}

function isLongPrompt({prompt}: GenerationDemand, {longReadTokens}: PlacementSettings): boolean {
	return prompt.tokens > longReadTokens;
}

function listCandidates({state, demand, settings, nowMs}: PlaceGenerationOptions): Candidate[] {
	const isLong = isLongPrompt(demand, settings);
	const inUse: Candidate[] = [];
	const backingOff: Candidate[] = [];
	for (const target of state.targets.values()) {
		if (target.record.serviceId !== demand.serviceId || target.record.isLeaving
			|| demand.excludedTargetIds.has(target.record.targetId)) {
			continue;
		}

		const {running, prefillMs, shortPrefillMs, copyMs: linkBusyMs} = sumWork(state, target, nowMs);
		const chunkMs = settings.decodePieceTokens / settings.readTokensPerMs / settings.decodeReadShare;
		const backlogMs = isLong ? prefillMs : shortPrefillMs + Math.min(prefillMs - shortPrefillMs, chunkMs);
		(target.backoffUntilMs > nowMs ? backingOff : inUse).push({
			target, running, backlogMs, linkBusyMs,
		});
	}

	return inUse.length > 0 ? inUse : backingOff;
}

function pickDecodeCandidate(options: PlaceGenerationOptions, prefillCandidate: Candidate, decodeCandidates: readonly Candidate[]): Candidate | undefined {
	let best: Candidate | undefined;
	let minCost = Number.POSITIVE_INFINITY;
	for (const candidate of decodeCandidates) {
		const isSameZone = candidate.target.record.availabilityZone === prefillCandidate.target.record.availabilityZone;
		const cost = computeSlotCost(options, candidate)
			+ (candidate.backlogMs * options.settings.readLossPerMs)
			+ computeBodyCost(options, candidate.target)
			+ (isSameZone ? 0 : options.settings.copyLossPerGb * computeCopyGb(options, options.demand.prompt.tokens));
		if (cost < minCost) {
			best = candidate;
			minCost = cost;
		}
	}

	return best;
}

function planPrefill(options: PlaceGenerationOptions, prefillCandidate: Candidate, decodeCandidate: Candidate | undefined): GenerationPlan | undefined {
	const {state, demand, settings} = options;
	const isDisaggregated = prefillCandidate.target.record.stage === STAGES.prefill;
	if (isDisaggregated && decodeCandidate === undefined) {
		return undefined;
	}

	const shared = listSharedParts(demand.prompt.parts);
	const ownCachedTokens = countCachedTokens(state, shared, prefillCandidate.target.record.targetId);
	const cacheSource = pickCacheSource(options, prefillCandidate.target, ownCachedTokens);
	const cachedTokens = Math.max(ownCachedTokens, cacheSource?.tokens ?? 0);
	const prefillTokens = Math.max(0, demand.prompt.tokens - cachedTokens);
	const prefillMs = computePrefillMs(settings, prefillCandidate, {readTokens: prefillTokens, cachedTokens});
	const fetchMs = cacheSource === undefined ? 0 : computeCopyMs(options, cacheSource.tokens - ownCachedTokens, cacheSource.target, prefillCandidate.target);
	const handoverCopyMs = decodeCandidate === undefined ? 0 : computeCopyMs(options, demand.prompt.tokens, prefillCandidate.target, decodeCandidate.target);
	const handoverMs = decodeCandidate === undefined ? 0 : settings.handoverMs;
	const copyTokens = (cacheSource === undefined ? 0 : cacheSource.tokens - ownCachedTokens) + (decodeCandidate === undefined ? 0 : demand.prompt.tokens);
	const slotWaitMs = computeSlotWaitMs(settings, prefillCandidate) + (decodeCandidate === undefined ? 0 : computeSlotWaitMs(settings, decodeCandidate));
	const linkWaitMs = fetchMs + handoverCopyMs > 0 ? Math.max(prefillCandidate.linkBusyMs, decodeCandidate?.linkBusyMs ?? 0) : 0;
	const expectedFirstEventMs = Math.max(prefillCandidate.backlogMs, linkWaitMs) + prefillMs + fetchMs + handoverCopyMs + slotWaitMs + handoverMs + settings.firstEventMs;
	const cost = computeLateCost(settings, expectedFirstEventMs, demand.goalRemainingMs)
		+ (prefillMs * settings.readLossPerMs)
		+ (isDisaggregated ? 0 : prefillMs * computeDelayCostPerMs(settings, prefillCandidate))
		+ (expectedFirstEventMs * settings.readLossPerMs / 2)
		+ (computeCopyGb(options, copyTokens) * settings.copyLossPerGb)
		+ computeSlotCost(options, decodeCandidate ?? prefillCandidate)
		+ computeBodyCost(options, prefillCandidate.target)
		+ (decodeCandidate === undefined ? 0 : computeBodyCost(options, decodeCandidate.target));
	return {
		decodeTarget: (decodeCandidate ?? prefillCandidate).target,
		prefillTarget: isDisaggregated ? prefillCandidate.target : undefined,
		cacheSource: cacheSource?.target,
		prefillMs,
		copyMs: fetchMs + handoverCopyMs,
		backlogMs: Math.max(prefillCandidate.backlogMs, linkWaitMs),
		cachedTokens,
		isLong: isLongPrompt(demand, settings),
		expectedFirstEventMs,
		cost,
	};
}

/** Tokens of leading shared parts that a target keeps. */
function countCachedTokens(state: PlacementState, shared: PromptRecord['parts'], targetId: string): number {
	let tokens = 0;
	for (const part of shared) {
		if (!state.prefixLocations.has(part.partId, targetId)) {
			break;
		}

		tokens += part.tokens;
	}

	return tokens;
}

function pickCacheSource({state, demand, settings}: PlaceGenerationOptions, prefillTarget: PlacedTarget, ownCachedTokens: number): {target: PlacedTarget; tokens: number} | undefined {
	const shared = listSharedParts(demand.prompt.parts);
	const last = shared.at(-1);
	const total = shared.reduce((sum, {tokens}) => sum + tokens, 0);
	if (last === undefined || total - ownCachedTokens < settings.longReadTokens) {
		return undefined;
	}

	let best: {target: PlacedTarget; tokens: number} | undefined;
	for (const targetId of state.prefixLocations.list(last.partId)) {
		const target = state.targets.get(targetId);
		if (target === undefined || target === prefillTarget) {
			continue;
		}

		const tokens = countCachedTokens(state, shared, targetId);
		const isSameZone = target.record.availabilityZone === prefillTarget.record.availabilityZone;
		if (tokens > ownCachedTokens && (best === undefined || tokens > best.tokens || (tokens === best.tokens && isSameZone))) {
			best = {target, tokens};
		}
	}

	return best;
}

/** A target that generates reads in pieces, and makes a step for those that run after each. */
function computePrefillMs(settings: PlacementSettings, {target, running}: Candidate, {readTokens, cachedTokens}: {readTokens: number; cachedTokens: number}): number {
	const fullSpeedMs = (readTokens / settings.readTokensPerMs)
		+ (readTokens * (cachedTokens + (readTokens / 2)) * settings.pairsMsPerMillion / PAIRS_PER_MILLION);
	if (target.record.stage === STAGES.prefill) {
		return fullSpeedMs;
	}

	const decodeStepsMs = running > 0 ? readTokens / settings.decodePieceTokens * settings.stepMs : 0;
	return (fullSpeedMs / settings.decodeReadShare) + decodeStepsMs;
}

function computeCopyGb({engine}: PlaceGenerationOptions, tokens: number): number {
	return tokens * engine.kvBytesPerToken / BYTES_PER_GB;
}

function computeCopyMs({engine, settings}: PlaceGenerationOptions, tokens: number, from: PlacedTarget, to: PlacedTarget): number {
	const bits = tokens * engine.kvBytesPerToken * BITS_PER_BYTE;
	const factor = from.record.availabilityZone === to.record.availabilityZone ? 1 : settings.crossZoneCopyFactor;
	return settings.copySetupMs + (factor * bits / (engine.linkMbps * BITS_PER_MS_OF_MBPS));
}

function computeSlotWaitMs(settings: PlacementSettings, {target, running}: Candidate): number {
	return Math.max(0, running + 1 - target.record.slots) * settings.slotWaitMs;
}

function computeSlotCost({settings}: PlaceGenerationOptions, {target, running}: Candidate): number {
	return settings.slotLoss * (((running + 1) / target.record.slots) ** 2);
}

/** Loss of a millisecond of reading at a target that generates: all that run there wait, and keep their slots the longer. */
function computeDelayCostPerMs({delayLossPerMs}: PlacementSettings, {target, running}: Candidate): number {
	return delayLossPerMs * running * ((running / target.record.slots) ** 2);
}

function computeBodyCost({state, demand, settings}: PlaceGenerationOptions, target: PlacedTarget): number {
	return target.record.availabilityZone === state.availabilityZone ? 0 : demand.bodyBytes / BYTES_PER_KB * settings.crossZoneLossPerKb;
}

/** Rises from nothing at half of the goal to the whole loss of lateness at the goal. */
function computeLateCost(settings: PlacementSettings, expectedFirstEventMs: number, goalRemainingMs: number): number {
	const goalShare = expectedFirstEventMs / Math.max(1, goalRemainingMs);
	return settings.lateLoss * Math.min(1, Math.max(0, (goalShare - SAFE_SHARE_OF_GOAL) / (1 - SAFE_SHARE_OF_GOAL)));
}
