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
	createSuccession, withIntent, withOrder, withOutcome, withoutIntent,
} from './fleetDraft.js';
import {planRepair} from './fleetRepair.js';
import {type FleetState, type FleetWrite, releaseFleet} from './fleetState.js';
import {
	callStore, changeDraft, readFleet, settleWrite, STORE_RETRY_MS, writeFleet,
} from './fleetStore.js';

/** Time between offers of an order that has not ended; each is answered with how far it is. */
const OFFER_INTERVAL_MS = 500;
/** Time between looks for drift and for the next planned step. */
const PLAN_INTERVAL_MS = SECOND_MS;
/** Time limit of one call to the platform. No call is made with less term left. */
export const PLATFORM_CALL_LIMIT_MS = 2 * SECOND_MS;
/** Time between repeats of a call to the platform whose reply did not come. */
const PLATFORM_RETRY_MS = SECOND_MS;

/** Handlers by which the holder of a zone's fleet duty orders its targets. */
export const fleetHandlers: HandlerTable<EntryState, EntryEvent, EntryEffect> = {
	'instances.listed'({fleet, membership}, {instances, nowMs}) {
		const listedIds = new Set(instances.map(({instanceId}) => instanceId));
		for (const {instanceId, kind, availabilityZone} of instances) {
			if (kind === 'target' && availabilityZone === fleet.availabilityZone) {
				noteTarget(fleet, instanceId).missingSinceMs = undefined;
			}
		}

		for (const {targetId} of fleet.record?.assignments ?? []) {
			if (!listedIds.has(targetId)) {
				noteTarget(fleet, targetId).missingSinceMs ??= nowMs;
			}
		}

		for (const targetId of fleet.notes.keys()) {
			const isOrdered = fleet.record?.assignments.some(assignment => assignment.targetId === targetId) ?? false;
			if (!isOrdered && !membership.targets.has(targetId)) {
				fleet.notes.delete(targetId);
			}
		}

		return [];
	},

	'load.reported'({fleet, membership}, {load, nowMs}) {
		if (membership.targets.get(load.targetId)?.availabilityZone === fleet.availabilityZone) {
			const notes = noteTarget(fleet, load.targetId);
			notes.inRoleSinceMs = notes.role === load.role ? notes.inRoleSinceMs : nowMs;
			notes.role = load.role;
		}

		return [];
	},

	tick(state, {nowMs}) {
		const {fleet} = state;
		const held = findHeldDuty(state.lease, fleet.dutyName, nowMs);
		if (held === undefined || state.isStopping) {
			releaseFleet(fleet);
			return [];
		}

		if (fleet.ownedEpoch !== undefined && fleet.ownedEpoch !== held.epoch) {
			releaseFleet(fleet);
		}

		const isOwned = fleet.ownedEpoch === held.epoch;
		return [
			...callStore(fleet, nowMs),
			...(isOwned ? offerOrders(state, nowMs) : []),
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
			fleet.nextCallAtMs = nowMs + STORE_RETRY_MS;
			return [];
		}

		const {pending} = fleet;
		if (isWrittenBy(pending, result.record)) {
			return settleWrite(fleet, result.version);
		}

		if (pending?.expectedVersion === result.version) {
			// Not written yet, and perhaps still under way: the same content is written again.
			return nowMs < fleet.nextCallAtMs ? [] : [writeFleet(fleet, pending.record, pending.expectedVersion)];
		}

		// Somebody else wrote: what this entry believed of the zone is out of date.
		releaseFleet(fleet);
		if ((result.record?.epoch ?? 0) > held.epoch) {
			return [];
		}

		return [writeFleet(fleet, createSuccession(result.record, held.epoch), result.version)];
	},

	'fleet.writeEnded'({fleet}, {callId, result, nowMs}) {
		if (fleet.callId !== callId) {
			return [];
		}

		fleet.callId = undefined;
		if (result.kind === 'written') {
			return settleWrite(fleet, result.version);
		}

		fleet.nextCallAtMs = nowMs + STORE_RETRY_MS;
		return [readFleet(fleet)];
	},

	'offer.answered'({fleet}, {targetId, order, status}) {
		const assignment = (fleet.draft ?? fleet.record)?.assignments.find(candidate => candidate.targetId === targetId);
		const isEnded = status === 'applied' || status === 'failed';
		if (!isEnded || assignment?.state !== 'open' || compareOrders(assignment.order, order) !== 0) {
			return [];
		}

		changeDraft(fleet, record => withOutcome(record, targetId, status));
		if (status === 'applied' && assignment.desired.isLeaving) {
			const {serviceId, incarnation} = assignment;
			changeDraft(fleet, record => withIntent(record, {
				key: `stop/${targetId}/${incarnation}`, action: 'stop', serviceId, targetId,
			}));
		}

		return [{
			type: 'decision.record', name: `fleet.order.${status}`, subject: targetId, detail: {...order, ...assignment.desired},
		}];
	},

	'platform.answered'({fleet}, {key, isTaken}) {
		if (!isTaken || !fleet.intentCalls.has(key)) {
			return [];
		}

		fleet.intentCalls.delete(key);
		changeDraft(fleet, record => withoutIntent(record, key));
		return [{
			type: 'decision.record', name: 'fleet.platformCallTaken', subject: fleet.availabilityZone, detail: {key},
		}];
	},
};

