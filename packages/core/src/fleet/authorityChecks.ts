import {findHeldDuty, type LeaseState} from '../lease/leaseState.js';
import {type CallPlatform} from './fleetMessages.js';
import {type ChangeTarget} from './orderMessages.js';
import {PLATFORM_CALL_TIMEOUT_MS} from './fleetHandlers.js';

/**
 * Tells whether a call to the platform may still be made. Asked right before
 * the call, since the process may have been paused since it was decided.
 *
 * @param lease - leases of this entry
 * @param effect - the call
 * @param nowMs - clock, read for this question
 * @returns false where the duty has lapsed, changed its epoch, or could lapse during the call
 */
export function mayCallPlatform(lease: LeaseState, {dutyName, epoch}: CallPlatform, nowMs: number): boolean {
	const held = findHeldDuty(lease, dutyName, nowMs);
	return held?.epoch === epoch && held.remainingMs > PLATFORM_CALL_TIMEOUT_MS;
}

/**
 * Tells whether a target may still be changed. Asked right before the call.
 *
 * @param effect - the change
 * @param nowMs - clock, read for this question
 * @returns false where the authority behind the order has lapsed
 */
export function mayChangeTarget({authorityUntilMs}: ChangeTarget, nowMs: number): boolean {
	return nowMs < authorityUntilMs;
}
