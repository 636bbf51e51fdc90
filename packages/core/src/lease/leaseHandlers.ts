import {hashText, type LeaseRecord, SECOND_MS} from '@damaskspool/shared';
import {type HandlerTable} from '../reducer/createReducer.js';
import {
	countHeldDuties, type DutyScope, type DutyState, LEASE_MARGIN_MS, type LeaseState, type LeaseWrite,
} from './leaseState.js';
import {type LeaseEffect, type LeaseEvent} from './leaseMessages.js';

/** The parts of a process's state that the lease handlers use. */
export type LeaseHandlerState = {
	readonly lease: LeaseState;
	readonly isStopping: boolean;
	readonly membership: {readonly peers: ReadonlyMap<string, LeasePeer>};
};

/** Another entry that may bid for a duty. */
export type LeasePeer = {readonly instanceId: string; readonly availabilityZone: string; readonly region: string};

type TimedEvent<Type extends string> = {readonly type: Type; readonly nowMs: number};
type LeaseHandlerEvent
	= | LeaseEvent
		| TimedEvent<'instances.listed'>
		| TimedEvent<'tick'>
		| TimedEvent<'stop.requested'>
		| (TimedEvent<'store.eraChanged'> & {readonly era: number})
		| (TimedEvent<'process.suspended'> & {readonly suspendedMs: number});
type LeaseHandlerEffect
	= | LeaseEffect
		| {readonly type: 'decision.record'; readonly name: string; readonly subject: string; readonly detail: Readonly<Record<string, string | number>>};

/** Interval between renewals, and between reads by an entry whose rank makes it a candidate. */
const CALL_INTERVAL_MS = SECOND_MS;
/** Number of entries in a scope that read its lease often. More candidates would only add load on the store. */
const CANDIDATE_COUNT = 3;
/** Interval between reads by an entry that is not a candidate, in case its rank is out of date. */
const BACKGROUND_INTERVAL_MS = 30 * SECOND_MS;
/** Epochs of one era of the store. An epoch of a later era is above all epochs of earlier ones, also those that the store has forgotten. */
const EPOCHS_PER_ERA = 1_000_000;
/** Bids are delayed by this time for each duty already held, which distributes duties over entries. */
const BID_DELAY_PER_HELD_DUTY_MS = 1500;

/** Handlers that acquire, renew and release an entry's leases. */
export const leaseHandlers: HandlerTable<LeaseHandlerState, LeaseHandlerEvent, LeaseHandlerEffect> = {
	'instances.listed'({lease, membership}, {nowMs}) {
		rankDuties(lease, [...membership.peers.values()], nowMs);
		return [];
	},

	tick({lease, isStopping}, {nowMs}) {
		return [...lease.duties.values()].flatMap(duty => isStopping ? [] : advanceDuty(lease, duty, nowMs));
	},

	'lease.readEnded'({lease, isStopping}, {dutyName, callId, result, nowMs}) {
		const duty = completeCall(lease, dutyName, callId);
		if (duty === undefined) {
			return [];
		}

		duty.nextCallAtMs = nowMs + computeInterval(duty);
		if (result.kind === 'failed' || isStopping) {
			return [];
		}

		return applyRead(lease, duty, result, nowMs);
	},

	'lease.writeEnded'({lease, isStopping}, {dutyName, callId, result, nowMs}) {
		const duty = completeCall(lease, dutyName, callId);
		const write = duty?.unconfirmedWrites.at(-1);
		if (duty === undefined || write === undefined || isStopping) {
			return [];
		}

		if (result.kind === 'written') {
			return applyWrite(duty, write, result.version, nowMs);
		}

		// A refused write had no effect. A write with an unknown outcome stays unconfirmed until the version changes.
		if (result.kind === 'conflict') {
			duty.unconfirmedWrites.pop();
		}

		return [readLease(lease, duty)];
	},

	'store.eraChanged'({lease}, {era, nowMs}) {
		lease.storeEra = era;
		return [...lease.duties.values()].flatMap(duty => resetDuty(duty, {era, nowMs}));
	},

	// The monotonic clock does not count the suspended time, but other entries do. Writes without a reply were sent before it.
	'process.suspended'({lease}, {suspendedMs}) {
		for (const duty of lease.duties.values()) {
			duty.held &&= {...duty.held, expiresAtMs: duty.held.expiresAtMs - suspendedMs};
			duty.unconfirmedWrites = duty.unconfirmedWrites.map(write => ({...write, sentAtMs: write.sentAtMs - suspendedMs}));
		}

		return [];
	},

	'stop.requested'({lease}, {nowMs}) {
		return [...lease.duties.values()].flatMap(duty => releaseDuty(lease, duty, nowMs));
	},
};

