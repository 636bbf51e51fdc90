import {findHeldDuty, toUsageDuty} from '../lease/leaseState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {advanceEntryFlush, applyEntryReply, recordAttemptEnd} from './entryUsage.js';
import {createUsageCounts} from './usageCounts.js';
import {advanceSealer, applySealerReply} from './usageSealer.js';
import {type SealerContext} from './usageSealerState.js';

/** Handlers that meter an entry's usage, and seal and report windows while the entry holds the usage duty. */
export const entryUsageHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'usage.started'({usage}, {
		sequence, customerId, serviceId, servedIn, address,
	}) {
		usage.attempts.set(sequence, {
			usage: {
				...createUsageCounts(), ledgerId: usage.ledgerId, sequence, customerId, serviceId, servedIn,
			},
			address,
			isEnded: false,
			isFinal: false,
			queryCount: 0,
		});
		return [];
	},

	'usage.ended'({usage}, {sequence, counts}) {
		recordAttemptEnd(usage, sequence, counts);
		return [];
	},

	'usage.flushDue'({usage}, {isStopping}) {
		usage.isStopping = isStopping;
		return advanceEntryFlush(usage);
	},

	'usage.sealDue'(state, {wallMs, nowMs}) {
		return advanceSealer(state.usageSealer, wallMs, createSealerContext(state, nowMs));
	},

	'usage.replied'(state, {callId, reply, nowMs}) {
		return [
			...applyEntryReply(state.usage, callId, reply),
			...applySealerReply(state.usageSealer, callId, reply, createSealerContext(state, nowMs)),
		];
	},
};

function createSealerContext(state: EntryState, nowMs: number): SealerContext {
	return {nowMs, authority: findHeldDuty(state.lease, toUsageDuty(state.usage.region), nowMs)};
}
