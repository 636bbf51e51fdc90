/** Sends orders that change the stage of engines. Only the holder of the control duty sends them. */
import {SECOND_MS} from '@damaskspool/shared';
import {findHeldDuty} from '../lease/leaseState.js';
import {
	mayReceive, sumRunning, takeLimitShare, type PlacedTarget,
} from '../placement/placementState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {STAGES, type Stage} from './servingRecords.js';
import {CONTROL_DUTY, FIRST_ORDER_WAIT_MS, type ServingState} from './servingState.js';

/** Remaining time of the lease below which no order is sent. */
const MIN_REMAINING_TERM_MS = 500;
/** Wait between two orders. Longer than the execution of an order without a response plus the delay of the target's registration. */
const ORDER_INTERVAL_MS = 4 * SECOND_MS;
const REFUSED_ORDER_INTERVAL_MS = SECOND_MS;
/** Statuses of an order that the target executes or has already executed. */
const ACCEPTED_STATUSES: ReadonlySet<number | undefined> = new Set([200, 202]);

/** Handlers that send stage orders and record their results. */
export const stageHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	tick(state, {nowMs}) {
		const {fleet} = state;
		const heldDuty = findHeldDuty(state.lease, CONTROL_DUTY, nowMs);
		if (fleet.prefillTargets === undefined || heldDuty === undefined || heldDuty.remainingMs < MIN_REMAINING_TERM_MS || state.isStopping) {
			fleet.nextOrderAtMs = heldDuty === undefined ? nowMs + FIRST_ORDER_WAIT_MS : fleet.nextOrderAtMs;
			return [];
		}

		if (fleet.pendingOrderTargetId !== undefined || nowMs < fleet.nextOrderAtMs) {
			return [];
		}

		const change = chooseStageChange(state, fleet.prefillTargets, nowMs);
		if (change === undefined) {
			return [];
		}

		const {target, stage} = change;
		takeLimitShare(target, nowMs);
		fleet.pendingOrderTargetId = target.record.targetId;
		return [
			{
				type: 'order.send', target: target.record, stage, fence: heldDuty.epoch, remainingTermMs: heldDuty.remainingMs,
			},
			{
				type: 'decision.record', name: 'order.sent', subject: target.record.targetId, detail: {stage, fence: heldDuty.epoch, wanted: fleet.prefillTargets},
			},
		];
	},
	'order.ended'(state, {targetId, stage, status, nowMs}) {
		const {fleet} = state;
		const isAccepted = ACCEPTED_STATUSES.has(status);
		fleet.pendingOrderTargetId = undefined;
		fleet.nextOrderAtMs = nowMs + (isAccepted || status === undefined ? ORDER_INTERVAL_MS : REFUSED_ORDER_INTERVAL_MS);
		return [{
			type: 'decision.record', name: 'order.ended', subject: targetId, detail: {stage, status},
		}];
	},
};

/** Chooses the target with the fewest requests whose stage has to change to reach the desired number of prefill targets. */
function chooseStageChange(state: ServingState, desiredPrefillTargets: number, nowMs: number): {target: PlacedTarget; stage: Stage} | undefined {
	const engines = [...state.placement.targets.values()].filter(target => target.record.stage !== undefined && mayReceive(target, nowMs));
	const prefillTargets = engines.filter(({record}) => record.stage === STAGES.prefill);
	const [candidates, stage] = prefillTargets.length > desiredPrefillTargets
		? [prefillTargets, STAGES.decode]
		: [prefillTargets.length < desiredPrefillTargets && engines.length > desiredPrefillTargets ? engines.filter(({record}) => record.stage === STAGES.decode) : [], STAGES.prefill];
	const target = candidates.toSorted((left, right) => sumRunning(left, nowMs) - sumRunning(right, nowMs))[0];
	return target === undefined ? undefined : {target, stage};
}
