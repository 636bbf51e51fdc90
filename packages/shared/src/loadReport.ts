import {z} from 'zod';

/** See {@link CacheEvent}. */
export const cacheEventSchema = z.object({
	/** Rises by one with each event of a target; a jump tells of lost events. */
	sequence: z.number().int(),
	kind: z.enum(['stored', 'evicted']),
	/** Hash of a prefix, as of {@link hashPrefixes}. */
	hash: z.string(),
});

/** A change of a target's prefix cache. */
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/**
 * What a sidecar reports of its target, on each answer and between answers.
 * Tokens and pieces are counts; a piece is TOKENS_PER_MEMORY_PIECE tokens of KV cache.
 */
export const loadReportSchema = z.object({
	targetId: z.string(),
	/** Role of the target: what share of the batch it gives to prefill. */
	role: z.enum(['mixed', 'prefill', 'decode']),
	/** Life of the target, as in docs/GLOSSARY.md. */
	state: z.enum(['starting', 'loading', 'serving', 'draining', 'changingRole', 'leaving', 'gone']),
	models: z.array(z.string()),
	running: z.number().int().nonnegative(),
	waiting: z.number().int().nonnegative(),
	queuedPrefillTokens: z.number().nonnegative(),
	freePieces: z.number().nonnegative(),
	totalPieces: z.number().nonnegative(),
	/** Prompt tokens worked through since the sidecar started; cached ones are left out. */
	prefillTokensTotal: z.number().nonnegative(),
	/** Tokens generated since the sidecar started. */
	generatedTokensTotal: z.number().nonnegative(),
	/** Milliseconds since the target itself reported the figures. */
	ageMs: z.number().nonnegative(),
	/** Changes of the prefix cache since those that the reader named; absent in reports that come with answers. */
	cacheEvents: z.array(cacheEventSchema).optional(),
});

/** See {@link loadReportSchema}. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Role of a model engine. */
export type TargetRole = LoadReport['role'];
/** Life state of a target. */
export type TargetState = LoadReport['state'];
