import {z} from 'zod';
import {configurationUpdateSchema} from './configurationHead.js';

/** What an entry says when it asks a peer for its configuration. */
export const configurationRequestSchema = z.strictObject({
	instanceId: z.string(),
	/** Revision that the asker has. */
	revision: z.number().int().nonnegative(),
});

/** See {@link configurationRequestSchema}. */
export type ConfigurationRequest = z.infer<typeof configurationRequestSchema>;

/** What an entry knows of the configuration. Ages are durations on its own clock, up to when it answered. */
export const configurationReplySchema = z.strictObject({
	instanceId: z.string(),
	revision: z.number().int().nonnegative(),
	/** Since its revision was confirmed to be the latest; left out where it never was. */
	confirmedAgeMs: z.number().nonnegative().optional(),
	/** Since it began its latest call of the store, where that call failed. */
	storeSilentAgeMs: z.number().nonnegative().optional(),
	/** What the asker lacks. */
	update: configurationUpdateSchema.optional(),
});

/** See {@link configurationReplySchema}. */
export type ConfigurationReply = z.infer<typeof configurationReplySchema>;
