import {type HandlerTable} from '../reducer/createReducer.js';
import {type SidecarEffect} from '../reducer/sidecarEffects.js';
import {type SidecarEvent} from '../reducer/sidecarEvents.js';
import {type SidecarState} from '../reducer/sidecarState.js';
import {advanceTarget} from './targetMachine.js';

/** Tracks the lifecycle of the target. These handlers run before admission, which only checks whether the target serves. */
export const targetLifecycleHandlers: HandlerTable<SidecarState, SidecarEvent, SidecarEffect> = {
	'target.reported'({admission, orders}, {isReady, models}) {
		// While an order is in progress, only its handlers return the target to service.
		if (orders.active !== undefined) {
			return [];
		}

		const isEmpty = admission.capacity.kvBlocks > 0 && models.length === 0;
		const type = isReady ? (isEmpty ? 'load' : 'ready') : 'unready';
		admission.lifecycleState = advanceTarget(admission.lifecycleState, {type});
		return [];
	},

	'stop.requested'({admission}) {
		admission.lifecycleState = advanceTarget(admission.lifecycleState, {type: 'leave'});
		return [];
	},
};
