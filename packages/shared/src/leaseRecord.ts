import {z} from 'zod';

/** Key prefix of lease objects in the object API. The duty name follows the prefix. */
export const LEASE_KEY_PREFIX = 'lease/';

/** Schema of a lease object. It contains no timestamp: other processes judge its age by when they saw its version change. */
export const leaseRecordSchema = z.object({
	/** Identifier of the instance that holds the duty. */
	holder: z.string(),
	/** Fencing token. Increases when the holder changes, and when a holder whose lease expired acquires it again. */
	epoch: z.number().int().positive(),
	/** Unique for each write. After a lost reply, the writer compares it to find out whether its write succeeded. */
	nonce: z.string(),
	/** Term of the lease in milliseconds. Zero after the holder released the duty. */
	durationMs: z.number().nonnegative(),
});

/** See {@link leaseRecordSchema}. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;
