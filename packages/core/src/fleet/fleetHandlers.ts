import {
	compareOrders, type FleetRecord, SECOND_MS,
} from '@damaskspool/shared';
import {findHeldDuty} from '../lease/leaseState.js';
import {type ZonePlanInput, type ZoneStep} from '../planning/zonePlan.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type EntryEffect} from '../reducer/entryEffects.js';
import {type EntryEvent} from '../reducer/entryEvents.js';
import {type EntryState} from '../reducer/entryState.js';
import {
	addIntent, createTakeoverRecord, removeIntent, setOrder, setOrderState,
} from './fleetDraft.js';
import {planRepair} from './fleetRepair.js';
import {type FleetState, type FleetWrite, resetFleet} from './fleetState.js';
import {
	callStore, readFleet, settleWrite, STORE_RETRY_MS, updateDraft, writeFleet,
} from './fleetStore.js';

/** Interval between sends of an open order to its sidecar. Each reply reports the order's status. */
const OFFER_INTERVAL_MS = 500;
/** Interval between checks for drift and for the next planned step. */
const PLAN_INTERVAL_MS = SECOND_MS;
/** Time limit of one call to the platform. No call is made if less time remains on the lease. */
export const PLATFORM_CALL_TIMEOUT_MS = 2 * SECOND_MS;
/** Delay between the timeout of a call to the platform and its retry. */
const PLATFORM_RETRY_MS = SECOND_MS;

/** Manages the targets of an availability zone: sends orders, and starts and stops targets. Only the holder of the zone's fleet duty does so. */
export const fleetHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'instances.listed'({fleet, membership}, {instances, nowMs}) {
		const listedIds = new Set(instances.map(({instanceId}) => instanceId));
		for (const {instanceId, kind, availabilityZone} of instances) {
			if (kind === 'target' && availabilityZone === fleet.availabilityZone) {
				trackTarget(fleet, instanceId).missingSinceMs = undefined;
			}
		}

		for (const {targetId} of fleet.record?.assignments ?? []) {
			if (!listedIds.has(targetId)) {
				trackTarget(fleet, targetId).missingSinceMs ??= nowMs;
			}
		}

		for (const targetId of fleet.trackedTargets.keys()) {
			const isOrdered = fleet.record?.assignments.some(assignment => assignment.targetId === targetId) ?? false;
			if (!isOrdered && !membership.targets.has(targetId)) {
				fleet.trackedTargets.delete(targetId);
			}
		}

		return [];
	},

	'load.reported'({fleet, membership}, {load, nowMs}) {
		if (membership.targets.get(load.targetId)?.availabilityZone === fleet.availabilityZone) {
			const tracked = trackTarget(fleet, load.targetId);
			tracked.inRoleSinceMs = tracked.role === load.role ? tracked.inRoleSinceMs : nowMs;
			tracked.role = load.role;
		}

		return [];
	},

	tick(state, {nowMs}) {
		const {fleet} = state;
		const held = findHeldDuty(state.lease, fleet.dutyName, nowMs);
		if (held === undefined || state.isStopping) {
			resetFleet(fleet);
			return [];
		}

		if (fleet.ownedEpoch !== undefined && fleet.ownedEpoch !== held.epoch) {
			resetFleet(fleet);
		}

		const isOwned = fleet.ownedEpoch === held.epoch;
		return [
			...callStore(fleet, nowMs),
			...(isOwned ? sendOffers(state, nowMs) : []),
			...(isOwned ? callPlatform(fleet, held.epoch, held.remainingMs, nowMs) : []),
			...(isOwned ? planChanges(state, nowMs) : []),
		];
	},

	'fleet.readEnded'(state, {callId, result, nowMs}) {
		const {fleet} = state;
		const held = findHeldDuty(state.lease, fleet.dutyName, nowMs);
		if (fleet.callId !== callId || held === undefined) {
			return [];
		}

		fleet.callId = undefined;
		if (result.kind === 'failed') {
			fleet.nextStoreCallAtMs = nowMs + STORE_RETRY_MS;
			return [];
		}

		const {pendingWrite} = fleet;
		if (isStoredWrite(pendingWrite, result.record)) {
			return settleWrite(fleet, result.version);
		}

		if (pendingWrite?.expectedVersion === result.version) {
			// The pending write has not taken effect but may still be in flight. The same record is written again under the same expected version.
			return nowMs < fleet.nextStoreCallAtMs ? [] : [writeFleet(fleet, pendingWrite.record, pendingWrite.expectedVersion)];
		}

		// This is the first read, or another process has written the record. The local state is discarded.
		resetFleet(fleet);
		if ((result.record?.epoch ?? 0) > held.epoch) {
			return [];
		}

		return [writeFleet(fleet, createTakeoverRecord(result.record, held.epoch), result.version)];
	},

	'fleet.writeEnded'({fleet}, {callId, result, nowMs}) {
		if (fleet.callId !== callId) {
			return [];
		}

		fleet.callId = undefined;
		if (result.kind === 'written') {
			return settleWrite(fleet, result.version);
		}

		fleet.nextStoreCallAtMs = nowMs + STORE_RETRY_MS;
		return [readFleet(fleet)];
	},

	'offer.answered'({fleet}, {targetId, order, status}) {
		const assignment = (fleet.draft ?? fleet.record)?.assignments.find(candidate => candidate.targetId === targetId);
		const isEnded = status === 'applied' || status === 'failed';
		if (!isEnded || assignment?.state !== 'open' || compareOrders(assignment.order, order) !== 0) {
			return [];
		}

		updateDraft(fleet, record => setOrderState(record, targetId, status));
		if (status === 'applied' && assignment.desired.isLeaving) {
			const {serviceId, incarnation} = assignment;
			updateDraft(fleet, record => addIntent(record, {
				key: `stop/${targetId}/${incarnation}`, action: 'stop', serviceId, targetId,
			}));
		}

		return [{
			type: 'decision.record', name: `fleet.order.${status}`, subject: targetId, detail: {...order, ...assignment.desired},
		}];
	},

	'platform.answered'({fleet}, {key, isTaken}) {
		if (!isTaken || !fleet.intentRetryAtMs.has(key)) {
			return [];
		}

		fleet.intentRetryAtMs.delete(key);
		updateDraft(fleet, record => removeIntent(record, key));
		return [{
			type: 'decision.record', name: 'fleet.platformCallTaken', subject: fleet.availabilityZone, detail: {key},
		}];
	},
};

