/** Figures that the placement of requests weighs. A loss of 1 is the whole value of a request. */
export type PlacementSettings = {
	/** Tokens a millisecond that a target reads in stage `prefill`. */
	readonly readTokensPerMs: number;
	/** Share of that speed at which a target in stage `decode` reads. */
	readonly decodeReadShare: number;
	/** Reading time for a million pairs of a token with one before it. */
	readonly pairsMsPerMillion: number;
	/** Time from the send of a prompt that is wholly cached to its first event. */
	readonly firstEventMs: number;
	/** Tokens that a target in stage `decode` reads between two steps of its generation. */
	readonly decodePieceTokens: number;
	/** Time of one step of generation, which a piece waits for. */
	readonly stepMs: number;
	/** Requests, as a share of a target's slots, below which it is given one more long prompt; short ones take what is left. */
	readonly longSlotShare: number;
	/** Part of a slot that is counted as taken while its prompt is still read elsewhere. */
	readonly reservedSlotShare: number;
	/** Steps of a target's own rank between two priorities of routes; zero lets no request preempt another. */
	readonly rankStep: number;
	/** Time that a second target adds to the start, besides reading and copying. */
	readonly handoverMs: number;
	/** Time before a copy of KV cache begins. */
	readonly copySetupMs: number;
	/** How much longer a copy between zones takes. */
	readonly crossZoneCopyFactor: number;
	/** Time that one request beyond the slots waits for one. */
	readonly slotWaitMs: number;
	/** Loss of an answer that comes after its goal. */
	readonly lateLoss: number;
	/** Loss of a millisecond of reading, which other requests then wait for. */
	readonly readLossPerMs: number;
	/** Loss of a millisecond by which reading delays one request that generates at a target whose slots are all taken. */
	readonly delayLossPerMs: number;
	/** Loss of a kilobyte of request body between zones. */
	readonly crossZoneLossPerKb: number;
	/** Loss of a gigabyte of KV cache copied. */
	readonly copyLossPerGb: number;
	/** Loss of a slot that is taken at a target whose slots are all taken but one. */
	readonly slotLoss: number;
	/** A request is refused when its answer would begin later than this multiple of its goal. */
	readonly refuseAtGoals: number;
	/** Earliest return that a refused caller is told, as a share of the time left; beyond the swings of the mix. */
	readonly returnShare: number;
	/** Width of the interval over which refused callers return, as a share of the time left, so that they do not come at once. */
	readonly returnSpreadShare: number;
	/** Prompts with more tokens to read than this may be read apart from their generation. */
	readonly longReadTokens: number;
};

/** Figures of the engines and prices in the sheets of both deployments. */
export const DEFAULT_PLACEMENT_SETTINGS: PlacementSettings = {
	readTokensPerMs: 157,
	decodeReadShare: 0.5,
	pairsMsPerMillion: 0.109,
	firstEventMs: 34,
	decodePieceTokens: 256,
	stepMs: 3.8,
	longSlotShare: 0.95,
	reservedSlotShare: 0.3,
	rankStep: 2,
	handoverMs: 60,
	copySetupMs: 8,
	crossZoneCopyFactor: 2,
	slotWaitMs: 30,
	lateLoss: 0.7,
	readLossPerMs: 0.002,
	delayLossPerMs: 0.0005,
	crossZoneLossPerKb: 0.012,
	copyLossPerGb: 0.08,
	slotLoss: 0.05,
	refuseAtGoals: 1.3,
	returnShare: 0.22,
	returnSpreadShare: 0.1,
	longReadTokens: 1500,
};
