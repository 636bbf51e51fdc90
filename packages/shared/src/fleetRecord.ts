import {z} from 'zod';

/** Prefix of fleet objects in the object API; the availability zone follows. */
export const FLEET_KEY_PREFIX = 'fleet/';

/** Place of an order among all orders to a target: by epoch, and within it by sequence. */
export const orderNumberSchema = z.object({
	epoch: z.number().int().nonnegative(),
	sequence: z.number().int().nonnegative(),
});

/** See {@link orderNumberSchema}. */
export type OrderNumber = z.infer<typeof orderNumberSchema>;

/** What a target is to be. Orders name states and not steps, so that a repeated order changes nothing. */
export const desiredTargetSchema = z.object({
	role: z.enum(['mixed', 'prefill', 'decode']),
	/** Models with adapters and versions that the target must offer. */
	models: z.array(z.string()),
	/** Drained and out of service, ready to be stopped by the platform. */
	isLeaving: z.boolean(),
});

/** See {@link desiredTargetSchema}. */
export type DesiredTarget = z.infer<typeof desiredTargetSchema>;

/** One target of a zone, with the last order that was written for it. */
export const assignmentSchema = z.object({
	targetId: z.string(),
	serviceId: z.string(),
	incarnation: z.number().int(),
	order: orderNumberSchema,
	desired: desiredTargetSchema,
	/** An open order may still be under way at the sidecar. */
	state: z.enum(['open', 'applied', 'failed']),
});

/** See {@link assignmentSchema}. */
export type Assignment = z.infer<typeof assignmentSchema>;

/** A call that starts or stops a target, written before it is made. */
export const intentSchema = z.object({
	/** Idempotency key of the call; a successor repeats the call under the same key. */
	key: z.string(),
	action: z.enum(['start', 'stop']),
	serviceId: z.string(),
	/** Target to stop, or the one that a start replaces; empty for a further target. */
	targetId: z.string(),
});

/** See {@link intentSchema}. */
export type Intent = z.infer<typeof intentSchema>;

/**
 * All orders of one availability zone. It is one object, so that a successor's
 * first write under its own epoch fences every late write of its predecessor.
 */
export const fleetRecordSchema = z.object({
	epoch: z.number().int().nonnegative(),
	/** Differs in each write, so that a writer knows its own write again. */
	nonce: z.string(),
	/** Sequence of the last order under this epoch. */
	sequence: z.number().int().nonnegative(),
	assignments: z.array(assignmentSchema),
	intents: z.array(intentSchema),
});

/** See {@link fleetRecordSchema}. */
export type FleetRecord = z.infer<typeof fleetRecordSchema>;

/** An order as it is sent to a sidecar. */
export const orderOfferSchema = z.object({
	targetId: z.string(),
	dutyName: z.string(),
	/** Control address of the entry that must prove its authority. */
	holderAddress: z.string(),
	order: orderNumberSchema,
	desired: desiredTargetSchema,
});

/** See {@link orderOfferSchema}. */
export type OrderOffer = z.infer<typeof orderOfferSchema>;

/** What a sidecar says of an order that it was offered. */
export const orderReplySchema = z.object({
	status: z.enum(['accepted', 'applied', 'failed', 'busy', 'stale', 'notReady']),
});

/** See {@link orderReplySchema}. */
export type OrderReply = z.infer<typeof orderReplySchema>;

/** A holder's proof that it holds its duty now. */
export const authorityProofSchema = z.object({
	nonce: z.string(),
	epoch: z.number().int(),
	/** Term left when the proof was made. */
	remainingMs: z.number(),
});

/** See {@link authorityProofSchema}. */
export type AuthorityProof = z.infer<typeof authorityProofSchema>;

/**
 * Compares two orders of a target.
 *
 * @param left - one
 * @param right - other
 * @returns negative, zero or positive, as sort functions take it
 */
export function compareOrders(left: OrderNumber, right: OrderNumber): number {
	return left.epoch - right.epoch || left.sequence - right.sequence;
}
