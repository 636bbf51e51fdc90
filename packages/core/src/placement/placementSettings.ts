/** Parameters and cost weights of placement. A cost of 1 is the full value of one request. */
export type PlacementSettings = {
	/** Prefill speed of a target in stage `prefill`, in tokens per millisecond. */
	readonly readTokensPerMs: number;
	/** Prefill speed of a target in stage `decode`, as a share of `readTokensPerMs`. */
	readonly decodeReadShare: number;
	/** Attention time during prefill, in milliseconds per million pairs of a token with an earlier one. */
	readonly pairsMsPerMillion: number;
	/** Time from sending a fully cached prompt to its first event. */
	readonly firstEventMs: number;
	/** Tokens of a prefill chunk on a target in stage `decode`, which runs one decode step after each chunk. */
	readonly decodePieceTokens: number;
	/** Duration of one decode step. */
	readonly stepMs: number;
	/** A target receives another long prompt only while its requests are below this share of its slots. The remaining slots are left to short prompts. */
	readonly longSlotShare: number;
	/** Share of a slot on the decode target that counts as taken while another target prefills the prompt. */
	readonly reservedSlotShare: number;
	/** Steps on a target's priority scale between two priorities of routes. At zero, no request preempts another. */
	readonly rankStep: number;
	/** Delay of the first event caused by disaggregated prefill, in addition to prefill and KV cache copy. */
	readonly handoverMs: number;
	/** Time before a copy of KV cache begins. */
	readonly copySetupMs: number;
	/** Duration of a KV cache copy between zones, as a multiple of the duration within a zone. */
	readonly crossZoneCopyFactor: number;
	/** Wait for a slot, per request that exceeds the slots of a target. */
	readonly slotWaitMs: number;
	/** Cost of a response that misses its latency objective. */
	readonly lateLoss: number;
	/** Cost of one millisecond of prefill, for which other requests wait. Half of it is the cost of one millisecond until the first event. */
	readonly readLossPerMs: number;
	/** Cost of one millisecond by which prefill delays one running request on a decode target whose slots are all taken. */
	readonly delayLossPerMs: number;
	/** Cost of one kilobyte of request body sent to another zone. */
	readonly crossZoneLossPerKb: number;
	/** Cost of one gigabyte of KV cache copied. */
	readonly copyLossPerGb: number;
	/** Cost of taking the last free slot of a target. The cost of a slot grows with the square of the target's occupancy. */
	readonly slotLoss: number;
	/** A request is refused if its expected time to the first event, without its own prefill, exceeds this multiple of its latency objective. */
	readonly refuseAtGoals: number;
	/** The same multiple for a request that comes again. It is late already, and its caller may not come a third time. */
	readonly refuseReturnedAtGoals: number;
	/** The same multiple for a stream that goes on after its first events. Its caller waits longer for the next event than for the first, and what it has would be lost. */
	readonly refuseResumedAtGoals: number;
	/** Minimum retry-after of a refused request, as a share of the time to its deadline. Short-term changes of the traffic mix have passed by then. */
	readonly returnShare: number;
	/** Maximum jitter added to the retry-after, as a share of the time to the deadline, so that refused callers do not all return at once. */
	readonly returnSpreadShare: number;
	/** Prompts with more tokens than this are long and may use disaggregated prefill. Also the minimum size of a shared prefix that is tracked or fetched. */
	readonly longReadTokens: number;
};

/** Defaults that follow the engine data and prices given for both deployments. */
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
	refuseReturnedAtGoals: 1.3,
	refuseResumedAtGoals: 4,
	returnShare: 0.22,
	returnSpreadShare: 0.1,
	longReadTokens: 1500,
};
