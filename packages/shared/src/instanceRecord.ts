import {z} from 'zod';

/** One row of the platform's lagging list of instances. */
export const instanceRecordSchema = z.object({
	instanceId: z.string(),
	kind: z.enum(['entry', 'target']),
	availabilityZone: z.string(),
	region: z.string(),
	/** `ip:port` of the process of the system: the entry, or the sidecar beside the target. */
	address: z.string(),
	state: z.enum(['live', 'leaving']),
	/** Service that a target runs; empty for an entry. */
	serviceId: z.string(),
	/** Rises each time the instance is started anew. */
	incarnation: z.number().int().nonnegative(),
});

/** See {@link instanceRecordSchema}. */
export type InstanceRecord = z.infer<typeof instanceRecordSchema>;
