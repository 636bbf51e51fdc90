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
	readonly target: PlacedTarget;
	/** Reads the prompt first, after which `target` takes its KV cache over. */
	readonly reader: PlacedTarget | undefined;
	/** Keeps shared parts that the reading target fetches. */
	readonly source: PlacedTarget | undefined;
	/** Time that the reading target needs for the prompt. */
	readonly readMs: number;
	/** Time for which links copy KV cache before the first event. */
	readonly copyMs: number;
	/** Time before the reading target begins. */
	readonly backlogMs: number;
	/** Tokens that no target has to read, as they are kept somewhere. */
	readonly cachedTokens: number;
	/** Whether the prompt counts as a long one. */
	readonly isLong: boolean;
	/** Time expected until the first event. */
	readonly startMs: number;
	/** Sum of the weighed losses; the lowest is chosen. */
	readonly loss: number;
};

/** What is placed. */
export type GenerationDemand = {
	readonly serviceId: string;
	readonly prompt: PromptRecord;
	readonly bodyBytes: number;
	/** Time left until the answer's goal. */
	readonly goalLeftMs: number;
	/** Targets that already refused or failed this request. */
	readonly excluded: ReadonlySet<string>;
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
	readonly copyMs: number;
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
	const generators = candidates.filter(({target, running}) =>
		target.record.stage !== STAGES.prefill && (!isLong || running < target.record.slots * longSlotShare));
	const readers = isLong
		? candidates.filter(({target}) => target.record.stage === STAGES.prefill)
		: [];
	let best: GenerationPlan | undefined;
	const consider = (plan: GenerationPlan | undefined) => {
		if (plan !== undefined && (best === undefined || plan.loss < best.loss)) {
			best = plan;
		}
	};

	for (const generator of generators) {
		consider(planRead(options, generator, undefined));
	}

	for (const reader of readers) {
		consider(planRead(options, reader, pickGenerator(options, reader, generators)));
	}

	return best;
}

function isLongPrompt({prompt}: GenerationDemand, {longReadTokens}: PlacementSettings): boolean {
	return prompt.tokens > longReadTokens;
}

function listCandidates({state, demand, settings, nowMs}: PlaceGenerationOptions): Candidate[] {
	const isLong = isLongPrompt(demand, settings);
	const inUse: Candidate[] = [];
	const avoided: Candidate[] = [];
	for (const target of state.targets.values()) {
		if (target.record.serviceId !== demand.serviceId || target.record.isLeaving
			|| demand.excluded.has(target.record.targetId)) {
			continue;
		}

		const {running, readMs, shortReadMs, copyMs} = sumWork(state, target, nowMs);
		const pieceMs = settings.decodePieceTokens / settings.readTokensPerMs / settings.decodeReadShare;
		const backlogMs = isLong ? readMs : shortReadMs + Math.min(readMs - shortReadMs, pieceMs);
		(target.avoidUntilMs > nowMs ? avoided : inUse).push({
			target, running, backlogMs, copyMs,
		});
	}

	return inUse.length > 0 ? inUse : avoided;
}

function pickGenerator(options: PlaceGenerationOptions, reader: Candidate, generators: readonly Candidate[]): Candidate | undefined {
	let best: Candidate | undefined;
	let bestLoss = Number.POSITIVE_INFINITY;
	for (const generator of generators) {
		const isNear = generator.target.record.availabilityZone === reader.target.record.availabilityZone;
		const loss = computeSlotLoss(options, generator)
			+ (generator.backlogMs * options.settings.readLossPerMs)
			+ computeBodyLoss(options, generator.target)
			+ (isNear ? 0 : options.settings.copyLossPerGb * computeCopyGb(options, options.demand.prompt.tokens));
		if (loss < bestLoss) {
			best = generator;
			bestLoss = loss;
		}
	}

	return best;
}

function planRead(options: PlaceGenerationOptions, reading: Candidate, generator: Candidate | undefined): GenerationPlan | undefined {
	const {state, demand, settings} = options;
	const isApart = reading.target.record.stage === STAGES.prefill;
	if (isApart && generator === undefined) {
		return undefined;
	}

	const shared = listSharedParts(demand.prompt.parts);
	const keptTokens = countKept(state, shared, reading.target.record.targetId);
	const source = pickSource(options, reading.target, keptTokens);
	const cachedTokens = Math.max(keptTokens, source?.tokens ?? 0);
	const readTokens = Math.max(0, demand.prompt.tokens - cachedTokens);
	const readMs = computeReadMs(settings, reading, {readTokens, cachedTokens});
	const fetchMs = source === undefined ? 0 : computeCopyMs(options, source.tokens - keptTokens, source.target, reading.target);
	const moveMs = generator === undefined ? 0 : computeCopyMs(options, demand.prompt.tokens, reading.target, generator.target);
	const handoverMs = generator === undefined ? 0 : settings.handoverMs;
	const copyTokens = (source === undefined ? 0 : source.tokens - keptTokens) + (generator === undefined ? 0 : demand.prompt.tokens);
	const slotMs = computeSlotWait(settings, reading) + (generator === undefined ? 0 : computeSlotWait(settings, generator));
	const linkMs = fetchMs + moveMs > 0 ? Math.max(reading.copyMs, generator?.copyMs ?? 0) : 0;
	const startMs = Math.max(reading.backlogMs, linkMs) + readMs + fetchMs + moveMs + slotMs + handoverMs + settings.firstEventMs;
	const loss = computeLateLoss(settings, startMs, demand.goalLeftMs)
		+ (readMs * settings.readLossPerMs)
		+ (isApart ? 0 : readMs * computeDelayLoss(settings, reading))
		+ (startMs * settings.readLossPerMs / 2)
		+ (computeCopyGb(options, copyTokens) * settings.copyLossPerGb)
		+ computeSlotLoss(options, generator ?? reading)
		+ computeBodyLoss(options, reading.target)
		+ (generator === undefined ? 0 : computeBodyLoss(options, generator.target));
	return {
		target: (generator ?? reading).target,
		reader: isApart ? reading.target : undefined,
		source: source?.target,
		readMs,
		copyMs: fetchMs + moveMs,
		backlogMs: Math.max(reading.backlogMs, linkMs),
		cachedTokens,
		isLong: isLongPrompt(demand, settings),
		startMs,
		loss,
	};
}

