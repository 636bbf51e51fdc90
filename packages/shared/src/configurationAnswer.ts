import {z} from 'zod';
import {configurationUpdateSchema} from './configurationHead.js';

/** What an entry says when it asks a peer for its configuration. */
export const configurationQuestionSchema = z.strictObject({
	instanceId: z.string(),
	/** Revision that the asker has. */
	revision: z.number().int().nonnegative(),
});

/** See {@link configurationQuestionSchema}. */
export type ConfigurationQuestion = z.infer<typeof configurationQuestionSchema>;

/** What an entry knows of the configuration. Ages are durations on its own clock, up to when it answered. */
export const configurationAnswerSchema = z.strictObject({
	instanceId: z.string(),
	revision: z.number().int().nonnegative(),
	/** Since its revision was confirmed to be the latest; left out where it never was. */
	confirmedAgeMs: z.number().nonnegative().optional(),
	/** Since it began its latest call of the store, where that call failed. */
	storeSilentAgeMs: z.number().nonnegative().optional(),
	/** What the asker lacks. */
	update: configurationUpdateSchema.optional(),
});

/** See {@link configurationAnswerSchema}. */
export type ConfigurationAnswer = z.infer<typeof configurationAnswerSchema>;
