/** Names of the HTTP headers used between callers, entries, sidecars and targets. Lower case, as node:http delivers them. */
export const HEADERS = {
	/** Identifier of the caller's request. Each hop echoes it, which detects a response that belongs to another request. */
	requestId: 'x-damaskspool-request-id',
	/** Identifier of an attempt: one request sent to one target. */
	attemptId: 'x-damaskspool-attempt-id',
	/** Identifier of the customer that sent the request. */
	customerId: 'x-damaskspool-customer',
	/** Weight of the customer in fair queueing. */
	weight: 'x-damaskspool-weight',
	/** Identifier of the requested service. */
	serviceId: 'x-damaskspool-service',
	/** `interactive` or `batch`. */
	priority: 'x-damaskspool-priority',
	/** Milliseconds from the sending of the attempt until the response must be complete. */
	remainingMs: 'x-damaskspool-remaining-ms',
	/** Number of prompt tokens, as estimated by the entry. */
	promptTokens: 'x-damaskspool-prompt-tokens',
	/** Number of prompt tokens that the entry expects to be missing from the target's prefix cache. */
	prefillTokens: 'x-damaskspool-prefill-tokens',
	/** Maximum number of tokens to generate. */
	maxTokens: 'x-damaskspool-max-tokens',
	/** Digest of customer, service and body. Used to recognise a request that crashes targets. */
	fingerprint: 'x-damaskspool-fingerprint',
	/** Outcome of the request, one of OUTCOMES. */
	outcome: 'x-damaskspool-outcome',
	/** Error code of a refusal, one of ERROR_CODES. */
	errorCode: 'x-damaskspool-error',
	/** Load report of a target as JSON. The sidecar adds it to each response. */
	load: 'x-damaskspool-load',
	/** Usage ledger, sequence number and window start (epoch milliseconds) of an attempt, as `ledger;sequence;window`. */
	usage: 'x-damaskspool-usage',
	/** Identifier of the entry instance that sent the attempt. */
	entryId: 'x-damaskspool-entry',
	/** Idempotency key of a non-repeatable call. All sends of the same call carry the same value. */
	idempotencyKey: 'idempotency-key',
	/** Standard SSE header: identifier of the last event that the caller received. */
	lastEventId: 'last-event-id',
} as const;
