import {SECOND_MS} from '@damaskspool/shared';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {
	addForecast, advanceDemand, createDemand, type DemandSample,
} from './demandAverages.js';
import {DEFAULT_PLAN_SETTINGS} from './planSettings.js';

/** Interval over which work is counted before it is added to the averages. */
const SAMPLE_INTERVAL_MS = 5 * SECOND_MS;

/** Measures the demand of the local zone from the work totals in load reports. */
export const demandHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	tick(state, {nowMs}) {
		const {demand, fleet} = state;
		demand.sampledAtMs ??= nowMs;

		const durationMs = nowMs - demand.sampledAtMs;
		if (durationMs >= SAMPLE_INTERVAL_MS) {
			demand.sampledAtMs = nowMs;
			fleet.demands = [...countWork(state, durationMs)].map(([serviceId, sample]) => {
				const previous = fleet.demands.find(other => other.serviceId === serviceId) ?? createDemand(serviceId);
				return addForecast(advanceDemand(previous, sample), DEFAULT_PLAN_SETTINGS.startLeadMs);
			});
		}

		return [];
	},
};

/** Counts the work of the zone's targets since the last sample, by service. */
function countWork({demand, fleet, membership}: EntryState, durationMs: number): Map<string, DemandSample> {
	const samples = new Map<string, DemandSample>();
	for (const {targetId, serviceId, availabilityZone, load} of membership.targets.values()) {
		if (load === undefined || availabilityZone !== fleet.availabilityZone) {
			continue;
		}

		// The totals of a new target, or of one whose sidecar restarted, may include work from before this interval. They count from the next sample on.
		const lastTotals = demand.totalsByTarget.get(targetId);
		const isComparable = lastTotals !== undefined && lastTotals.prefillTokensTotal <= load.prefillTokensTotal
			&& lastTotals.generatedTokensTotal <= load.generatedTokensTotal;
		const sample = samples.get(serviceId) ?? {prefillTokens: 0, generatedTokens: 0, durationMs};
		samples.set(serviceId, {
			durationMs,
			prefillTokens: sample.prefillTokens + (isComparable ? load.prefillTokensTotal - lastTotals.prefillTokensTotal : 0),
			generatedTokens: sample.generatedTokens + (isComparable ? load.generatedTokensTotal - lastTotals.generatedTokensTotal : 0),
		});
		demand.totalsByTarget.set(targetId, {prefillTokensTotal: load.prefillTokensTotal, generatedTokensTotal: load.generatedTokensTotal});
	}

	for (const targetId of demand.totalsByTarget.keys()) {
		if (!membership.targets.has(targetId)) {
			demand.totalsByTarget.delete(targetId);
		}
	}

	return samples;
}
