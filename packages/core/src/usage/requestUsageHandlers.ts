import {SECOND_MS} from '@damaskspool/shared';
import {dropDuty, findHeldDuty, type HeldDuty} from '../lease/leaseState.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {CONTROL_DUTY, type ServingState} from '../serving/servingState.js';
import {type SealedUsage, type ServingEffect, type ServingEvent} from '../serving/servingMessages.js';
import {type RequestUsage} from './requestUsage.js';

/** Time between a window's end and its sealing. The last counts of every entry arrive within it. */
const SEAL_DELAY_MS = 2 * SECOND_MS;
/** Difference that clocks of entries may have when they judge whether a window was due. */
const CLOCK_MARGIN_MS = SECOND_MS;
/** Maximum number of sealed windows retained in the store. A later holder of the duty may still have to report them. */
const MAX_SEALED_WINDOWS = 12;
/** Minimum remaining lease term to start a call that needs the duty. */
const MIN_REMAINING_TERM_MS = 200;
/** Status of a call that the platform refuses because it has seen a higher fencing token. */
const STATUS_STALE_TOKEN = 409;
/** Status of a report that the platform accepts. */
const STATUS_OK = 200;

/**
 * Handlers that seal and report usage windows while this entry holds the duty.
 * A window's figures are written to the store before they are first reported,
 * so every report of the window has the same figures.
 */
export const requestUsageHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	tick(state, {nowMs, wallMs}) {
		const held = findHeldDuty(state.lease, CONTROL_DUTY, nowMs);
		if (held === undefined) {
			// After a change of holder, the sealed windows are read again before a new one is sealed.
			state.usage.sealed = undefined;
			return [];
		}

		if (held.remainingMs < MIN_REMAINING_TERM_MS) {
			return [];
		}

		return [...planSeal(state, state.clock.toMedianTime(wallMs)), ...planReports(state, held)];
	},
	'usage.sealEnded'({usage}, {result}) {
		usage.isStoreCallInFlight = false;
		// After a conflict, or a write whose outcome is unknown, the sealed figures are read again.
		usage.sealed = result.kind === 'failed' ? undefined : {version: result.version, windows: result.sealed};
		if (result.kind === 'failed') {
			return [];
		}

		if (result.kind === 'written') {
			usage.enqueueSealed(Object.keys(result.sealed).map(Number).filter(windowId => !usage.knownSealed.has(windowId)));
		}

		return recordSealed(usage, result.sealed, 'store');
	},
	'peer.reported'({usage}, {report}) {
		return recordSealed(usage, Object.fromEntries(report.sealed), report.entryId);
	},
	'store.eraChanged'({usage, clock}, {wallMs}) {
		usage.sealed = undefined;
		usage.isStoreCallInFlight = false;
		usage.eraSeenAtWallMs = clock.toMedianTime(wallMs);
		return [];
	},
	'usage.reportEnded'({usage, lease}, {windowId, status}) {
		usage.reportsInFlight.delete(windowId);
		if (status === STATUS_OK) {
			usage.reportedWindows.add(windowId);
		} else if (status === STATUS_STALE_TOKEN) {
			// Another entry has acquired the duty, so this entry gives it up even if its local term has not ended.
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

	const newFigures = {...listForgottenFigures(usage, sealed.windows), ...listDueFigures(usage, sealed.windows, wallMs)};
	if (Object.keys(newFigures).length === 0) {
		return [];
	}

	const merged: SealedUsage = {...sealed.windows, ...newFigures};
	const retained = Object.entries(merged).toSorted(([left], [right]) => Number(left) - Number(right)).slice(-MAX_SEALED_WINDOWS);
	usage.isStoreCallInFlight = true;
	return [{type: 'usage.seal', sealed: Object.fromEntries(retained), expectedVersion: sealed.version}];
}

/** Lists the figures that were sealed in an earlier era and that the store has lost. */
function listForgottenFigures({knownSealed}: RequestUsage, stored: SealedUsage): SealedUsage {
	const firstStored = Math.min(...Object.keys(stored).map(Number));
	return Object.fromEntries([...knownSealed].filter(([windowId]) => stored[windowId] === undefined && (windowId > firstStored || firstStored === Number.POSITIVE_INFINITY)));
}

/**
 * Lists the figures of windows that are due and were never sealed. A window that was due before the current era began may
 * have been reported in an earlier era with figures that nobody knows, so it is left out.
 */
function listDueFigures(usage: RequestUsage, stored: SealedUsage, wallMs: number): SealedUsage {
	const lastSealed = Math.max(0, ...Object.keys(stored).map(Number), ...usage.knownSealed.keys());
	const dueWindowIds = usage.listWindows().filter(windowId => {
		const dueAtMs = ((windowId + 1) * usage.windowMs) + SEAL_DELAY_MS;
		return windowId > lastSealed && dueAtMs <= wallMs && dueAtMs > usage.eraSeenAtWallMs + CLOCK_MARGIN_MS;
	});
	return Object.fromEntries(dueWindowIds.map(windowId => [String(windowId), usage.sum(windowId)]));
}

function recordSealed(usage: RequestUsage, windows: SealedUsage, toldBy: string): readonly ServingEffect[] {
	return usage.recordSealed(windows).map(windowId => ({
		type: 'decision.record', name: 'usage.disputed', subject: String(windowId), detail: {toldBy},
	}));
}

function planReports({usage}: ServingState, {epoch: fence, remainingMs: remainingTermMs}: HeldDuty): readonly ServingEffect[] {
	if (usage.sealed === undefined || usage.isStoreCallInFlight) {
		return [];
	}

	const effects: ServingEffect[] = [];
	for (const [id, counts] of Object.entries(usage.sealed.windows)) {
		const windowId = Number(id);
		if (!usage.reportedWindows.has(windowId) && !usage.disputedWindows.has(windowId) && !usage.reportsInFlight.has(windowId)) {
			usage.reportsInFlight.add(windowId);
			effects.push({
				type: 'usage.report', windowId, counts, fence, remainingTermMs,
			});
		}
	}

	return effects;
}
