import {z} from 'zod';
import {createListSchema} from './createListSchema.js';

/** Key prefix of fleet records in the object API. The availability zone follows the prefix. */
export const FLEET_KEY_PREFIX = 'fleet/';

/** Schema of an order's number. Orders are compared by epoch, then by sequence within the epoch. */
export const orderNumberSchema = z.object({
	epoch: z.number().int().nonnegative(),
	sequence: z.number().int().nonnegative(),
});

/** See {@link orderNumberSchema}. */
export type OrderNumber = z.infer<typeof orderNumberSchema>;

/** Schema of the desired state of a target. Orders describe states instead of steps, which makes them idempotent. */
export const desiredTargetSchema = z.object({
	role: z.enum(['mixed', 'prefill', 'decode']),
	/** Models that the target must offer, as `model`, `model:adapter` or `model:adapter@version`. */
	models: createListSchema(z.string()),
	/** Whether the target must be drained and out of service, so that the platform can stop it. */
	isLeaving: z.boolean(),
});

/** See {@link desiredTargetSchema}. */
export type DesiredTarget = z.infer<typeof desiredTargetSchema>;

/** Schema of a target's assignment: the last order that was written for the target. */
export const assignmentSchema = z.object({
	targetId: z.string(),
	serviceId: z.string(),
	/** Incarnation of the instance to which the order applies. It increases with each restart. */
	incarnation: z.number().int(),
	order: orderNumberSchema,
	desired: desiredTargetSchema,
	/** State of the order. The sidecar may still be carrying out an `open` order. */
	state: z.enum(['open', 'applied', 'failed']),
});

/** See {@link assignmentSchema}. */
export type Assignment = z.infer<typeof assignmentSchema>;

/** Schema of an intent: a platform call that starts or stops a target, recorded before the call is made. */
export const intentSchema = z.object({
	/** Idempotency key of the call. A new duty holder repeats the call with the same key. */
	key: z.string(),
	action: z.enum(['start', 'stop']),
	serviceId: z.string(),
	/** Target to stop, or target that the started one replaces. Empty if an additional target is started. */
	targetId: z.string(),
});

/** See {@link intentSchema}. */
export type Intent = z.infer<typeof intentSchema>;

/**
 * Schema of all orders of one availability zone. They are stored in a single
 * object: the first write of a new duty holder under its epoch fences off all
 * late writes of the previous holder.
 */
export const fleetRecordSchema = z.object({
	/** Epoch of the duty holder that wrote the record. */
	epoch: z.number().int().nonnegative(),
	/** Unique for each write. After a lost reply, the writer compares it to find out whether its write succeeded. */
	nonce: z.string(),
	/** Sequence number of the last order in this epoch. */
	sequence: z.number().int().nonnegative(),
	assignments: createListSchema(assignmentSchema),
	intents: createListSchema(intentSchema),
});

/** See {@link fleetRecordSchema}. */
export type FleetRecord = z.infer<typeof fleetRecordSchema>;

/** Schema of an order as it is sent to a sidecar. */
export const orderOfferSchema = z.object({
	targetId: z.string(),
	dutyName: z.string(),
	/** Control address (`ip:port`) of the entry that holds the duty and must prove its authority. */
	holderAddress: z.string(),
	order: orderNumberSchema,
	desired: desiredTargetSchema,
});

/** See {@link orderOfferSchema}. */
export type OrderOffer = z.infer<typeof orderOfferSchema>;

/** Schema of a sidecar's reply to an order. */
export const orderReplySchema = z.object({
	/**
	 * `accepted`: the order is accepted or already being carried out. `applied`, `failed`: the order ended earlier.
	 * `busy`: another order is being carried out. `stale`: the order is outdated or meant for another target.
	 * `notReady`: the sidecar cannot carry out orders at the moment.
	 */
	status: z.enum(['accepted', 'applied', 'failed', 'busy', 'stale', 'notReady']),
});

/** See {@link orderReplySchema}. */
export type OrderReply = z.infer<typeof orderReplySchema>;

/** Schema of an entry's proof that it currently holds a duty. */
export const authorityProofSchema = z.object({
	/** Nonce of the request that the proof answers. */
	nonce: z.string(),
	epoch: z.number().int(),
	/** Remaining term of the lease when the proof was made, in milliseconds. */
	remainingMs: z.number(),
});

/** See {@link authorityProofSchema}. */
export type AuthorityProof = z.infer<typeof authorityProofSchema>;

/** Compares two order numbers of a target, for use with `sort`: negative if `left` is older, positive if it is newer. */
export function compareOrders(left: OrderNumber, right: OrderNumber): number {
	return left.epoch - right.epoch || left.sequence - right.sequence;
}