function isStoredWrite(pending: FleetWrite | undefined, record: FleetRecord | undefined): boolean {
	return pending !== undefined && record?.nonce === pending.record.nonce;
}

function trackTarget(fleet: FleetState, targetId: string) {
	let tracked = fleet.trackedTargets.get(targetId);
	if (tracked === undefined) {
		tracked = {
			role: undefined, inRoleSinceMs: 0, missingSinceMs: undefined, nextOfferAtMs: 0,
		};
		fleet.trackedTargets.set(targetId, tracked);
	}

	return tracked;
}

/** Sends open orders that are known to be stored, except those that an unwritten change replaces. */
function sendOffers({fleet, membership}: EntryState, nowMs: number): readonly EntryEffect[] {
	return (fleet.record?.assignments ?? []).flatMap(assignment => {
		const {targetId, order, desired} = assignment;
		const latest = (fleet.draft ?? fleet.pendingWrite?.record)?.assignments.find(candidate => candidate.targetId === targetId) ?? assignment;
		const tracked = fleet.trackedTargets.get(targetId);
		const target = membership.targets.get(targetId);
		const isDue = assignment.state === 'open' && latest.state === 'open' && compareOrders(latest.order, order) === 0;
		if (!isDue || tracked === undefined || target === undefined || nowMs < tracked.nextOfferAtMs) {
			return [];
		}

		tracked.nextOfferAtMs = nowMs + OFFER_INTERVAL_MS;
		return [{
			type: 'order.offer', targetId, address: target.address, dutyName: fleet.dutyName, order, desired,
		}];
	});
}

