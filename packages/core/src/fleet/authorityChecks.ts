import {findHeldDuty, type LeaseState} from '../lease/leaseState.js';
import {type CallPlatform} from './fleetMessages.js';
import {type ChangeTarget} from './orderMessages.js';
import {PLATFORM_CALL_TIMEOUT_MS} from './fleetHandlers.js';

/**
 * Returns whether a call to the platform may still be made. This must be checked immediately before the call, because
 * the process may have been paused since the decision.
 *
 * @param nowMs - time read from the clock for this check
 * @returns false if the lease has lapsed, has another epoch, or could lapse during the call
 */
export function mayCallPlatform(lease: LeaseState, {dutyName, epoch}: CallPlatform, nowMs: number): boolean {
	const held = findHeldDuty(lease, dutyName, nowMs);
	return held?.epoch === epoch && held.remainingMs > PLATFORM_CALL_TIMEOUT_MS;
}

/**
 * Returns whether a target may still be changed. This must be checked immediately before the call.
 *
 * @param nowMs - time read from the clock for this check
 * @returns false if the authority behind the order has expired
 */
export function mayChangeTarget({authorityUntilMs}: ChangeTarget, nowMs: number): boolean {
	return nowMs < authorityUntilMs;
}
