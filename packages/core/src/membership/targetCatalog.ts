/**
 * Catalog of the targets that are available for use. It is built from complete
 * lists of registrations and from incremental changes. A registration that
 * disappears around an outage of the store may have expired only because the
 * target could not renew it. Such a target is kept until it has had time to
 * register again. Any other removal takes effect at once.
 */
import {setNewest} from '@damaskspool/shared';
import {type TargetRecord} from '../serving/servingRecords.js';
import {
	createStoreContact, mayRegistrationReturn, recordReply, recordReturn, REREGISTRATION_GRACE_MS, type StoreContact,
} from './storeContact.js';

/** Known registrations of targets. */
export type TargetCatalog = {
	/** Registrations by target identifier. One that the store does not contain is kept until `missingUntilMs`, or longer around an outage. */
	readonly registrations: Map<string, {record: TargetRecord; missingUntilMs: number | undefined}>;
	/** Targets that told this entry in an answer that they are about to stop, with their start time, by identifier. */
	readonly noticedLeaving: Map<string, number>;
	/** Start time of targets whose registration was removed, by identifier. The oldest removal comes first. */
	readonly removedTargets: Map<string, number>;
	/** Whether the next complete list is the first of an era: the older copy of the store may contain targets that were removed. */
	isEraNew: boolean;
	readonly storeContact: StoreContact;
};

/** Maximum number of targets that are remembered as leaving or as removed. The oldest is dropped first; its process has long ended. */
const MAX_REMEMBERED_TARGETS = 4096;

/** Creates an empty catalog. */
export function createTargetCatalog(): TargetCatalog {
	return {
		registrations: new Map(), noticedLeaving: new Map(), removedTargets: new Map(), isEraNew: false, storeContact: createStoreContact(),
	};
}

/**
 * Applies added, changed and removed registrations to the catalog, which changes
 * in place. A target that is known to be leaving stays so until it registers with
 * a new start time.
 *
 * @param change - current records and identifiers of removed targets; with `isComplete`, `targets` is the complete list and `removed` is ignored; with `isLate`, the store may have been away before its reply
 */
export function applyRegistrations(
	catalog: TargetCatalog,
	change: {readonly targets: readonly TargetRecord[]; readonly removed: readonly string[]; readonly isComplete: boolean; readonly isLate?: boolean},
	nowMs: number,
): void {
	recordReply(catalog.storeContact, nowMs);
	const presentTargetIds = new Set(change.targets.map(({targetId}) => targetId));
	const removedTargetIds = change.isComplete
		? [...catalog.registrations.keys()].filter(targetId => !presentTargetIds.has(targetId))
		: change.removed;
	for (const targetId of removedTargetIds) {
		const registration = catalog.registrations.get(targetId);
		if (registration !== undefined) {
			registration.missingUntilMs ??= change.isLate === true ? nowMs + REREGISTRATION_GRACE_MS : nowMs;
		}
	}

	const isFirstOfEra = catalog.isEraNew && change.isComplete;
	catalog.isEraNew &&= !change.isComplete;
	for (const record of change.targets) {
		if (isFirstOfEra && catalog.removedTargets.get(record.targetId) === record.startedAtMs) {
			continue;
		}

		catalog.removedTargets.delete(record.targetId);
		const previous = catalog.registrations.get(record.targetId)?.record;
		const wasLeaving = (previous?.isLeaving === true && previous.startedAtMs === record.startedAtMs)
			|| catalog.noticedLeaving.get(record.targetId) === record.startedAtMs;
		catalog.registrations.set(record.targetId, {record: {...record, isLeaving: record.isLeaving || wasLeaving}, missingUntilMs: undefined});
	}

	expireRegistrations(catalog, nowMs);
}

/**
 * Records that a target is about to stop, as it told this entry or a peer. This holds for the incarnation that said so,
 * whatever the store lists. Changes the catalog in place.
 *
 * @returns whether this was not known yet
 */
export function recordLeaving(catalog: TargetCatalog, {targetId, startedAtMs}: Pick<TargetRecord, 'targetId' | 'startedAtMs'>): boolean {
	if (catalog.noticedLeaving.get(targetId) === startedAtMs) {
		return false;
	}

	recordIncarnation(catalog.noticedLeaving, {targetId, startedAtMs});

	const registration = catalog.registrations.get(targetId);
	if (registration?.record.startedAtMs === startedAtMs) {
		registration.record = {...registration.record, isLeaving: true};
	}

	return true;
}

/**
 * Records that the store came back from an older copy. Registrations that the copy lacks are kept until the targets have
 * had time to register again. Targets that were removed before stay removed until they register again. Changes the
 * catalog in place.
 */
export function beginEra(catalog: TargetCatalog, nowMs: number): void {
	catalog.isEraNew = true;
	recordReturn(catalog.storeContact, nowMs);
}

/** Records one incarnation of a target in a bounded map, which changes in place. */
function recordIncarnation(targets: Map<string, number>, {targetId, startedAtMs}: Pick<TargetRecord, 'targetId' | 'startedAtMs'>): void {
	setNewest(targets, {key: targetId, value: startedAtMs, maxSize: MAX_REMEMBERED_TARGETS});
}

/**
 * Removes the targets whose registration is missing and whose time to register
 * again after an outage of the store is over. Changes the catalog in place.
 *
 * @returns whether a target was removed
 */
export function expireRegistrations(catalog: TargetCatalog, nowMs: number): boolean {
	let isChanged = false;
	for (const [targetId, {record, missingUntilMs}] of catalog.registrations) {
		if (missingUntilMs !== undefined && nowMs >= missingUntilMs && !mayRegistrationReturn(catalog.storeContact, nowMs)) {
			catalog.registrations.delete(targetId);
			recordIncarnation(catalog.removedTargets, record);
			isChanged = true;
		}
	}

	return isChanged;
}

/** Counts the targets that are kept although the store lacks their registration. */
export function countMissing(catalog: TargetCatalog): number {
	return [...catalog.registrations.values()].filter(({missingUntilMs}) => missingUntilMs !== undefined).length;
}

/** Lists the targets of the catalog, including those with a missing registration that may still return. */
export function listTargets(catalog: TargetCatalog): TargetRecord[] {
	return [...catalog.registrations.values()].map(({record}) => record);
}
