/** Claims of calls that may not be repeated: what entries tell each other, and what lies in the object API. */
import {z} from 'zod';

/** A whole answer, kept to be given again. */
export const storedResponseSchema = z.strictObject({
	status: z.number().int(),
	contentType: z.string(),
	/** Base64. */
	body: z.string(),
});

/** See {@link storedResponseSchema}. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;

/** One line of a claim log. The last line of a claim says how it stands. */
export const claimRecordSchema = z.strictObject({
	claimId: z.string().length(64),
	/** Request for which the call runs or ran. */
	requestId: z.string(),
	/** Digest of the body; a re-send with another body is another call. */
	bodyDigest: z.string(),
	/** `begun`: a target may have run it. `released`: certainly not run. `finished`: ran, with a whole answer. */
	status: z.enum(['begun', 'released', 'finished']),
	/** Left out where the answer is too large to be kept. */
	answer: storedResponseSchema.optional(),
});

/** See {@link claimRecordSchema}. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** One object of a claim log: many records under one write. */
export const claimSegmentSchema = z.strictObject({
	/** Differs in each segment that was ever tried, so that a writer knows its own after a lost reply. */
	nonce: z.string(),
	records: z.array(claimRecordSchema),
});

/** See {@link claimSegmentSchema}. */
export type ClaimSegment = z.infer<typeof claimSegmentSchema>;

/** What an owner answers. */
export const claimVerdictSchema = z.discriminatedUnion('type', [
	/** Recorded: the asker, and nobody else, may run the call; or its settlement is recorded. */
	z.strictObject({type: z.literal('granted')}),
	/** Under way, or ended without a known answer. */
	z.strictObject({type: z.literal('duplicate')}),
	z.strictObject({type: z.literal('answered'), answer: storedResponseSchema}),
	/** The store or the owner does not answer, so nothing may run. */
	z.strictObject({type: z.literal('unavailable')}),
]);

/** See {@link claimVerdictSchema}. */
export type ClaimVerdict = z.infer<typeof claimVerdictSchema>;

/** Prefix of claim logs in the object API. */
const CLAIM_KEY_PREFIX = 'claims';
/** Digits of a sequence number in a key, so that keys sort by it. */
const SEQUENCE_DIGITS = 12;

/**
 * Formats the prefix of a shard's log.
 *
 * @param shard - number of the shard
 * @returns prefix of its keys
 */
export function formatClaimPrefix(shard: number): string {
	return `${CLAIM_KEY_PREFIX}/${shard}/`;
}

/**
 * Formats the key of a segment.
 *
 * @param shard - number of the shard
 * @param sequence - place of the segment in the log
 * @returns key in the object API
 */
export function formatSegmentKey(shard: number, sequence: number): string {
	return `${formatClaimPrefix(shard)}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/**
 * Parses the place of a segment from its key.
 *
 * @param key - key of a segment
 * @returns its sequence number
 */
export function parseSegmentSequence(key: string): number {
	return Number(key.slice(-SEQUENCE_DIGITS));
}
