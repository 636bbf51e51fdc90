import {SECOND_MS} from '@damaskspool/shared';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {
	addForecast, advanceDemand, createDemand, type DemandSample,
} from './demandAverages.js';
import {DEFAULT_PLAN_SETTINGS} from './planSettings.js';

/** Time over which work is counted before it enters the averages. */
const SAMPLE_INTERVAL_MS = 5 * SECOND_MS;

/** Handlers by which an entry measures the demand of its zone from the work totals of load reports. */
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

/** Counts the work that the zone's targets did since the last sample, by service. */
function countWork({demand, fleet, membership}: EntryState, durationMs: number): Map<string, DemandSample> {
	const samples = new Map<string, DemandSample>();
	for (const {targetId, serviceId, availabilityZone, load} of membership.targets.values()) {
		if (load === undefined || availabilityZone !== fleet.availabilityZone) {
			continue;
		}

		// A target that is new here, or whose sidecar began anew, did an unknown part of its totals in this time: it counts from now on.
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