/** Tokens of leading shared parts that a target keeps. */
function countKept(state: PlacementState, shared: PromptRecord['parts'], targetId: string): number {
	let tokens = 0;
	for (const part of shared) {
		if (!state.homes.has(part.partId, targetId)) {
			break;
		}

		tokens += part.tokens;
	}

	return tokens;
}

function pickSource({state, demand, settings}: PlaceGenerationOptions, reading: PlacedTarget, keptTokens: number): {target: PlacedTarget; tokens: number} | undefined {
	const shared = listSharedParts(demand.prompt.parts);
	const last = shared.at(-1);
	const total = shared.reduce((sum, {tokens}) => sum + tokens, 0);
	if (last === undefined || total - keptTokens < settings.longReadTokens) {
		return undefined;
	}

	let best: {target: PlacedTarget; tokens: number} | undefined;
	for (const targetId of state.homes.list(last.partId)) {
		const target = state.targets.get(targetId);
		if (target === undefined || target === reading) {
			continue;
		}

		const tokens = countKept(state, shared, targetId);
		const isNearer = target.record.availabilityZone === reading.record.availabilityZone;
		if (tokens > keptTokens && (best === undefined || tokens > best.tokens || (tokens === best.tokens && isNearer))) {
			best = {target, tokens};
		}
	}

	return best;
}

/** A target that generates reads in pieces, and makes a step for those that run after each. */
function computeReadMs(settings: PlacementSettings, {target, running}: Candidate, {readTokens, cachedTokens}: {readTokens: number; cachedTokens: number}): number {
	const fullSpeedMs = (readTokens / settings.readTokensPerMs)
		+ (readTokens * (cachedTokens + (readTokens / 2)) * settings.pairsMsPerMillion / PAIRS_PER_MILLION);
	if (target.record.stage === STAGES.prefill) {
		return fullSpeedMs;
	}

	const stepsMs = running > 0 ? readTokens / settings.decodePieceTokens * settings.stepMs : 0;
	return (fullSpeedMs / settings.decodeReadShare) + stepsMs;
}

function computeCopyGb({engine}: PlaceGenerationOptions, tokens: number): number {
	return tokens * engine.bytesPerToken / BYTES_PER_GB;
}

function computeCopyMs({engine, settings}: PlaceGenerationOptions, tokens: number, from: PlacedTarget, to: PlacedTarget): number {
	const bits = tokens * engine.bytesPerToken * BITS_PER_BYTE;
	const factor = from.record.availabilityZone === to.record.availabilityZone ? 1 : settings.crossZoneCopyFactor;
	return settings.copySetupMs + (factor * bits / (engine.linkMbps * BITS_PER_MS_OF_MBPS));
}

function computeSlotWait(settings: PlacementSettings, {target, running}: Candidate): number {
	return Math.max(0, running + 1 - target.record.slots) * settings.slotWaitMs;
}

function computeSlotLoss({settings}: PlaceGenerationOptions, {target, running}: Candidate): number {
	return settings.slotLoss * (((running + 1) / target.record.slots) ** 2);
}

/** Loss of a millisecond of reading at a target that generates: all that run there wait, and keep their slots the longer. */
function computeDelayLoss({delayLossPerMs}: PlacementSettings, {target, running}: Candidate): number {
	return delayLossPerMs * running * ((running / target.record.slots) ** 2);
}

function computeBodyLoss({state, demand, settings}: PlaceGenerationOptions, target: PlacedTarget): number {
	return target.record.availabilityZone === state.availabilityZone ? 0 : demand.bodyBytes / BYTES_PER_KB * settings.crossZoneLossPerKb;
}

/** Rises from nothing at half of the goal to the whole loss of lateness at the goal. */
function computeLateLoss(settings: PlacementSettings, startMs: number, goalLeftMs: number): number {
	const share = startMs / Math.max(1, goalLeftMs);
	return settings.lateLoss * Math.min(1, Math.max(0, (share - SAFE_SHARE_OF_GOAL) / (1 - SAFE_SHARE_OF_GOAL)));
}
