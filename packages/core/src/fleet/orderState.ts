import {
	type AuthorityProof, compareOrders, type OrderNumber, type OrderOffer, type TargetRole,
} from '@damaskspool/shared';
import {type TargetStep} from './orderMessages.js';

/** Phase of the order in progress. */
export type OrderPhase
	/** Waits for a proof of the sender's authority before anything else happens. */
	= | 'proving'
	/** Admits no new work and waits for running work to end. */
		| 'draining'
	/** Waits for a fresh proof immediately before the change. */
		| 'confirming'
	/** Waits for the target to make the change. */
		| 'changing'
	/** Waits for the target to report its new state. */
		| 'verifying';

/** The order in progress; there is at most one. */
export type ActiveOrder = {
	readonly offer: OrderOffer;
	phase: OrderPhase;
	phaseSinceMs: number;
	readonly acceptedAtMs: number;
	/** Nonce of the outstanding request for a proof; empty if there is none. */
	nonce: string;
	proofRequestedAtMs: number;
	stepId: string;
	stepCount: number;
};

/** State of the orders for a sidecar's target. */
export type OrderState = {
	/** Unique among all sidecar processes that ever run beside this target. */
	readonly processId: string;
	/** No order is accepted before this is true. Otherwise an old order could be executed again or out of sequence. */
	hasReadAssignment: boolean;
	nextReadAtMs: number;
	/** Orders with a lower number are stale. */
	minOrder: OrderNumber;
	/** Last order whose execution started, and its outcome. */
	lastExecuted: {readonly order: OrderNumber; status: 'active' | 'applied' | 'failed'} | undefined;
	active: ActiveOrder | undefined;
	callCount: number;
};

/**
 * Creates the state of a sidecar that has not read its assignment yet.
 *
 * @param processId - unique among all sidecar processes beside this target
 */
export function createOrderState(processId: string): OrderState {
	return {
		processId,
		hasReadAssignment: false,
		nextReadAtMs: 0,
		minOrder: {epoch: 0, sequence: 0},
		lastExecuted: undefined,
		active: undefined,
		callCount: 0,
	};
}

/**
 * Returns whether an order comes too late and must be refused. Its number is then lower than that of an order with
 * proven authority, or of the order that was stored when the sidecar started.
 */
export function isStaleOrder(state: OrderState, order: OrderNumber): boolean {
	return compareOrders(order, state.minOrder) < 0;
}

/**
 * Returns the time by the local clock until which a proof gives authority. The term counts from the request for the proof.
 *
 * @returns negative infinity if the proof is missing, answers another request or has another epoch
 */
export function computeAuthorityEnd(active: ActiveOrder, proof: AuthorityProof | undefined): number {
	const isProof = proof?.nonce === active.nonce && proof.epoch === active.offer.order.epoch;
	return isProof ? active.proofRequestedAtMs + proof.remainingMs : Number.NEGATIVE_INFINITY;
}

/**
 * Returns the next change that brings a target closer to its ordered state, or undefined if nothing differs.
 *
 * @param role - role that the target reports
 * @param models - models that the target reports
 */
export function findNextStep({desired}: OrderOffer, role: TargetRole, models: readonly string[]): TargetStep | undefined {
	if (desired.isLeaving) {
		return undefined;
	}

	if (role !== desired.role) {
		return {kind: 'changeRole', role: desired.role};
	}

	const modelId = desired.models.find(model => !models.includes(model));
	return modelId === undefined ? undefined : {kind: 'loadModel', modelId};
}