/** Calls the platform for stored intents. A call is retried with the same idempotency key until the platform accepts it. */
function callPlatform(fleet: FleetState, epoch: number, remainingMs: number, nowMs: number): readonly EntryEffect[] {
	if (remainingMs <= PLATFORM_CALL_TIMEOUT_MS) {
		return [];
	}

	return (fleet.record?.intents ?? []).flatMap(intent => {
		if (nowMs < (fleet.intentRetryAtMs.get(intent.key) ?? 0)) {
			return [];
		}

		fleet.intentRetryAtMs.set(intent.key, nowMs + PLATFORM_CALL_TIMEOUT_MS + PLATFORM_RETRY_MS);
		return [{
			type: 'platform.call', dutyName: fleet.dutyName, epoch, intent,
		}];
	});
}

/** Plans repairs of targets that have drifted, or the next step if no order or intent is open. */
function planChanges(state: EntryState, nowMs: number): readonly EntryEffect[] {
	const {fleet, membership} = state;
	const {record} = fleet;
	if (record === undefined || fleet.draft !== undefined || fleet.pendingWrite !== undefined || nowMs < fleet.nextPlanAtMs) {
		return [];
	}

	fleet.nextPlanAtMs = nowMs + PLAN_INTERVAL_MS;
	const repair = planRepair({
		fleet, membership, record, nowMs,
	});
	if (repair.record !== record) {
		fleet.draft = repair.record;
		return repair.decisions;
	}

	const isIdle = record.intents.length === 0 && record.assignments.every(assignment => assignment.state !== 'open');
	return isIdle ? planStep(state, record, nowMs) : [];
}

function planStep(state: EntryState, record: FleetRecord, nowMs: number): readonly EntryEffect[] {
	const {fleet} = state;
	const plan = fleet.planZone(createPlanInput(state, nowMs));
	const draft = applyStep(state, record, plan.step);
	if (draft === record) {
		return [];
	}

	fleet.draft = draft;
	return [{
		type: 'decision.record', name: `fleet.${plan.step.kind}`, subject: fleet.availabilityZone, detail: {...plan.step, reason: plan.reason},
	}];
}

function createPlanInput({fleet, membership}: EntryState, nowMs: number): ZonePlanInput {
	const targets = [...membership.targets.values()].flatMap(({targetId, serviceId, availabilityZone, load}) =>
		availabilityZone !== fleet.availabilityZone || load === undefined
			? []
			: [{
				targetId,
				serviceId,
				role: load.role,
				state: load.state,
				models: load.models,
				inRoleSinceMs: fleet.trackedTargets.get(targetId)?.inRoleSinceMs ?? nowMs,
				queuedPrefillTokens: load.queuedPrefillTokens,
				running: load.running,
				freePieces: load.freePieces,
				totalPieces: load.totalPieces,
			}]);
	return {
		nowMs, availabilityZone: fleet.availabilityZone, targets, demands: fleet.demands,
	};
}

/** Adds a planned step to the record as an order or an intent. Steps for unknown targets are ignored. */
function applyStep({membership, fleet}: EntryState, record: FleetRecord, step: ZoneStep): FleetRecord {
	if (step.kind === 'none') {
		return record;
	}

	if (step.kind === 'startTarget') {
		const key = `start/${fleet.availabilityZone}/${record.epoch}.${record.sequence + 1}`;
		return addIntent({...record, sequence: record.sequence + 1}, {
			key, action: 'start', serviceId: step.serviceId, targetId: '',
		});
	}

	const target = membership.targets.get(step.targetId);
	if (target?.load === undefined) {
		return record;
	}

	const desired = record.assignments.find(({targetId}) => targetId === step.targetId)?.desired
		?? {role: target.load.role, models: target.load.models, isLeaving: false};
	if (step.kind === 'changeRole') {
		return setOrder(record, target, {...desired, role: step.role});
	}

	return setOrder(record, target, step.kind === 'stopTarget'
		? {...desired, isLeaving: true}
		: {...desired, models: [...new Set([...desired.models, step.modelId])]});
}
