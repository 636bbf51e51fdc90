import {z} from 'zod';

/** Prefix of lease objects in the object API; the name of the duty follows. */
export const LEASE_KEY_PREFIX = 'lease/';

/** What a lease object holds. Only its version, never a time in it, tells how old it is. */
export const leaseRecordSchema = z.object({
	/** Instance that holds the duty. */
	holder: z.string(),
	/** Fencing number: rises with each change of holder, and when a lapsed holder takes the duty anew. */
	epoch: z.number().int().positive(),
	/** Differs in each write, so that a writer knows its own write again after a lost reply. */
	nonce: z.string(),
	/** Term that the holder asked for; zero once it gave the duty up. */
	durationMs: z.number().nonnegative(),
});

/** See {@link leaseRecordSchema}. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;
