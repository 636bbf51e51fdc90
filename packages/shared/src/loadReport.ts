import {z} from 'zod';
import {createListSchema} from './createListSchema.js';

/** See {@link CacheEvent}. */
export const cacheEventSchema = z.object({
	/** Increases by one with each event of a target. A gap means that events were lost. */
	sequence: z.number().int(),
	kind: z.enum(['stored', 'evicted']),
	/** Prefix hash, as computed by {@link hashPrefixes}. */
	hash: z.string(),
});

/** Change of a target's prefix cache: a prefix was stored or evicted. */
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/**
 * Schema of a target's load report. The sidecar sends it with each response and on request.
 * KV cache space is counted in blocks ("pieces" in field names) of {@link TOKENS_PER_KV_BLOCK} tokens.
 */
export const loadReportSchema = z.object({
	targetId: z.string(),
	/** Role of the target. Determines the share of each batch that is used for prefill. */
	role: z.enum(['mixed', 'prefill', 'decode']),
	/** Lifecycle state of the target. See docs/GLOSSARY.md. */
	state: z.enum(['starting', 'loading', 'serving', 'draining', 'changingRole', 'leaving', 'gone']),
	/** Models that the target offers, as `model`, `model:adapter` or `model:adapter@version`. */
	models: createListSchema(z.string()),
	/** Number of running requests. */
	running: z.number().int().nonnegative(),
	/** Number of queued requests. */
	waiting: z.number().int().nonnegative(),
	/** Prompt tokens that still need prefill. */
	queuedPrefillTokens: z.number().nonnegative(),
	/** Free KV cache blocks. */
	freePieces: z.number().nonnegative(),
	/** Total KV cache blocks. */
	totalPieces: z.number().nonnegative(),
	/** Prompt tokens prefilled since the sidecar started, without cached tokens. */
	prefillTokensTotal: z.number().nonnegative(),
	/** Tokens generated since the sidecar started. */
	generatedTokensTotal: z.number().nonnegative(),
	/** Milliseconds since the target reported these values to its sidecar. */
	ageMs: z.number().nonnegative(),
	/** Prefix cache changes after the sequence number that the requester gave. Absent in reports that are sent with responses. */
	cacheEvents: createListSchema(cacheEventSchema).optional(),
});

/** See {@link loadReportSchema}. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Role of a model engine. */
export type TargetRole = LoadReport['role'];
/** Lifecycle state of a target. */
export type TargetState = LoadReport['state'];