/**
 * Ranks this entry for each duty among the peers that may hold it. Changes
 * `lease`. If the entry becomes a candidate, the lease is read at once.
 */
export function rankDuties(lease: LeaseState, peers: readonly LeasePeer[], nowMs: number): void {
	for (const duty of lease.duties.values()) {
		const eligiblePeers = peers.filter(peer => isInScope(duty.scope, peer));
		const wasCandidate = duty.rank < CANDIDATE_COUNT;
		const localHash = computeRankHash(duty.name, lease.instanceId);
		duty.rank = eligiblePeers.filter(({instanceId}) => computeRankHash(duty.name, instanceId) < localHash).length;
		if (!wasCandidate && duty.rank < CANDIDATE_COUNT) {
			duty.nextCallAtMs = nowMs;
		}
	}
}

function advanceDuty(lease: LeaseState, duty: DutyState, nowMs: number): readonly LeaseHandlerEffect[] {
	const effects = expireDuty(lease, duty, nowMs);
	if (duty.callId !== undefined || nowMs < duty.nextCallAtMs) {
		return effects;
	}

	return [...effects, duty.held === undefined ? readLease(lease, duty) : writeLease(lease, duty, nowMs)];
}

function expireDuty(lease: LeaseState, duty: DutyState, nowMs: number): readonly LeaseHandlerEffect[] {
	if (duty.held === undefined || nowMs < duty.held.expiresAtMs) {
		return [];
	}

	const {epoch} = duty.held;
	duty.held = undefined;
	duty.nextCallAtMs = nowMs;
	return [{
		type: 'decision.record', name: 'lease.lapsed', subject: duty.name, detail: {epoch, holder: lease.instanceId},
	}];
}

/** Completes the call in progress and returns its duty. Returns undefined if the reply belongs to an earlier call. */
function completeCall(lease: LeaseState, dutyName: string, callId: string): DutyState | undefined {
	const duty = lease.duties.get(dutyName);
	if (duty?.callId !== callId) {
		return undefined;
	}

	duty.callId = undefined;
	return duty;
}

/**
 * Forgets what an earlier era of the store said about a duty, and changes it in place. The store may have lost a lease
 * that it acknowledged, so a full term passes before this entry bids again. Replies to calls in progress are ignored.
 */
function resetDuty(duty: DutyState, {era, nowMs}: {era: number; nowMs: number}): readonly LeaseHandlerEffect[] {
	const {held} = duty;
	duty.lastEpoch = Math.max(duty.lastEpoch, duty.record?.epoch ?? 0, ...duty.unconfirmedWrites.map(({record}) => record.epoch));
	duty.held = undefined;
	duty.version = undefined;
	duty.record = undefined;
	duty.unconfirmedWrites = [];
	duty.callId = undefined;
	duty.changeSeenAtMs = nowMs;
	duty.nextCallAtMs = nowMs;
	return held === undefined
		? []
		: [{
			type: 'decision.record', name: 'lease.lost', subject: duty.name, detail: {era, epoch: held.epoch},
		}];
}

type StoredLease = {readonly version: number; readonly record: LeaseRecord | undefined};

function applyRead(lease: LeaseState, duty: DutyState, {version, record}: StoredLease, nowMs: number): readonly LeaseHandlerEffect[] {
	const localWrite = duty.unconfirmedWrites.find(write => isSameWrite(write.record, record));
	if (localWrite !== undefined) {
		return applyWrite(duty, localWrite, version, nowMs);
	}

	if (version !== duty.version) {
		duty.version = version;
		duty.record = record;
		duty.changeSeenAtMs = nowMs;
		duty.unconfirmedWrites = [];
		if (duty.held !== undefined) {
			duty.held = undefined;
			return [{
				type: 'decision.record', name: 'lease.lost', subject: duty.name, detail: {to: record?.holder ?? 'nobody'},
			}];
		}
	}

	const bidTimeMs = computeBidTime(lease, duty, nowMs);
	if (duty.held !== undefined || nowMs < bidTimeMs) {
		duty.nextCallAtMs = duty.rank < CANDIDATE_COUNT ? Math.min(duty.nextCallAtMs, Math.max(bidTimeMs, nowMs)) : duty.nextCallAtMs;
		return [];
	}

	return [writeLease(lease, duty, nowMs)];
}

