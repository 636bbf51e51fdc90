import {admissionHandlers} from '../admission/admissionHandlers.js';
import {orderHandlers} from '../fleet/orderHandlers.js';
import {targetLifecycleHandlers} from '../fleet/targetLifecycleHandlers.js';
import {sidecarUsageHandlers} from '../usage/sidecarUsageHandlers.js';
import {createReducer} from './createReducer.js';
import {type SidecarEffect} from './sidecarEffects.js';
import {type SidecarEvent} from './sidecarEvents.js';
import {type SidecarState} from './sidecarState.js';

/** Reducer for all events of a sidecar. */
export const reduceSidecar = createReducer<SidecarState, SidecarEvent, SidecarEffect>({
	tables: [targetLifecycleHandlers, admissionHandlers, orderHandlers, sidecarUsageHandlers],
});
