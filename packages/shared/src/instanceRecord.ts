import {z} from 'zod';

/** Schema of an item in the platform's list of instances. The list lags behind the actual state. */
export const instanceRecordSchema = z.object({
	instanceId: z.string(),
	kind: z.enum(['entry', 'target']),
	availabilityZone: z.string(),
	region: z.string(),
	/** `ip:port` of the entry, or of the sidecar beside the target. */
	address: z.string(),
	state: z.enum(['live', 'leaving']),
	/** Service that the target serves. Empty for an entry. */
	serviceId: z.string(),
	/** Increases each time the instance is restarted. */
	incarnation: z.number().int().nonnegative(),
});

/** See {@link instanceRecordSchema}. */
export type InstanceRecord = z.infer<typeof instanceRecordSchema>;
