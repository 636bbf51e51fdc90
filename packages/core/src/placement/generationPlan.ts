/** Data of the placement of generations: what is to be placed, the targets that may be chosen, and the plan. */
import {type EngineRecord, type PromptPart, type PromptRecord} from '../serving/servingRecords.js';
import {type PlacementSettings} from './placementSettings.js';
import {type PlacedTarget, type PlacementState} from './placementState.js';
import {type SpreadRank} from './spreadChoice.js';
import {type AttemptExpectation, type SpeedEstimate} from './targetSpeed.js';

/** The targets chosen for a generation, and the estimates behind the choice. */
export type GenerationPlan = {
	/** Decodes, and also prefills the prompt if `prefillTarget` is undefined. */
	readonly decodeTarget: PlacedTarget;
	/** Prefills the prompt, after which `decodeTarget` fetches its KV cache. */
	readonly prefillTarget: PlacedTarget | undefined;
	/** Target from which the prefilling target fetches the KV cache of shared parts. */
	readonly cacheSource: PlacedTarget | undefined;
	/** Duration of the prefill. */
	readonly prefillMs: number;
	/** Part of `prefillMs` that goes before other prefills; see `TargetWork.urgentPrefillMs`. */
	readonly urgentPrefillMs: number;
	/** Duration of all KV cache copies before the first event. */
	readonly copyMs: number;
	/** Part of `copyMs` after the prefill. */
	readonly handoverCopyMs: number;
	/** Wait before the prefill begins: for prompts ahead in the queue, or for a busy link. */
	readonly backlogMs: number;
	/** Prompt tokens that need no prefill because their KV cache is present or can be fetched. */
	readonly cachedTokens: number;
	readonly isLong: boolean;
	/** Whether the wait before the prefill leaves time to meet the latency objective. */
	readonly isTimely: boolean;
	readonly expectedFirstEventMs: number;
	/** What is expected of the first attempt, at the target that prefills. */
	readonly expectation: AttemptExpectation;
	/** Weighted sum of all costs. The plan with the lowest cost is chosen. */
	readonly cost: number;
	/** Only if choices among the targets of the service are spread. */
	readonly spread?: SpreadRank;
};

/** The generation to place. */
export type GenerationDemand = {
	readonly serviceId: string;
	readonly prompt: PromptRecord;
	readonly bodyBytes: number;
	/** Remaining time until the latency objective. */
	readonly goalRemainingMs: number;
	/** Targets that already refused or failed this request. */
	readonly excludedTargetIds: ReadonlySet<string>;
	/** Software version of the target that decodes, if only one will do. */
	readonly softwareVersion?: string | undefined;
};

/** Options of {@link placeGeneration}. */
export type PlaceGenerationOptions = {
	readonly state: PlacementState;
	readonly demand: GenerationDemand;
	readonly engine: EngineRecord;
	readonly settings: PlacementSettings;
	readonly nowMs: number;
};

/** Where the shared parts of a prompt are cached. Looked up once for a choice. */
export type CachedParts = {
	readonly shared: readonly PromptPart[];
	readonly sharedTokens: number;
	/** Known targets that have the last shared part cached, with the leading tokens that each has cached. */
	readonly locations: ReadonlyArray<{readonly target: PlacedTarget; readonly tokens: number}>;
};

/** What all plans of a generation have in common. */
export type PlanContext = PlaceGenerationOptions & {readonly cachedParts: CachedParts};

/** A target that may be chosen for a generation, with its current load. */
export type Candidate = {
	readonly target: PlacedTarget;
	readonly running: number;
	/** Wait before the target begins to prefill this prompt. */
	readonly backlogMs: number;
	/** Further wait at a target that only prefills, if the prompt misses its objective and goes last. */
	readonly lateBacklogMs: number;
	/** Wait before the link of the target is free. */
	readonly linkBusyMs: number;
	readonly speed: SpeedEstimate;
};

/** A plan with the candidates that it was made for. */
export type CandidatePlan = {readonly plan: GenerationPlan; readonly prefillCandidate: Candidate; readonly decodeCandidate: Candidate | undefined};
