import {burnHandlers} from '../burn/burnHandlers.js';
import {claimHandlers} from '../claims/claimHandlers.js';
import {configurationHandlers} from '../configuration/configurationHandlers.js';
import {drainHandlers} from '../fleet/drainHandlers.js';
import {fleetHandlers} from '../fleet/fleetHandlers.js';
import {leaseHandlers} from '../lease/leaseHandlers.js';
import {propagationHandlers} from '../configuration/propagationHandlers.js';
import {loadReadHandlers} from '../membership/loadReadHandlers.js';
import {membershipHandlers} from '../membership/membershipHandlers.js';
import {demandHandlers} from '../planning/demandHandlers.js';
import {requestHandlers} from '../request/requestHandlers.js';
import {routingHandlers} from '../routing/routingHandlers.js';
import {entryUsageHandlers} from '../usage/entryUsageHandlers.js';
import {createReducer} from './createReducer.js';
import {type EntryEffect} from './entryEffects.js';
import {type EntryEvent} from './entryEvents.js';
import {type EntryState} from './entryState.js';

/** Reducer for all events of an entry. */
export const reduceEntry = createReducer<EntryState, EntryEvent, EntryEffect>({
	tables: [
		routingHandlers,
		configurationHandlers,
		propagationHandlers,
		membershipHandlers,
		loadReadHandlers,
		requestHandlers,
		claimHandlers,
		leaseHandlers,
		demandHandlers,
		fleetHandlers,
		entryUsageHandlers,
		drainHandlers,
		burnHandlers,
	],
});
