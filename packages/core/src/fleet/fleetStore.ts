import {type FleetRecord} from '@damaskspool/shared';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type FleetState} from './fleetState.js';

/** Delay before the retry of a failed call to the object API. */
export const STORE_RETRY_MS = 500;

/**
 * Returns the next call to the object API, if one is due. Reads the fleet record if this entry has not written it under
 * its epoch or a write is pending; otherwise writes the draft. Mutates `fleet`.
 */
export function callStore(fleet: FleetState, nowMs: number): readonly EntryEffect[] {
	if (fleet.callId !== undefined || nowMs < fleet.nextStoreCallAtMs) {
		return [];
	}

	if (fleet.ownedEpoch === undefined || fleet.pendingWrite !== undefined) {
		return [readFleet(fleet)];
	}

	return fleet.draft === undefined ? [] : [writeFleet(fleet, fleet.draft, fleet.version)];
}

/** Starts a read of the fleet record. Mutates `fleet`. */
export function readFleet(fleet: FleetState): EntryEffect {
	fleet.callId = createCallId(fleet);
	return {type: 'fleet.read', callId: fleet.callId};
}

/**
 * Starts a write of the fleet record. A retry of the pending write keeps its nonce, which identifies the write in a later
 * read. Mutates `fleet`.
 *
 * @param expectedVersion - stored version that the write replaces
 */
export function writeFleet(fleet: FleetState, draft: FleetRecord, expectedVersion: number): EntryEffect {
	const callId = createCallId(fleet);
	const isRepeat = fleet.pendingWrite?.record === draft;
	const record = isRepeat ? draft : {...draft, nonce: `${draft.epoch}.${callId}`};
	fleet.callId = callId;
	fleet.pendingWrite = {record, expectedVersion};
	fleet.draft = undefined;
	return {
		type: 'fleet.write', callId, record, expectedVersion,
	};
}

/**
 * Records that the pending write is stored. From then on the entry acts on the record. Mutates `fleet`.
 *
 * @param version - version under which the record is stored
 * @returns a decision to log if this was the first write under an epoch
 */
export function settleWrite(fleet: FleetState, version: number): readonly EntryEffect[] {
	const {pendingWrite, ownedEpoch} = fleet;
	if (pendingWrite === undefined) {
		return [];
	}

	fleet.record = pendingWrite.record;
	fleet.version = version;
	fleet.pendingWrite = undefined;
	fleet.ownedEpoch = pendingWrite.record.epoch;
	return ownedEpoch === pendingWrite.record.epoch
		? []
		: [{
			type: 'decision.record', name: 'fleet.takenOver', subject: fleet.availabilityZone, detail: {epoch: pendingWrite.record.epoch, intents: pendingWrite.record.intents.length},
		}];
}

/**
 * Applies a change to the record to write next. It starts from the draft, or else from the pending or the stored record.
 * Mutates `fleet`.
 */
export function updateDraft(fleet: FleetState, change: (record: FleetRecord) => FleetRecord): void {
	const before = fleet.draft ?? fleet.pendingWrite?.record ?? fleet.record;
	const after = before === undefined ? undefined : change(before);
	if (after !== before) {
		fleet.draft = after;
	}
}

function createCallId(fleet: FleetState): string {
	fleet.callCount += 1;
	return `${fleet.dutyName}.${fleet.callCount}`;
}
