import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {mergeInstanceList, mergeLoadReport} from './membershipState.js';

/** Handlers that update the targets and peers known to an entry. */
export const membershipHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'instances.listed'(state, {instances}) {
		mergeInstanceList(state.membership, instances, state.instanceId);
		return [];
	},

	'load.reported'(state, {load, nowMs}) {
		mergeLoadReport(state.membership, load, nowMs);
		return [];
	},
};
