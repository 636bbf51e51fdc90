/** HTTP header names used between caller, entry, sidecar and target. All lower case, as node:http delivers them. */
export const HEADERS = {
	/** Identifier of the caller's request; each hop echoes it, so that a crossed answer is found. */
	requestId: 'x-damaskspool-request-id',
	/** Identifier of one attempt of a request at one target. */
	attemptId: 'x-damaskspool-attempt-id',
	/** Customer for whom the request runs. */
	customerId: 'x-damaskspool-customer',
	/** Share of the customer in fair queueing. */
	weight: 'x-damaskspool-weight',
	/** Service that the request asks for. */
	serviceId: 'x-damaskspool-service',
	/** `interactive` or `batch`. */
	priority: 'x-damaskspool-priority',
	/** Milliseconds left for the whole answer, counted from when the request was sent. */
	remainingMs: 'x-damaskspool-remaining-ms',
	/** Prompt tokens, as sized by the entry. */
	promptTokens: 'x-damaskspool-prompt-tokens',
	/** Prompt tokens that are expected not to be in the target's prefix cache. */
	prefillTokens: 'x-damaskspool-prefill-tokens',
	/** Most tokens that may be generated. */
	maxTokens: 'x-damaskspool-max-tokens',
	/** Digest of customer, service and body, by which a request that crashes targets is known again. */
	fingerprint: 'x-damaskspool-fingerprint',
	/** One of OUTCOMES. */
	outcome: 'x-damaskspool-outcome',
	/** Error code of a refusal, one of ERROR_CODES. */
	errorCode: 'x-damaskspool-error',
	/** Load report of a target, as JSON, on each answer of its sidecar. */
	load: 'x-damaskspool-load',
	/** Usage ledger, sequence number and window of an attempt, as `ledger;sequence;window`. */
	usage: 'x-damaskspool-usage',
	/** Identifier of the entry instance that sent an attempt. */
	entryId: 'x-damaskspool-entry',
	/** Repeated sends of one call that may not be repeated carry the same value. */
	idempotencyKey: 'idempotency-key',
	/** Standard SSE header: the last event that the caller already has. */
	lastEventId: 'last-event-id',
} as const;
