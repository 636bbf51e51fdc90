import {type HandlerTable} from '../reducer/createReducer.js';
import {type SidecarEffect} from '../reducer/sidecarEffects.js';
import {type SidecarEvent} from '../reducer/sidecarEvents.js';
import {type SidecarState} from '../reducer/sidecarState.js';
import {
	advanceOrphans, applyOrphansReply, recordSidecarEnd, recordSidecarStart, settleSidecarAttempts,
} from './sidecarUsage.js';
import {createUsageCounts} from './usageCounts.js';

/** Handlers that meter usage in a sidecar. */
export const sidecarUsageHandlers: HandlerTable<SidecarState, SidecarEvent, SidecarEffect> = {
	'usage.started'({usage}, {
		ledgerId, sequence, customerId, serviceId, servedIn,
	}) {
		recordSidecarStart(usage, {
			...createUsageCounts(), ledgerId, sequence, customerId, serviceId, servedIn,
		});
		return [];
	},

	'usage.ended'({usage}, event) {
		recordSidecarEnd(usage, event);
		return [];
	},

	'usage.settled'({usage}, {settlement}) {
		settleSidecarAttempts(usage, settlement);
		return [];
	},

	'usage.flushDue'({usage}, {isStopping, nowMs}) {
		return advanceOrphans(usage, nowMs, isStopping);
	},

	'usage.replied'({usage}, {callId, reply}) {
		applyOrphansReply(usage, callId, reply);
		return [];
	},
};
