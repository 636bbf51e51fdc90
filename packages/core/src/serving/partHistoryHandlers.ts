/**
 * Keeps the quarantines of prompt parts in the store. It answers requests that crash targets while all entries are killed:
 * the entries that start refuse their parts once they have read the object. Nothing is called while no part is
 * quarantined, beside one read at the start of a process.
 */
import {type HandlerTable} from '../reducer/createReducer.js';
import {
	applyStoredParts, compareQuarantines, MAX_STORED_PARTS, PART_CHANGES, toRestoredQuarantines,
} from '../retries/partHistory.js';
import {type PartQuarantine} from '../retries/poisonPartTracker.js';
import {reportPartDecisions} from './crashHandlers.js';
import {createEntryRecord} from './createEntryRecord.js';
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type ServingState} from './servingState.js';
import {countWritersBefore} from './writerRank.js';

/** Delay after a call that failed. */
const RETRY_DELAY_MS = 500;
/** Time that an entry leaves the one ranked before it: longer than a call to the store takes until it fails. */
const RANK_DELAY_MS = 1500;
/** Highest rank that makes an entry read and write the object. Ranks follow from the peers that were heard lately. */
const MAX_WRITER_RANK = 1;

/** Handlers that read and write the quarantines. */
export const partHistoryHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	'configuration.changed': (state, {nowMs}) => readAfterAnswer(state, nowMs),
	'targets.changed': (state, {nowMs}) => readAfterAnswer(state, nowMs),
	tick: (state, {nowMs}) => advanceParts(state, nowMs),
	'store.eraChanged'(state, {nowMs}) {
		state.partHistory.isRead = false;
		return advanceParts(state, nowMs);
	},
	'parts.readEnded'(state, {result, nowMs}) {
		const {partHistory} = state;
		partHistory.isCallInFlight = false;
		if (result.kind === 'failed') {
			partHistory.nextCallAtMs = nowMs + RETRY_DELAY_MS;
			return [createEntryRecord(state, 'parts.unread', {retryMs: RETRY_DELAY_MS})];
		}

		const quarantines = result.stored?.quarantines ?? [];
		applyStoredParts(partHistory, {storeVersion: result.version, quarantines, nowMs});
		const effects = [createEntryRecord(state, 'parts.read', {storeVersion: result.version, quarantines: quarantines.length, isRestored: !partHistory.isRestored})];
		if (!partHistory.isRestored) {
			partHistory.isRestored = true;
			effects.push(...reportPartDecisions(state.poisonParts.restore(toRestoredQuarantines(quarantines), nowMs), 'store'));
		}

		return [...effects, ...advanceParts(state, nowMs)];
	},
	'parts.writeEnded'(state, {result, nowMs}) {
		const {partHistory} = state;
		partHistory.isCallInFlight = false;
		if (result.kind === 'written') {
			applyStoredParts(partHistory, {storeVersion: result.version, quarantines: result.stored.quarantines, nowMs});
			return [createEntryRecord(state, 'parts.written', {storeVersion: result.version, quarantines: result.stored.quarantines.length})];
		}

		partHistory.isRead = false;
		// A write that met another version has no effect, also if its answer comes late.
		partHistory.unansweredVersion = result.kind === 'conflict' ? undefined : partHistory.storeVersion;
		partHistory.nextCallAtMs = result.kind === 'conflict' ? nowMs : nowMs + RETRY_DELAY_MS;
		return [createEntryRecord(state, 'parts.unwritten', {reason: result.kind}), ...advanceParts(state, nowMs)];
	},
};

/** Acts on an answer of the store to another call: the quarantines found at the start are read without further delay, since requests are served from now on. */
function readAfterAnswer(state: ServingState, nowMs: number): readonly ServingEffect[] {
	if (!state.partHistory.isRestored) {
		state.partHistory.nextCallAtMs = nowMs;
	}

	return advanceParts(state, nowMs);
}

/** Reads or writes the object if that is due. */
function advanceParts(state: ServingState, nowMs: number): readonly ServingEffect[] {
	const {partHistory} = state;
	if (!partHistory.isKept || partHistory.isCallInFlight || nowMs < partHistory.nextCallAtMs || state.isStopping) {
		return [];
	}

	if (!partHistory.isRestored) {
		return readParts(state);
	}

	const known = state.poisonParts.listQuarantines(nowMs).filter(([hashes]) => hashes.length <= MAX_STORED_PARTS);
	const change = compareQuarantines(partHistory.quarantines, known);
	if (change === PART_CHANGES.none && partHistory.isRead && partHistory.unansweredVersion === undefined) {
		partHistory.outdatedSinceMs = undefined;
		return [];
	}

	partHistory.outdatedSinceMs ??= nowMs;
	const rank = countWritersBefore(state, 'parts', nowMs);
	// Entries that start together have not heard one another yet. Ages can wait until they have.
	const delays = rank + (change === PART_CHANGES.aged ? 1 : 0);
	if (rank > MAX_WRITER_RANK || nowMs < partHistory.outdatedSinceMs + (delays * RANK_DELAY_MS)) {
		return [];
	}

	return partHistory.isRead && (rank === 0 || partHistory.knownAtMs > partHistory.outdatedSinceMs) ? writeParts(state, known) : readParts(state);
}

function readParts({partHistory}: ServingState): readonly ServingEffect[] {
	partHistory.isCallInFlight = true;
	return [{type: 'parts.read'}];
}

function writeParts({partHistory}: ServingState, quarantines: readonly PartQuarantine[]): readonly ServingEffect[] {
	partHistory.isCallInFlight = true;
	return [{type: 'parts.write', stored: {quarantines}, expectedVersion: partHistory.storeVersion}];
}
