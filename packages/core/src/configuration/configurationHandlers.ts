import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {applyConfiguration} from './configurationState.js';

/** Handlers by which an entry puts configurations in force. */
export const configurationHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'configuration.read'(state, {configuration, nowMs}) {
		state.configuration.confirmedAtMs = nowMs;
		if (!applyConfiguration(state.configuration, configuration)) {
			return [];
		}

		return [{
			type: 'decision.record',
			name: 'configuration.applied',
			subject: state.instanceId,
			detail: {revision: configuration.revision},
		}];
	},
};
