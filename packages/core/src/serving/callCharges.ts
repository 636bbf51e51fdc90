/** Charges calls to the allotments of their customers: at their arrival, for each attempt after one that may have run, and back. */
import {ERROR_CODES} from '@damaskspool/shared';
import {computeCost} from '../allotments/allotmentRecord.js';
import {type AllotmentDecision} from '../allotments/createAllotments.js';
import {type Refusal} from './planAttempt.js';
import {type ServingCall, type ServingState} from './servingState.js';

/** Takes a request from the allotment of its customer, if it has one and there is room. */
export function takeCharge(state: ServingState, {customerId, prompt}: {customerId: string | undefined; prompt: ServingCall['request']['prompt']}, nowMs: number): AllotmentDecision {
	const allotment = state.allotments.findLimit(customerId);
	return customerId === undefined || allotment === undefined
		? {isAdmitted: true, cost: 0}
		: state.allotments.take(customerId, computeCost(allotment, prompt), nowMs);
}

/** Charges an attempt after one that may have run once more to the allotment of the customer. Returns why that is not possible. */
export function takeRetryCharge(state: ServingState, call: ServingCall, nowMs: number): Refusal | undefined {
	if (call.openCharge !== undefined) {
		return undefined;
	}

	const charge = takeCharge(state, {customerId: call.customerId, prompt: call.request.prompt}, nowMs);
	if (charge.isAdmitted) {
		call.openCharge = charge.cost;
		return undefined;
	}

	return {refusal: ERROR_CODES.allotmentUsed, retryAfterMs: charge.retryAfterMs, detail: charge.detail};
}

/** Returns what a call has taken for an attempt that no target has run. */
export function releaseCharge({allotments}: ServingState, {customerId, openCharge}: ServingCall, nowMs: number): void {
	if (customerId !== undefined && openCharge !== undefined) {
		allotments.release(customerId, openCharge, nowMs);
	}
}
