/** Plans a generation on given targets: estimates its times, and weighs what it costs its caller and other requests. */
import {STAGES, type PromptRecord} from '../serving/servingRecords.js';
import {
	type CachedParts, type Candidate, type GenerationDemand, type GenerationPlan, type PlanContext,
} from './generationPlan.js';
import {type PlacementSettings} from './placementSettings.js';
import {listSharedParts, type PlacedTarget, type PlacementState} from './placementState.js';
import {getHandoverMs} from './targetSpeed.js';

const BITS_PER_BYTE = 8;
/** Bits that a link of 1 Mbit/s transfers in a millisecond. */
const BITS_PER_MS_PER_MBPS = 1000;
const BYTES_PER_KB = 1000;
const BYTES_PER_GB = 1e9;
const PAIRS_PER_MILLION = 1e6;
/** Share of the remaining time to the objective up to which an expected first event adds no cost for lateness. */
const SAFE_SHARE_OF_GOAL = 0.5;

/**
 * Share of the remaining time to the objective that a prompt may wait for its prefill and still counts as timely. The
 * prompt's own size does not matter, so large prompts are not put behind all others.
 */
const TIMELY_WAIT_SHARE = 0.5;

/** Returns whether a prompt may use disaggregated prefill. */
export function isLongPrompt({prompt}: GenerationDemand, {longReadTokens}: PlacementSettings): boolean {
	return prompt.tokens > longReadTokens;
}

/** Looks up where the shared parts of a prompt are cached. */
export function listCachedParts({prefixLocations, targets}: PlacementState, prompt: PromptRecord): CachedParts {
	const shared = listSharedParts(prompt.parts);
	const last = shared.at(-1);
	const locations = (last === undefined ? [] : prefixLocations.list(last.partId)).flatMap(targetId => {
		const target = targets.get(targetId);
		return target === undefined ? [] : [{target, tokens: countCachedTokens({prefixLocations}, shared, targetId)}];
	});
	return {shared, sharedTokens: shared.reduce((sum, {tokens}) => sum + tokens, 0), locations};
}

/**
 * Plans a generation whose prompt is prefilled by the given candidate, which also decodes if
 * `decodeCandidate` is undefined. Returns undefined if the candidate only prefills and no target decodes.
 */
export function planPrefill(options: PlanContext, prefillCandidate: Candidate, decodeCandidate: Candidate | undefined): GenerationPlan | undefined {
	const {state, demand, settings} = options;
	const isDisaggregated = prefillCandidate.target.record.stage === STAGES.prefill;
	if (isDisaggregated && decodeCandidate === undefined) {
		return undefined;
	}

	const ownCachedTokens = countCachedTokens(state, options.cachedParts.shared, prefillCandidate.target.record.targetId);
	const cacheSource = pickCacheSource(options, prefillCandidate.target, ownCachedTokens);
	const cachedTokens = Math.max(ownCachedTokens, cacheSource?.tokens ?? 0);
	const prefillTokens = Math.max(0, demand.prompt.tokens - cachedTokens);
	const {speed} = prefillCandidate;
	const unitPrefillMs = computePrefillMs(settings, prefillCandidate, {readTokens: prefillTokens, cachedTokens});
	const prefillMs = unitPrefillMs * speed.prefillFactor;
	const fetchMs = cacheSource === undefined ? 0 : computeCopyMs(options, cacheSource.tokens - ownCachedTokens, cacheSource.target, prefillCandidate.target);
	const handoverCopyMs = decodeCandidate === undefined ? 0 : computeCopyMs(options, demand.prompt.tokens, prefillCandidate.target, decodeCandidate.target);
	const handoverMs = decodeCandidate === undefined ? 0 : getHandoverMs(state, demand.serviceId, settings);
	const copyTokens = (cacheSource === undefined ? 0 : cacheSource.tokens - ownCachedTokens) + (decodeCandidate === undefined ? 0 : demand.prompt.tokens);
	const slotWaitMs = computeSlotWaitMs(settings, prefillCandidate) + (decodeCandidate === undefined ? 0 : computeSlotWaitMs(settings, decodeCandidate));
	const linkWaitMs = fetchMs + handoverCopyMs > 0 ? Math.max(prefillCandidate.linkBusyMs, decodeCandidate?.linkBusyMs ?? 0) : 0;
	const timelyWaitMs = Math.max(prefillCandidate.backlogMs, linkWaitMs) + slotWaitMs;
	const isTimely = timelyWaitMs <= demand.goalRemainingMs * TIMELY_WAIT_SHARE;
	const waitMs = timelyWaitMs + (isTimely ? 0 : prefillCandidate.lateBacklogMs);
	const expectedFirstEventMs = waitMs + prefillMs + fetchMs + handoverCopyMs + handoverMs + speed.fixedMs;
	const cost = computeLateCost(settings, expectedFirstEventMs, demand.goalRemainingMs)
		+ (prefillMs * settings.readLossPerMs)
		+ (isDisaggregated ? 0 : prefillMs * computeDelayCostPerMs(settings, prefillCandidate))
		+ (expectedFirstEventMs * settings.readLossPerMs / 2)
		+ (computeCopyGb(options, copyTokens) * settings.copyLossPerGb)
		+ computeSlotCost(options, (decodeCandidate ?? prefillCandidate).target, (decodeCandidate ?? prefillCandidate).running)
		+ computeBodyCost(options, prefillCandidate.target)
		+ (decodeCandidate === undefined ? 0 : computeBodyCost(options, decodeCandidate.target));
	return {
		decodeTarget: (decodeCandidate ?? prefillCandidate).target,
		prefillTarget: isDisaggregated ? prefillCandidate.target : undefined,
		cacheSource: cacheSource?.target,
		prefillMs,
		urgentPrefillMs: (isDisaggregated ? isTimely : !isLongPrompt(demand, settings)) ? prefillMs : 0,
		copyMs: fetchMs + handoverCopyMs,
		handoverCopyMs,
		backlogMs: Math.max(prefillCandidate.backlogMs, linkWaitMs) + (isTimely ? 0 : prefillCandidate.lateBacklogMs),
		cachedTokens,
		isLong: isLongPrompt(demand, settings),
		isTimely,
		expectedFirstEventMs,
		expectation: {
			unitPrefillMs,
			backlogMs: waitMs,
			otherMs: fetchMs,
			prefillFactor: speed.prefillFactor,
			fixedMs: speed.fixedMs,
			workTime: speed.workTime,
			isHandover: false,
			// What a target that only prefills has cached is known, since it got it from entries.
			isCacheKnown: isDisaggregated || cachedTokens >= options.cachedParts.sharedTokens,
			copySetupMs: cacheSource === undefined ? 0 : settings.copySetupMs,
		},
		cost,
	};
}

