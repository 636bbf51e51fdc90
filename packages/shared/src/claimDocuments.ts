/** Claims (idempotency records) of non-repeatable calls: messages between entries, and documents in the object API. */
import {z} from 'zod';
import {createListSchema} from './createListSchema.js';

/** Schema of a complete response that is stored and replayed when the call is sent again. */
export const storedResponseSchema = z.strictObject({
	/** HTTP status code. */
	status: z.number().int(),
	contentType: z.string(),
	/** Body, base64-encoded. */
	body: z.string(),
});

/** See {@link storedResponseSchema}. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;

/** Schema of one record of a claim log. The last record of a claim holds its current state. */
export const claimRecordSchema = z.strictObject({
	/** SHA-256 digest that identifies the claim, as 64 hexadecimal digits. */
	claimId: z.string().length(64),
	/** Request that made the claim. Only this request may settle it. */
	requestId: z.string(),
	/** Digest of the request body. A call with the same idempotency key and another body is refused as a duplicate. */
	bodyDigest: z.string(),
	/** `begun`: a target may have run the call. `released`: no target ran the call. `finished`: a target ran the call and returned a complete response. */
	status: z.enum(['begun', 'released', 'finished']),
	/** Response of a finished call. Absent if it is too large to store. */
	answer: storedResponseSchema.optional(),
});

/** See {@link claimRecordSchema}. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** Schema of a segment of a claim log: one object that holds a batch of records. */
export const claimSegmentSchema = z.strictObject({
	/** Unique for each attempted segment. After a lost reply, the writer compares it to find out whether its write succeeded. */
	nonce: z.string(),
	records: createListSchema(claimRecordSchema),
});

/** See {@link claimSegmentSchema}. */
export type ClaimSegment = z.infer<typeof claimSegmentSchema>;

/** Schema of the reply of a claim shard's owner. */
export const claimVerdictSchema = z.discriminatedUnion('type', [
	/** The claim is recorded and only the requester may run the call, or the settlement of the claim is recorded. */
	z.strictObject({type: z.literal('granted')}),
	/** The call is already running, ended without a stored response, or had another body. Also returned if a request settles a claim that it does not hold. */
	z.strictObject({type: z.literal('duplicate')}),
	/** The call finished earlier; the stored response is replayed. */
	z.strictObject({type: z.literal('answered'), answer: storedResponseSchema}),
	/** The object API or the owner of the shard did not reply. The call must not run. */
	z.strictObject({type: z.literal('unavailable')}),
]);

/** See {@link claimVerdictSchema}. */
export type ClaimVerdict = z.infer<typeof claimVerdictSchema>;

/** Key prefix of all claim logs in the object API. */
const CLAIM_KEY_PREFIX = 'claims';
/** Sequence numbers are zero-padded to this many digits, so that keys sort in sequence order. */
const SEQUENCE_DIGITS = 12;

/** Returns the key prefix of a shard's claim log. */
export function formatClaimPrefix(shard: number): string {
	return `${CLAIM_KEY_PREFIX}/${shard}/`;
}

/**
 * Returns the object API key of a segment.
 *
 * @param sequence - position of the segment in its shard's log
 */
export function formatSegmentKey(shard: number, sequence: number): string {
	return `${formatClaimPrefix(shard)}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/** Returns the sequence number contained in a segment's key. */
export function parseSegmentSequence(key: string): number {
	return Number(key.slice(-SEQUENCE_DIGITS));
}
