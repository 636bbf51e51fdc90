import {allotmentHandlers} from '../allotments/allotmentHandlers.js';
import {leaseHandlers} from '../lease/leaseHandlers.js';
import {createReducer} from '../reducer/createReducer.js';
import {requestUsageHandlers} from '../usage/requestUsageHandlers.js';
import {callHandlers} from './callHandlers.js';
import {confirmationHandlers} from './confirmationHandlers.js';
import {crashHandlers} from './crashHandlers.js';
import {evennessHandlers} from './evennessHandlers.js';
import {partHistoryHandlers} from './partHistoryHandlers.js';
import {peerHandlers} from './peerHandlers.js';
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type ServingState} from './servingState.js';
import {unresponsiveTargetHandlers} from './unresponsiveTargetHandlers.js';
import {speedHandlers} from './speedUpdates.js';
import {stageHandlers} from './stageHandlers.js';
import {stopHandlers} from './stopHandlers.js';
import {takeUpHandlers} from './takeUpHandlers.js';
import {versionHistoryHandlers} from './versionHistoryHandlers.js';

/** Reducer of an entry that sends to targets directly, without sidecars. */
export const reduceServing = createReducer<ServingState, ServingEvent, ServingEffect>({
	tables: [
		peerHandlers,
		versionHistoryHandlers,
		allotmentHandlers,
		callHandlers,
		takeUpHandlers,
		crashHandlers,
		partHistoryHandlers,
		confirmationHandlers,
		unresponsiveTargetHandlers,
		leaseHandlers,
		requestUsageHandlers,
		stageHandlers,
		stopHandlers,
		speedHandlers,
		evennessHandlers,
	],
});
