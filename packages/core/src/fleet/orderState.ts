import {
	type AuthorityProof, compareOrders, type OrderNumber, type OrderOffer, type TargetRole,
} from '@damaskspool/shared';
import {type TargetStep} from './orderMessages.js';

/** What a sidecar does for the order that it has accepted. */
export type OrderPhase
	/** Waits for the proof of its sender's authority, before anything is done. */
	= | 'proving'
	/** Takes no new work and waits for what runs. */
		| 'draining'
	/** Waits for a fresh proof, right before the change. */
		| 'confirming'
	/** The target makes the change. */
		| 'changing'
	/** Waits for the target's own report of what it is now. */
		| 'verifying';

/** The one order under way. */
export type ActiveOrder = {
	readonly offer: OrderOffer;
	phase: OrderPhase;
	phaseSinceMs: number;
	readonly acceptedAtMs: number;
	/** Nonce of the proof that is waited for, and when it was asked for. */
	nonce: string;
	proofRequestedAtMs: number;
	stepId: string;
	stepCount: number;
};

/** Orders of a sidecar's target. */
export type OrderState = {
	/** Differs in each process that ever runs beside this target. */
	readonly processId: string;
	/** No order is taken before the assignment was read, lest one is repeated or taken out of turn. */
	hasReadAssignment: boolean;
	nextReadAtMs: number;
	/** Orders below this one are stale. */
	minOrder: OrderNumber;
	/** Last order that began to be carried out, and how it ended. */
	lastStarted: {readonly order: OrderNumber; status: 'active' | 'applied' | 'failed'} | undefined;
	active: ActiveOrder | undefined;
	callCount: number;
};

/**
 * Creates the state of a sidecar that has not read its orders yet.
 *
 * @param processId - identifier that no earlier process had
 * @returns the state
 */
export function createOrderState(processId: string): OrderState {
	return {
		processId,
		hasReadAssignment: false,
		nextReadAtMs: 0,
		minOrder: {epoch: 0, sequence: 0},
		lastStarted: undefined,
		active: undefined,
		callCount: 0,
	};
}

/**
 * Tells whether an order comes too late: below one whose sender has proven its
 * authority, or that was found written after a restart.
 *
 * @param state - orders of the target
 * @param order - number of the order
 * @returns whether it must be refused
 */
export function isStaleOrder(state: OrderState, order: OrderNumber): boolean {
	return compareOrders(order, state.minOrder) < 0;
}

/**
 * Computes until when a proof gives authority, by this process's own clock.
 *
 * @param active - order under way
 * @param proof - the holder's answer
 * @returns the time; minus infinity where the answer proves nothing
 */
export function computeAuthorityEnd(active: ActiveOrder, proof: AuthorityProof | undefined): number {
	const isProof = proof?.nonce === active.nonce && proof.epoch === active.offer.order.epoch;
	return isProof ? active.proofRequestedAtMs + proof.remainingMs : Number.NEGATIVE_INFINITY;
}

/**
 * Finds the next change that brings a target to what it is ordered to be.
 *
 * @param offer - the order
 * @param role - role that the target reports
 * @param models - models that the target reports
 * @returns the change, or undefined where nothing differs
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
