/**
 * What an entry knows of the store from its watch of the targets. It answers the load of an outage, in which
 * registrations expire because live targets cannot renew them. A removal that the store tells at any other time is final.
 */

/** How a call of the watch failed. */
export const READ_FAILURES = {
	/** The store ended a watch that it was holding open. It may do so at any time. */
	watchCut: 'watchCut',
	/** The store ended the connection at once. It may do so to a single call, and does so to each one when it is away. */
	connectionLost: 'connectionLost',
	/** The store refused the call, or gave no reply in time. */
	unavailable: 'unavailable',
} as const;

/** One of {@link READ_FAILURES}. */
export type ReadFailure = typeof READ_FAILURES[keyof typeof READ_FAILURES];

/** See the head of this file. */
export type StoreContact = {
	/** Whether the store has been away since its last reply. */
	isAway: boolean;
	/** Whether the last call ended with its connection, which alone is no sign of an outage. */
	hasLostConnection: boolean;
	/** Time of the first reply after the last outage. */
	returnedAtMs: number;
};

/** Time within which a live target registers again after the store returns. */
export const REREGISTRATION_GRACE_MS = 2200;

const FAILURE_HANDLERS: Readonly<Record<ReadFailure, (contact: StoreContact) => void>> = {
	watchCut() {
		// The next watch continues from the same version, so its history has no gap.
	},
	connectionLost(contact) {
		contact.isAway ||= contact.hasLostConnection;
		contact.hasLostConnection = true;
	},
	unavailable(contact) {
		contact.isAway = true;
	},
};

/** Creates the state of a store that has not failed yet. */
export function createStoreContact(): StoreContact {
	return {isAway: false, hasLostConnection: false, returnedAtMs: Number.NEGATIVE_INFINITY};
}

/** Records a failed call. Changes the state in place. */
export function recordReadFailure(contact: StoreContact, failure: ReadFailure): void {
	FAILURE_HANDLERS[failure](contact);
}

/** Records a reply. Changes the state in place. */
export function recordReply(contact: StoreContact, nowMs: number): void {
	if (contact.isAway) {
		recordReturn(contact, nowMs);
	}

	contact.isAway = false;
	contact.hasLostConnection = false;
}

/** Records that the store is back. Changes the state in place. */
export function recordReturn(contact: StoreContact, nowMs: number): void {
	contact.returnedAtMs = nowMs;
}

/** Returns whether a registration that the store lacks may have expired in an outage and may still return. */
export function mayRegistrationReturn({isAway, returnedAtMs}: StoreContact, nowMs: number): boolean {
	return isAway || nowMs < returnedAtMs + REREGISTRATION_GRACE_MS;
}
