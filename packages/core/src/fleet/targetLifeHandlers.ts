import {type HandlerTable} from '../reducer/createReducer.js';
import {type SidecarEffect} from '../reducer/sidecarEffects.js';
import {type SidecarEvent} from '../reducer/sidecarEvents.js';
import {type SidecarState} from '../reducer/sidecarState.js';
import {advanceTarget} from './targetMachine.js';

/** Handlers by which a sidecar follows the life of its target. They come before admission, which only asks whether it serves. */
export const targetLifeHandlers: HandlerTable<SidecarState, SidecarEvent, SidecarEffect> = {
	'target.reported'({admission, orders}, {isReady, models}) {
		// While an order is under way it alone says when the target serves again.
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
