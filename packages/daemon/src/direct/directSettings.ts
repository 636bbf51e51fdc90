import {z} from 'zod';
import {
	DEFAULT_PLACEMENT_SETTINGS, type PlacementSettings, SPEED_LEARNING_MODES, SPREAD_MODES,
} from '@damaskspool/core';

const nonNegativeNumber = z.number().nonnegative();

const placementShape = Object.fromEntries(Object.entries(DEFAULT_PLACEMENT_SETTINGS).map(([name, value]) =>
	[name, nonNegativeNumber.default(value)])) as unknown as Record<keyof PlacementSettings, z.ZodDefault<z.ZodNumber>>;

/** Settings of an entry that operators choose. All other settings come from the platform's file. */
export const directSettingsSchema = z.strictObject({
	/** Parameters of placement; see `PlacementSettings`. */
	placement: z.strictObject(placementShape).prefault({}),
	/** Whether speeds of targets are learned, with calls refused by them: `auto` for services whose targets state how long their work takes. */
	learnedSpeeds: z.enum(SPEED_LEARNING_MODES).default(SPEED_LEARNING_MODES.off),
	/** Whether choices are spread over targets for which reports of other entries are old: `auto` only for services with learned speeds. */
	evenLoad: z.enum(SPREAD_MODES).default(SPREAD_MODES.auto),
	/** Number of targets of each engine service to keep in stage `prefill`. If omitted, stages are not changed. */
	prefillTargets: z.number().int().nonnegative().optional(),
});

/** See {@link directSettingsSchema}. */
export type DirectSettings = z.infer<typeof directSettingsSchema>;
