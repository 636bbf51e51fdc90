import {SECOND_MS} from '@damaskspool/shared';
import {dropDuty, findHeldDuty} from '../lease/leaseState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {CONTROL_DUTY, type ServingState} from '../serving/servingState.js';
import {type SealedUsage, type ServingEffect, type ServingEvent} from '../serving/servingMessages.js';

/** Wait after a window's end before it is sealed: the last counts of every entry have come in. */
const SEAL_WAIT_MS = 2 * SECOND_MS;
/** Sealed windows kept in the store: those that a successor may still have to report. */
const SEALED_LIMIT = 12;
/** Term that must be left before a call that needs the duty is begun. */
const LEAST_TERM_MS = 200;
/** Status with which the platform refuses a call, since a higher fencing number was used. */
const STATUS_SUPERSEDED = 409;
/** Status with which the platform takes a report. */
const STATUS_OK = 200;

/**
 * Handlers by which the holder of the duty fixes each window's figures in the
 * store before it reports them, so that every report of a window is the same.
 */
export const servedUsageHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	tick(state, {nowMs, wallMs}) {
		const held = findHeldDuty(state.lease, CONTROL_DUTY, nowMs);
		if (held === undefined) {
			// A successor reads what its predecessor has sealed before it seals anything itself.
			state.usage.sealed = undefined;
			return [];
		}

		if (held.remainingMs < LEAST_TERM_MS) {
			return [];
		}

		return [...planSeal(state, state.clock.toAgreed(wallMs)), ...planReports(state, held.epoch)];
	},
	'usage.sealEnded'({usage}, {result}) {
		usage.isSealing = false;
		// After a write whose effect is unknown, or a conflict, what the store holds is read first.
		usage.sealed = result.kind === 'failed' ? undefined : {version: result.version, windows: result.sealed};
		return [];
	},
	'usage.reportEnded'({usage, lease}, {windowId, status}) {
		usage.reporting.delete(windowId);
		if (status === STATUS_OK) {
			usage.reported.add(windowId);
		} else if (status === STATUS_SUPERSEDED) {
			// Another holder has acted: this term is over, whatever the own clock says.
			dropDuty(lease, CONTROL_DUTY);
		}

		return [{
			type: 'decision.record', name: 'usage.reported', subject: String(windowId), detail: {status},
		}];
	},
};

function planSeal({usage}: ServingState, wallMs: number): readonly ServingEffect[] {
	if (usage.isSealing) {
		return [];
	}

	const {sealed} = usage;
	if (sealed === undefined) {
		usage.isSealing = true;
		return [{type: 'usage.read'}];
	}

	const lastSealed = Math.max(0, ...Object.keys(sealed.windows).map(Number));
	const due = usage.listWindows().filter(windowId =>
		windowId > lastSealed && ((windowId + 1) * usage.windowMs) + SEAL_WAIT_MS <= wallMs);
	if (due.length === 0) {
		return [];
	}

	const merged: SealedUsage = {...sealed.windows, ...Object.fromEntries(due.map(windowId => [String(windowId), usage.sum(windowId)]))};
	const kept = Object.entries(merged).toSorted(([left], [right]) => Number(left) - Number(right)).slice(-SEALED_LIMIT);
	usage.isSealing = true;
	return [{type: 'usage.seal', sealed: Object.fromEntries(kept), expectedVersion: sealed.version}];
}

function planReports({usage}: ServingState, fence: number): readonly ServingEffect[] {
	if (usage.sealed === undefined || usage.isSealing) {
		return [];
	}

	const effects: ServingEffect[] = [];
	for (const [id, counts] of Object.entries(usage.sealed.windows)) {
		const windowId = Number(id);
		if (!usage.reported.has(windowId) && !usage.reporting.has(windowId)) {
			usage.reporting.add(windowId);
			effects.push({
				type: 'usage.report', windowId, counts, fence,
			});
		}
	}

	return effects;
}
