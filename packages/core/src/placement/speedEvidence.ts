/**
 * Decides what the first bytes of an attempt tell of the speed of its target. It is made for targets before which requests wait that
 * no estimate contains: those of peers since their last report, and those of entries out of reach. Only an attempt that is known to
 * have met no such queue tells a speed.
 */
import {type StatedLoad} from './statedLoad.js';
import {SPEED_KINDS, type SpeedKind} from './speedKinds.js';
import {type AttemptExpectation} from './targetSpeed.js';

/** What was known of a target when the first bytes of an attempt arrived. */
export type AnswerCircumstances = {
	/** Load that the target stated last. */
	readonly statedLoad: StatedLoad | undefined;
	readonly slots: number;
	/** Requests of all entries at the target by their reports, this one included. */
	readonly knownRunning: number;
	/** Whether the first bytes have not come yet, long after they were expected. */
	readonly isOverdue: boolean;
	readonly nowMs: number;
};

/** Prefill time by the settings from which an attempt tells the prefill speed. Whatever else delays a shorter prompt is longer than its prefill. */
const MIN_PREFILL_MS = 15;
/** Age up to which a stated load belongs to the answer that is looked at. */
const MAX_STATED_AGE_MS = 20;
/** Requests at a target that may be unknown. Peers send that many between two reports. */
const MAX_UNKNOWN_REQUESTS = 1;
/**
 * Largest part of an expected time that may be the wait for known work, by kind. Its length is an estimate too; the prefill speed
 * holds for that work as well, the fixed time is what remains after it.
 */
const MAX_BACKLOG_SHARES: Readonly<Record<SpeedKind, number>> = {[SPEED_KINDS.prefill]: 0.5, [SPEED_KINDS.fixed]: 0.2};

/** Returns which figure of its target an attempt is a sample of, or undefined if it may have waited for work that is not known. */
export function findEvidence(expectation: AttemptExpectation, circumstances: AnswerCircumstances): SpeedKind | undefined {
	const {unitPrefillMs, prefillFactor, fixedMs, backlogMs, isCacheKnown = true} = expectation;
	const kind = unitPrefillMs >= MIN_PREFILL_MS ? SPEED_KINDS.prefill : SPEED_KINDS.fixed;
	const expectedMs = (unitPrefillMs * prefillFactor) + fixedMs + backlogMs;
	const isCertain = backlogMs <= MAX_BACKLOG_SHARES[kind] * expectedMs && (isCacheKnown || kind !== SPEED_KINDS.prefill) && isQueueKnown(expectation, circumstances);
	return isCertain ? kind : undefined;
}

/**
 * Returns whether all requests at a target are known and none of them waits for a slot. If it stated no load with the answer, no other
 * request may have come since the attempt was sent: it shares the target from then on.
 */
function isQueueKnown({knownRunning: knownBefore = 0}: AttemptExpectation, {statedLoad, slots, knownRunning, isOverdue, nowMs}: AnswerCircumstances): boolean {
	if (isOverdue || statedLoad === undefined || nowMs - statedLoad.statedAtMs > MAX_STATED_AGE_MS) {
		return knownRunning <= Math.min(slots, knownBefore + 1);
	}

	return statedLoad.waiting === 0 && statedLoad.running <= slots && statedLoad.running - statedLoad.knownRunning <= MAX_UNKNOWN_REQUESTS;
}
