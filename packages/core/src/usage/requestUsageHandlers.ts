import {SECOND_MS} from '@damaskspool/shared';
import {dropDuty, findHeldDuty} from '../lease/leaseState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {CONTROL_DUTY, type ServingState} from '../serving/servingState.js';
import {type SealedUsage, type ServingEffect, type ServingEvent} from '../serving/servingMessages.js';

/** Wait after a window's end before it is sealed: the last counts of every entry have come in. */
const SEAL_DELAY_MS = 2 * SECOND_MS;
/** Sealed windows kept in the store: those that a successor may still have to report. */
const MAX_SEALED_WINDOWS = 12;
/** Term that must be left before a call that needs the duty is begun. */
const MIN_REMAINING_TERM_MS = 200;
/** Status with which the platform refuses a call, since a higher fencing number was used. */
const STATUS_STALE_TOKEN = 409;
/** Status with which the platform takes a report. */
const STATUS_OK = 200;

/**
 * Handlers by which the holder of the duty fixes each window's figures in the
 * store before it reports them, so that every report of a window is the same.
 */
export const requestUsageHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	tick(state, {nowMs, wallMs}) {
		const held = findHeldDuty(state.lease, CONTROL_DUTY, nowMs);
		if (held === undefined) {
			// A successor reads what its predecessor has sealed before it seals anything itself.
			state.usage.sealed = undefined;
			return [];
		}

		if (held.remainingMs < MIN_REMAINING_TERM_MS) {
			return [];
		}

		return [...planSeal(state, state.clock.toMedianTime(wallMs)), ...planReports(state, held.epoch)];
	},
	'usage.sealEnded'({usage}, {result}) {
		usage.isStoreCallInFlight = false;
		// After a write whose effect is unknown, or a conflict, what the store holds is read first.
		usage.sealed = result.kind === 'failed' ? undefined : {version: result.version, windows: result.sealed};
		return [];
	},
	'usage.reportEnded'({usage, lease}, {windowId, status}) {
		usage.reportsInFlight.delete(windowId);
		if (status === STATUS_OK) {
			usage.reportedWindows.add(windowId);
		} else if (status === STATUS_STALE_TOKEN) {
			// Another holder has acted: this term is over, whatever the own clock says.
			dropDuty(lease, CONTROL_DUTY);
		}

		return [{
			type: 'decision.record', name: 'usage.reported', subject: String(windowId), detail: {status},
		}];
	},
};

function planSeal({usage}: ServingState, wallMs: number): readonly ServingEffect[] {
	if (usage.isStoreCallInFlight) {
		return [];
	}

	const {sealed} = usage;
	if (sealed === undefined) {
		usage.isStoreCallInFlight = true;
		return [{type: 'usage.read'}];
	}

	const lastSealed = Math.max(0, ...Object.keys(sealed.windows).map(Number));
	const dueWindowIds = usage.listWindows().filter(windowId =>
		windowId > lastSealed && ((windowId + 1) * usage.windowMs) + SEAL_DELAY_MS <= wallMs);
	if (dueWindowIds.length === 0) {
		return [];
	}

	const merged: SealedUsage = {...sealed.windows, ...Object.fromEntries(dueWindowIds.map(windowId => [String(windowId), usage.sum(windowId)]))};
	const retained = Object.entries(merged).toSorted(([left], [right]) => Number(left) - Number(right)).slice(-MAX_SEALED_WINDOWS);
	usage.isStoreCallInFlight = true;
	return [{type: 'usage.seal', sealed: Object.fromEntries(retained), expectedVersion: sealed.version}];
}

function planReports({usage}: ServingState, fence: number): readonly ServingEffect[] {
	if (usage.sealed === undefined || usage.isStoreCallInFlight) {
		return [];
	}

	const effects: ServingEffect[] = [];
	for (const [id, counts] of Object.entries(usage.sealed.windows)) {
		const windowId = Number(id);
		if (!usage.reportedWindows.has(windowId) && !usage.reportsInFlight.has(windowId)) {
			usage.reportsInFlight.add(windowId);
			effects.push({
				type: 'usage.report', windowId, counts, fence,
			});
		}
	}

	return effects;
}