function isSameWrite(written: LeaseRecord, stored: LeaseRecord | undefined): boolean {
	return stored?.holder === written.holder && stored.nonce === written.nonce;
}

/** Applies a write by this process that has taken effect. The term starts at the time before the write was sent. */
function applyWrite(duty: DutyState, write: LeaseWrite, version: number, nowMs: number): readonly LeaseHandlerEffect[] {
	const isNewlyHeld = duty.held === undefined;
	const expiresAtMs = write.sentAtMs + write.record.durationMs - LEASE_MARGIN_MS;
	duty.version = version;
	duty.record = write.record;
	duty.changeSeenAtMs = nowMs;
	duty.unconfirmedWrites = [];
	duty.nextCallAtMs = write.sentAtMs + CALL_INTERVAL_MS;
	if (nowMs >= expiresAtMs) {
		duty.held = undefined;
		return [];
	}

	duty.held = {epoch: write.record.epoch, expiresAtMs};
	return isNewlyHeld
		? [{
			type: 'decision.record', name: 'lease.taken', subject: duty.name, detail: {epoch: write.record.epoch, holder: write.record.holder},
		}]
		: [];
}

/**
 * Computes the earliest time of a bid: the holder's full term after the last
 * change that this process saw. After an unconfirmed write by this process, at
 * least one call interval passes before the bid.
 */
function computeBidTime(lease: LeaseState, duty: DutyState, nowMs: number): number {
	// A store that states eras may have lost the lease of a holder, so a missing record proves nothing.
	const unknownTermMs = lease.storeEra === 0 ? 0 : lease.durationMs + LEASE_MARGIN_MS;
	const termMs = duty.record === undefined ? unknownTermMs : duty.record.durationMs + LEASE_MARGIN_MS;
	const earliestMs = duty.changeSeenAtMs + termMs + (countHeldDuties(lease, nowMs) * BID_DELAY_PER_HELD_DUTY_MS);
	const lastUnconfirmed = duty.unconfirmedWrites.at(-1);
	return lastUnconfirmed === undefined ? earliestMs : Math.max(earliestMs, lastUnconfirmed.sentAtMs + CALL_INTERVAL_MS);
}

function computeInterval(duty: DutyState): number {
	return duty.held !== undefined || duty.rank < CANDIDATE_COUNT ? CALL_INTERVAL_MS : BACKGROUND_INTERVAL_MS;
}

function readLease(lease: LeaseState, duty: DutyState): LeaseEffect {
	duty.callId = createCallId(lease);
	return {type: 'lease.read', dutyName: duty.name, callId: duty.callId};
}

/** Renews a lease that is held. Otherwise bids for it under the next epoch. */
function writeLease(lease: LeaseState, duty: DutyState, nowMs: number, durationMs = lease.durationMs): LeaseEffect {
	const callId = createCallId(lease);
	const record: LeaseRecord = {
		holder: lease.instanceId,
		epoch: duty.held?.epoch ?? Math.max(duty.record?.epoch ?? 0, duty.lastEpoch, lease.storeEra * EPOCHS_PER_ERA) + 1,
		nonce: callId,
		durationMs,
	};
	duty.callId = callId;
	duty.unconfirmedWrites.push({record, sentAtMs: nowMs});
	return {
		type: 'lease.write', dutyName: duty.name, callId, record, expectedVersion: duty.version ?? 0,
	};
}

/** Releases a duty at a planned stop, so the next holder need not wait until the term ends. */
function releaseDuty(lease: LeaseState, duty: DutyState, nowMs: number): readonly LeaseHandlerEffect[] {
	if (duty.held === undefined || !lease.isReleasedOnStop) {
		return [];
	}

	const effect = writeLease(lease, duty, nowMs, 0);
	duty.held = undefined;
	return [effect];
}

function isInScope(scope: DutyScope, peer: LeasePeer): boolean {
	switch (scope.kind) {
		case 'region': {
			return peer.region === scope.region;
		}

		case 'availabilityZone': {
			return peer.availabilityZone === scope.availabilityZone;
		}

		case 'everywhere': {
			return true;
		}
	}
}

function createCallId(lease: LeaseState): string {
	lease.callCount += 1;
	return `${lease.processId}.${lease.callCount}`;
}

function computeRankHash(dutyName: string, instanceId: string): string {
	return hashText(`${dutyName}\n${instanceId}`);
}
