import {type ServingEffect} from './servingMessages.js';
import {type ServingState} from './servingState.js';

/** Creates the log line of a decision that concerns the entry itself, and no single call or target. */
export function createEntryRecord({instanceId}: Pick<ServingState, 'instanceId'>, name: string, detail: Readonly<Record<string, unknown>>): ServingEffect {
	return {
		type: 'decision.record', name, subject: instanceId, detail,
	};
}
