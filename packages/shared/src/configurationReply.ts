import {z} from 'zod';
import {configurationUpdateSchema} from './configurationHead.js';

/** Schema of an entry's request for a peer's configuration status. */
export const configurationRequestSchema = z.strictObject({
	/** Instance of the requesting entry. */
	instanceId: z.string(),
	/** Revision that the requester holds. */
	revision: z.number().int().nonnegative(),
});

/** See {@link configurationRequestSchema}. */
export type ConfigurationRequest = z.infer<typeof configurationRequestSchema>;

/** Schema of the reply: the peer's configuration status. Ages are measured on the peer's clock when it replies. */
export const configurationReplySchema = z.strictObject({
	/** Instance of the replying entry. */
	instanceId: z.string(),
	/** Revision that the replying entry holds. */
	revision: z.number().int().nonnegative(),
	/** Milliseconds since the revision was last confirmed as the latest. Absent if it never was. */
	confirmedAgeMs: z.number().nonnegative().optional(),
	/** Milliseconds since the start of the last call to the store. Present only if that call failed. */
	storeSilentAgeMs: z.number().nonnegative().optional(),
	/** Parts of the configuration that the requester lacks. */
	update: configurationUpdateSchema.optional(),
});

/** See {@link configurationReplySchema}. */
export type ConfigurationReply = z.infer<typeof configurationReplySchema>;
