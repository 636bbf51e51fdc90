import {z} from 'zod';
import {DEFAULT_PLACEMENT_SETTINGS, type PlacementSettings} from '@damaskspool/core';

const nonNegativeNumber = z.number().nonnegative();

const placementShape = Object.fromEntries(Object.entries(DEFAULT_PLACEMENT_SETTINGS).map(([name, value]) =>
	[name, nonNegativeNumber.default(value)])) as unknown as Record<keyof PlacementSettings, z.ZodDefault<z.ZodNumber>>;

/** Settings of an entry that are the operators' own to choose; the platform's file holds the rest. */
export const directSettingsSchema = z.strictObject({
	/** Figures that placement weighs; see `PlacementSettings`. */
	placement: z.strictObject(placementShape).prefault({}),
	/** Targets of an engine service that are kept in stage `prefill`; left out, stages stay as they are. */
	prefillTargets: z.number().int().nonnegative().optional(),
});

/** See {@link directSettingsSchema}. */
export type DirectSettings = z.infer<typeof directSettingsSchema>;
