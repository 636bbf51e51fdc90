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
	/** Maximum time for which a stop waits for streams to finish. */
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
	/** Maximum request body size on any route; routes may set lower limits. */
	bodyLimit: sizeSchema.default(16 * MEBIBYTE_BYTES),
	/** Length of a usage window. Usage is reported once for each window. */
	usageWindow: durationSchema.default(15 * MINUTE_MS),
	/** Wait after the end of a window for usage that has not arrived yet. */
	usageGrace: durationSchema.default(3 * MINUTE_MS),
	/** Price of a target per hour, in any currency; reports use the same currency. */
	targetPricePerHour: z.number().nonnegative().default(1),
	/** Interval between writes of metered usage. If an entry and a sidecar fail together, the usage since the last write is lost. */
	usageFlushInterval: durationSchema.default(MINUTE_MS),
	/** Interval between reads of the configuration and the instance list. */
	pollInterval: durationSchema.default(SECOND_MS),
	/** Policy that chooses targets. Policies other than the default are for experiments. */
	routingPolicy: z.enum(ROUTING_POLICY_NAMES).default('expectedTime'),
	/** Whether the holder of the fleet duty plans role changes, starts and stops of targets. */
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
	/** Maximum number of requests that run on the target at the same time. */
	concurrency: z.number().int().positive(),
	/** KV cache size of an engine in blocks of 1,000 tokens; 0 for a plain service. */
	pieces: z.number().int().nonnegative().default(0),
	/** Maximum number of queued requests. */
	queueLimit: z.number().int().nonnegative().default(64),
	/** Time after which the sidecar stores the usage of an attempt if no entry has stored it. */
	usageOrphanAfter: durationSchema.default(5 * MINUTE_MS),
	/** Interval between reads of the target's status report. */
	reportInterval: durationSchema.default(250),
});

/** Settings of either role, discriminated by `role`. */
export const settingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, sidecarSettingsSchema]);

/** See {@link entrySettingsSchema}. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
/** See {@link sidecarSettingsSchema}. */
export type SidecarSettings = z.output<typeof sidecarSettingsSchema>;
