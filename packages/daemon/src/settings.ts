import {ROUTING_POLICY_NAMES} from '@damaskspool/core';
import {
	addressSchema, durationSchema, LOG_LEVELS, sizeSchema,
} from '@damaskspool/runtime';
import {MEBIBYTE_BYTES, MINUTE_MS, SECOND_MS} from '@damaskspool/shared';
import {z} from 'zod';

const commonSettings = {
	instanceId: z.string().min(1),
	region: z.string().min(1),
	availabilityZone: z.string().min(1),
	/** Object API and other services of the platform. */
	platform: addressSchema,
	logLevel: z.enum(LOG_LEVELS).default('info'),
	/** Longest time for which a stop waits for streams to finish. */
	drainLimit: durationSchema.default(60 * SECOND_MS),
};

/** Settings of an entry. */
export const entrySettingsSchema = z.strictObject({
	role: z.literal('entry'),
	...commonSettings,
	/** Address for callers. */
	listen: addressSchema,
	/** Address for peers and operators. */
	control: addressSchema,
	/** Largest body that is read at all; routes set lower limits. */
	bodyLimit: sizeSchema.default(16 * MEBIBYTE_BYTES),
	/** Span of time for which usage is reported once. */
	usageWindow: durationSchema.default(15 * MINUTE_MS),
	/** Wait after a window's end for usage that is still on its way. */
	usageGrace: durationSchema.default(3 * MINUTE_MS),
	/** Price of a target for an hour, in whatever currency reports are read. */
	targetPricePerHour: z.number().nonnegative().default(1),
	/** Time between writes of metered usage: what is lost where an entry and a sidecar are lost together. */
	usageFlushInterval: durationSchema.default(MINUTE_MS),
	/** Time between reads of configuration and instance list. */
	pollInterval: durationSchema.default(SECOND_MS),
	/** How targets are chosen; others than the default are there for experiments. */
	routingPolicy: z.enum(ROUTING_POLICY_NAMES).default('expectedTime'),
	/** Whether the fleet duty plans role changes, starts and stops by itself. */
	fleetPlanner: z.enum(['on', 'off']).default('on'),
});

/** Settings of a sidecar. */
export const sidecarSettingsSchema = z.strictObject({
	role: z.literal('sidecar'),
	...commonSettings,
	/** Address for entries. */
	listen: addressSchema,
	/** Address of the target beside this process. */
	target: addressSchema,
	targetKind: z.enum(['engine', 'plain']),
	/** Requests that run at the target at once. */
	concurrency: z.number().int().positive(),
	/** Memory of an engine in pieces of 1,000 tokens; 0 for a plain service. */
	pieces: z.number().int().nonnegative().default(0),
	/** Requests that wait at most. */
	queueLimit: z.number().int().nonnegative().default(64),
	/** Wait for an entry to store the usage of an attempt before the sidecar does. */
	usageOrphanAfter: durationSchema.default(5 * MINUTE_MS),
	/** Time between reads of the target's own report. */
	reportInterval: durationSchema.default(250),
});

/** Settings of either role; the role is the first thing checked. */
export const settingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, sidecarSettingsSchema]);

/** See {@link entrySettingsSchema}. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
/** See {@link sidecarSettingsSchema}. */
export type SidecarSettings = z.output<typeof sidecarSettingsSchema>;
