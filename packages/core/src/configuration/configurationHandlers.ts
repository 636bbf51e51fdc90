import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {applyUpdate} from './configurationCopy.js';
import {planForwarding} from './propagationHandlers.js';
import {applyConfiguration, applyParts} from './configurationState.js';

/** Event handlers that put new configurations in force at an entry. */
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

	'configuration.updated'(state, {update, source}) {
		const {configuration, instanceId} = state;
		const previousParts = configuration.copy.parts;
		if (!applyUpdate(configuration.copy, update)) {
			return [];
		}

		const {revision} = configuration.copy;
		const partNames = update.fromRevision === undefined ? [...previousParts.keys(), ...configuration.copy.parts.keys()] : update.parts.map(({name}) => name);
		applyParts(configuration, previousParts, [...new Set(partNames)]);
		const applied: EntryEffect = {
			type: 'decision.record', name: 'configuration.applied', subject: instanceId, detail: {revision, source},
		};
		return [applied, ...planForwarding(state, update, source)];
	},
};