function isWrittenBy(pending: FleetWrite | undefined, record: FleetRecord | undefined): boolean {
	return pending !== undefined && record?.nonce === pending.record.nonce;
}

function noteTarget(fleet: FleetState, targetId: string) {
	let notes = fleet.notes.get(targetId);
	if (notes === undefined) {
		notes = {
			role: undefined, inRoleSinceMs: 0, missingSinceMs: undefined, nextOfferAtMs: 0,
		};
		fleet.notes.set(targetId, notes);
	}

	return notes;
}

/** Offers open orders that are known to be written, and that no later change replaces. */
function offerOrders({fleet, membership}: EntryState, nowMs: number): readonly EntryEffect[] {
	return (fleet.record?.assignments ?? []).flatMap(assignment => {
		const {targetId, order, desired} = assignment;
		const latest = (fleet.draft ?? fleet.pending?.record)?.assignments.find(candidate => candidate.targetId === targetId) ?? assignment;
		const notes = fleet.notes.get(targetId);
		const target = membership.targets.get(targetId);
		const isDue = assignment.state === 'open' && latest.state === 'open' && compareOrders(latest.order, order) === 0;
		if (!isDue || notes === undefined || target === undefined || nowMs < notes.nextOfferAtMs) {
			return [];
		}

		notes.nextOfferAtMs = nowMs + OFFER_INTERVAL_MS;
		return [{
			type: 'order.offer', targetId, address: target.address, dutyName: fleet.dutyName, order, desired,
		}];
	});
}

/** Makes the calls that are known to be written, each again under its own key until the platform has taken it. */
function callPlatform(fleet: FleetState, epoch: number, remainingMs: number, nowMs: number): readonly EntryEffect[] {
	if (remainingMs <= PLATFORM_CALL_LIMIT_MS) {
		return [];
	}

	return (fleet.record?.intents ?? []).flatMap(intent => {
		if (nowMs < (fleet.intentCalls.get(intent.key) ?? 0)) {
			return [];
		}

		fleet.intentCalls.set(intent.key, nowMs + PLATFORM_CALL_LIMIT_MS + PLATFORM_RETRY_MS);
		return [{
			type: 'platform.call', dutyName: fleet.dutyName, epoch, intent,
		}];
	});
}

/** Looks for drift, and for the next step where nothing is under way. */
function planChanges(state: EntryState, nowMs: number): readonly EntryEffect[] {
	const {fleet, membership} = state;
	const {record} = fleet;
	if (record === undefined || fleet.draft !== undefined || fleet.pending !== undefined || nowMs < fleet.nextPlanAtMs) {
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
				inRoleSinceMs: fleet.notes.get(targetId)?.inRoleSinceMs ?? nowMs,
				queuedPrefillTokens: load.queuedPrefillTokens,
				running: load.running,
				freePieces: load.freePieces,
				totalPieces: load.totalPieces,
			}]);
	return {
		nowMs, availabilityZone: fleet.availabilityZone, targets, demands: fleet.demands,
	};
}

/** Writes a planned step down as an order or an intent; a step for a target that is unknown is left out. */
function applyStep({membership, fleet}: EntryState, record: FleetRecord, step: ZoneStep): FleetRecord {
	if (step.kind === 'none') {
		return record;
	}

	if (step.kind === 'startTarget') {
		const key = `start/${fleet.availabilityZone}/${record.epoch}.${record.sequence + 1}`;
		return withIntent({...record, sequence: record.sequence + 1}, {
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
		return withOrder(record, target, {...desired, role: step.role});
	}

	return withOrder(record, target, step.kind === 'stopTarget'
		? {...desired, isLeaving: true}
		: {...desired, models: [...new Set([...desired.models, step.modelId])]});
}
