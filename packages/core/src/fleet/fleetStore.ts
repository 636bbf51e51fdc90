import {type FleetRecord} from '@damaskspool/shared';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type FleetState} from './fleetState.js';

/** Time between tries of a call to the object API that failed. */
export const STORE_RETRY_MS = 500;

/**
 * Reads the zone's orders first, and writes what has changed since the last write.
 *
 * @param fleet - state of the duty
 * @param nowMs - present time
 * @returns at most one call
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

/**
 * Reads the zone's orders.
 *
 * @param fleet - state of the duty
 * @returns the call
 */
export function readFleet(fleet: FleetState): EntryEffect {
	fleet.callId = createCallId(fleet);
	return {type: 'fleet.read', callId: fleet.callId};
}

/**
 * Writes the zone's orders; a repeat of the write in doubt keeps its nonce.
 *
 * @param fleet - state of the duty
 * @param draft - orders to write
 * @param expectedVersion - version that they follow
 * @returns the call
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
 * Takes what was written as being in the store: from here on it is acted on.
 *
 * @param fleet - state of the duty
 * @param version - version under which it is stored
 * @returns a decision to record where this was the first write under an epoch
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
 * Changes what is written next, beginning with what is being written now.
 *
 * @param fleet - state of the duty
 * @param change - gives the orders with the change
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
