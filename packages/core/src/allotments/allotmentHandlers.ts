import {type HandlerTable} from '../reducer/createReducer.js';
import {createEntryRecord} from '../serving/createEntryRecord.js';
import {type ServingEffect, type ServingEvent} from '../serving/servingMessages.js';
import {type ServingState} from '../serving/servingState.js';
import {type AllotmentRecord} from './allotmentRecord.js';

/** Interval of the log lines on the use of allotments, and the most customers on them. */
const USE_LOG_INTERVAL_MS = 5000;
const MAX_LOGGED_CUSTOMERS = 16;
/** Least time between two log lines on impossible figures of peers. */
const IGNORED_LOG_INTERVAL_MS = 1000;
/** Most customers on the log line of a configuration. */
const MAX_LISTED_LIMITS = 32;

/** Handlers that keep the allotments of customers up to date. */
export const allotmentHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	'configuration.changed'(state, {configuration, nowMs}) {
		const limits: ReadonlyMap<string, AllotmentRecord> = configuration.allotments ?? new Map();
		// A version that is not newer than the one in force was dropped.
		if (state.configuration !== configuration) {
			return [];
		}

		state.allotments.setLimits(limits, nowMs);
		return limits.size === 0
			? []
			: [createEntryRecord(state, 'allotments.applied', {
				version: configuration.version,
				customers: limits.size,
				limits: [...limits].slice(0, MAX_LISTED_LIMITS).map(([customerId, {unit, ratePerS, burst}]) => [customerId, unit, ratePerS, burst]),
			})];
	},
	'peers.listed'(state, {peerIds, nowMs}) {
		if (peerIds !== undefined) {
			state.allotments.setRegisteredPeers(peerIds, nowMs);
		}

		return [];
	},
	'peer.reported'(state, {report, nowMs}) {
		const {entryId, processId, allotments} = report;
		const latest = state.placement.peers.get(entryId);
		const isLatest = latest?.processId === processId && latest.sequence === report.sequence;
		const ignoredCount = state.allotments.merge({
			entryId, processId, allotments, isLatest,
		}, nowMs);
		if (ignoredCount === 0 || nowMs - state.allotmentLog.ignoredAtMs < IGNORED_LOG_INTERVAL_MS) {
			return [];
		}

		state.allotmentLog.ignoredAtMs = nowMs;
		return [{
			type: 'decision.record', name: 'allotments.ignored', subject: entryId, detail: {processId, ignoredCount},
		}];
	},
	'process.suspended'(state, {nowMs}) {
		state.allotments.recordSuspension(nowMs);
		return [];
	},
	tick(state, {nowMs}) {
		const effects: ServingEffect[] = [];
		if (!state.allotments.expire(nowMs)) {
			effects.push(createEntryRecord(state, 'allotments.reset', {reason: 'the process did not run for a time'}));
		}

		if (nowMs - state.allotmentLog.usedAtMs >= USE_LOG_INTERVAL_MS) {
			state.allotmentLog.usedAtMs = nowMs;
			const customers = state.allotments.listUse(MAX_LOGGED_CUSTOMERS);
			if (customers.length > 0) {
				effects.push(createEntryRecord(state, 'allotments.used', {...state.allotments.computeStanding(nowMs), customers}));
			}
		}

		return effects;
	},
};