/** Counts the tokens of the leading shared parts that a target has cached. */
function countCachedTokens({prefixLocations}: Pick<PlacementState, 'prefixLocations'>, shared: PromptRecord['parts'], targetId: string): number {
	let tokens = 0;
	for (const part of shared) {
		if (!prefixLocations.has(part.partId, targetId)) {
			break;
		}

		tokens += part.tokens;
	}

	return tokens;
}

/**
 * Picks the target with the most leading tokens cached, preferably in the zone of the target that prefills.
 * Returns undefined if the shared parts that this target lacks are too small for a fetch, or cached nowhere.
 */
function pickCacheSource({settings, cachedParts}: PlanContext, prefillTarget: PlacedTarget, ownCachedTokens: number): {target: PlacedTarget; tokens: number} | undefined {
	const {sharedTokens, locations} = cachedParts;
	if (sharedTokens - ownCachedTokens < settings.longReadTokens) {
		return undefined;
	}

	let best: {target: PlacedTarget; tokens: number} | undefined;
	for (const location of locations) {
		const {target, tokens} = location;
		const isSameZone = target.record.availabilityZone === prefillTarget.record.availabilityZone;
		if (target !== prefillTarget && tokens > ownCachedTokens && (best === undefined || tokens > best.tokens || (tokens === best.tokens && isSameZone))) {
			best = location;
		}
	}

	return best;
}

/** Computes the duration of a prefill. A decode target prefills in chunks and runs one decode step for its other requests after each chunk. */
function computePrefillMs(settings: PlacementSettings, {target, running}: Candidate, {readTokens: prefillTokens, cachedTokens}: {readTokens: number; cachedTokens: number}): number {
	const fullSpeedMs = (prefillTokens / settings.readTokensPerMs)
		+ (prefillTokens * (cachedTokens + (prefillTokens / 2)) * settings.pairsMsPerMillion / PAIRS_PER_MILLION);
	if (target.record.stage === STAGES.prefill) {
		return fullSpeedMs;
	}

	const decodeStepsMs = running > 0 ? prefillTokens / settings.decodePieceTokens * settings.stepMs : 0;
	return (fullSpeedMs / settings.decodeReadShare) + decodeStepsMs;
}

/** Computes the size of the KV cache of some tokens in gigabytes. */
export function computeCopyGb({engine}: PlanContext, tokens: number): number {
	return tokens * engine.kvBytesPerToken / BYTES_PER_GB;
}

function computeCopyMs({engine, settings}: PlanContext, tokens: number, from: PlacedTarget, to: PlacedTarget): number {
	const bits = tokens * engine.kvBytesPerToken * BITS_PER_BYTE;
	const factor = from.record.availabilityZone === to.record.availabilityZone ? 1 : settings.crossZoneCopyFactor;
	return settings.copySetupMs + (factor * bits / (engine.linkMbps * BITS_PER_MS_PER_MBPS));
}

function computeSlotWaitMs(settings: PlacementSettings, {target, running}: Candidate): number {
	return Math.max(0, running + 1 - target.record.slots) * settings.slotWaitMs;
}

/** Computes the cost of a slot of a target beside the given number of requests. It grows with the square of the occupancy. */
export function computeSlotCost({settings}: PlanContext, target: PlacedTarget, running: number): number {
	return settings.slotLoss * (((running + 1) / target.record.slots) ** 2);
}

/** Computes the cost of one millisecond of prefill on a decode target: all requests that run there wait and hold their slots for longer. */
function computeDelayCostPerMs({delayLossPerMs}: PlacementSettings, {target, running}: Candidate): number {
	return delayLossPerMs * running * ((running / target.record.slots) ** 2);
}

/** Computes the cost of sending the body of a request to the zone of a target. */
export function computeBodyCost({state, demand, settings}: PlanContext, target: PlacedTarget): number {
	return target.record.availabilityZone === state.availabilityZone ? 0 : demand.bodyBytes / BYTES_PER_KB * settings.crossZoneLossPerKb;
}

/** Computes the cost of a late first event: zero up to `SAFE_SHARE_OF_GOAL` of the remaining time, then rising linearly to the full cost at the objective. */
function computeLateCost(settings: PlacementSettings, expectedFirstEventMs: number, goalRemainingMs: number): number {
	const goalShare = expectedFirstEventMs / Math.max(1, goalRemainingMs);
	return settings.lateLoss * Math.min(1, Math.max(0, (goalShare - SAFE_SHARE_OF_GOAL) / (1 - SAFE_SHARE_OF_GOAL)));
}
